"""The laboratory: its connections and disk, runs that repeat to the byte, kills at every write, its judge."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from ashvale import control
from ashvale.control import Controller
from ashvale.exchange import RETURNED, Exchange, Refusal
from ashvale.lab.disk import FULL, KILL, NO_RENAME, SHORT, TORN
from ashvale.lab.hunt import draw, hunt
from ashvale.lab.run import Message, Partner, Rehearsal, Result, Scenario, Trouble, play
from ashvale.lab.scenarios import SCENARIOS
from ashvale.lab.stand_ins import DROP, STALL, answer
from ashvale.lab.virtual import WINDOW, Process, Stalled, VirtualLoop
from ashvale.loop import FOREVER, Broken, Connection, Coroutine, Expired, Listener, Loop, connect, sleep
from ashvale.net.http_client import HttpClient, Reply
from ashvale.net.platform import Server
from tests.test_config_language import ashvale

HERE = ("127.0.0.1", 80)
SHORT_RUN = SCENARIOS["short"]


def kept(result: Result) -> Result:
    assert not result.broken, "\n".join(map(str, result.broken))
    return result


# Connections and processes


def echo(connection: Connection) -> Coroutine[None]:
    while data := (yield from connection.receive(FOREVER)):
        yield from connection.send(data, FOREVER)


def ran(loop: Loop, steps: Coroutine[Any], limit: float = 10_000.0) -> list[Any]:
    found: list[Any] = []

    def whole() -> Coroutine[None]:
        try:
            found.append((yield from steps))
        except (Broken, Expired) as error:
            found.append(error)

    loop.spawn(whole(), "test")
    assert isinstance(loop, VirtualLoop)
    loop.run_until(lambda: bool(found), limit)
    return found


def asks(loop: Loop, data: bytes, until: float = 5000.0) -> Coroutine[bytes]:
    connection = yield from connect(loop, HERE, until)
    yield from connection.send(data, until)
    back = b""
    while len(back) < len(data):
        part = yield from connection.receive(until)
        if not part:
            break
        back += part
    connection.close()
    return back


def test_a_stream_keeps_its_bytes_their_order_and_its_window() -> None:
    loop = VirtualLoop(lambda source, target: 7.0)
    Listener(loop, HERE, echo, 10, "echo")
    data = bytes(range(256)) * 1200
    assert len(data) > 4 * WINDOW and ran(loop, asks(loop, data)) == [data]
    assert 28.0 <= loop.now() < 500.0  # there and back twice at the least, and a window a round


@pytest.mark.parametrize(
    ("prepare", "told"),
    [(lambda loop: None, "ECONNREFUSED"), (lambda loop: loop.net.silent.add(HERE), "too long")],
    ids=["refused", "silent"],
)
def test_connections_that_do_not_come_up(prepare: Callable[[VirtualLoop], None], told: str) -> None:
    loop = VirtualLoop()
    prepare(loop)
    assert told in str(ran(loop, asks(loop, b"x", 500.0))[0])


@pytest.mark.parametrize("after", [0, 1, 5])
def test_a_stream_is_cut_at_any_byte(after: int) -> None:
    loop, seen = VirtualLoop(), list[bytes]()

    def serve(connection: Connection) -> Coroutine[None]:
        connection.sock.cut_after = after  # type: ignore[attr-defined]
        yield from sleep(loop, 5.0)
        seen.append(connection.inbound.peek())

    Listener(loop, HERE, serve, 10, "cut")
    found = ran(loop, asks(loop, b"0123456789"))
    loop.run_until(lambda: bool(seen), 100.0)
    assert seen == [b"0123456789"[:after]] and isinstance(found[0], Broken)


def test_a_killed_process_does_nothing_more_and_its_peers_are_told() -> None:
    loop, did = VirtualLoop(), list[str]()
    process = Process(loop)
    Listener(process, HERE, echo, 10, "echo")
    process.call_at(100.0, lambda: did.append("timer"))
    process.spawn(asks(process, b"never"), "task")
    loop.call_at(50.0, process.kill)
    assert ran(loop, asks(loop, b"x")) == [b"x"]
    loop.run_until(lambda: loop.now() >= 200.0, 300.0)
    assert not did and "ECONNREFUSED" in str(ran(loop, asks(loop, b"x"))[0]) and not loop.net.listening
    with pytest.raises(Stalled):
        loop.run_until(lambda: False, 400.0)


# Whole runs


def test_a_quiet_run_delivers_all_and_judges_itself() -> None:
    result = kept(play(SHORT_RUN))
    assert result.counts["delivered"] == 6 and result.counts["answer 202"] == 6
    assert result.counts["503"] == 1 and result.counts["dropped"] == 1 and result.real_ms < result.virtual_ms


def test_two_runs_in_fresh_processes_with_other_hash_seeds_are_the_same_to_the_byte() -> None:
    code = (
        "from tests.test_lab import *\n"
        "r = play(replace(SHORT_RUN, troubles=(Trouble(Rehearsal.kill, 1.0, 2),), faults={9: FULL}))\n"
        "print(r.counts, r.digest, r.written, r.writes, r.virtual_ms)"
    )
    told = {
        subprocess.run(
            [sys.executable, "-c", code],
            check=True,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(told) == 1 and "delivered" in told.pop()


@pytest.mark.parametrize("fault", [KILL, TORN])
def test_a_kill_at_every_write_leaves_one_end_for_each_message(fault: str) -> None:
    writes = play(SHORT_RUN).writes
    assert writes > 25
    for number in range(1, writes + 1):
        result = kept(play(replace(SHORT_RUN, faults={number: fault})))
        assert result.edges.kills, f"write {number} was not reached"


@pytest.mark.parametrize("fault", [SHORT, FULL, NO_RENAME])
def test_a_disk_that_fails_at_any_call_loses_nothing(fault: str) -> None:
    writes = play(SHORT_RUN).writes
    for number in range(1, writes + 1):
        kept(play(replace(SHORT_RUN, faults={number: fault})))


def test_a_disk_that_stays_full_is_told_at_the_door() -> None:
    result = kept(play(replace(SHORT_RUN, faults={number: FULL for number in range(3, 4000)})))
    assert result.counts["answer 503"] >= 1


@pytest.mark.parametrize("after", [0.0, 0.1, 0.3, 10.0, 19.9, 20.0, 20.2, 20.4, 400.0])
@pytest.mark.parametrize("how", [Rehearsal.kill, Rehearsal.leave])
def test_a_partner_stalls_while_the_courier_restarts_at_each_stage(
    after: float, how: Callable[[Rehearsal], None]
) -> None:
    for script in ((), (STALL,), (DROP,), (b"HTTP/1.1 200 so\r\nContent-",)):
        partner = Partner("a", 1, script=script)
        kept(play(Scenario((partner, Partner("b", 2)), SHORT_RUN.messages, (Trouble(how, after, 1),))))


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_scenarios_that_ship_keep_all_rules(name: str) -> None:
    code, out, err = ashvale("lab", "run", name)
    assert code == 0 and "delivered" in out and not err
    code, out, err = ashvale("lab", "run", name, "--fault", 8, "kill")
    assert code == 0, err


# Repeats, where a connection comes up late or a stream breaks as the last byte leaves

# The first attempt may have run; the next two are told waits that end shortly before the window does, and the
# partner's machine is cut off then: the connection comes up at the system's second try, past the window.
CLOSING = answer(503, b"", retry_after="2.500", connection="close")
CUT_LATE = Scenario(
    (Partner("a", 1, "hub", script=(DROP, CLOSING, CLOSING)),),
    (Message(0.0, "m0", "usage-record"),),
    (Trouble(Rehearsal.silent, 2400.0, 3),),
    # All of its capacity at once: no draw of a pause between trials decides the case.
    settings={"limits": {"connect_timeout_ms": 1500.0}, "contract": {"cold_share": 1.0}},
)
TOGETHER = replace(CUT_LATE, messages=(*CUT_LATE.messages, Message(1000.0, "m1"), Message(1000.0, "m2")))


@pytest.mark.parametrize(("scenario", "delivered"), [(CUT_LATE, 0), (TOGETHER, 2)], ids=["alone", "batch"])
def test_a_window_is_looked_at_when_the_call_is_written(scenario: Scenario, delivered: int) -> None:
    """Guards the rule on repeats under a cut; in a batch the others go on without the one that is late."""
    result = kept(play(scenario))
    ends = result.edges.told["m0"].notices
    assert [state for _, state in ends] == ["returned"] and result.counts.get("delivered", 0) == delivered
    assert ends[0][0] < 5800.0  # answered when its window ends, and not when the connection is there
    assert len({call.begin for call in result.edges.calls if call.how == "200"}) <= 1


@pytest.mark.parametrize("scenario", [CUT_LATE, TOGETHER], ids=["alone", "batch"])
def test_a_window_that_is_looked_at_only_when_sending_is_caught(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = Exchange._join

    def join(self: Exchange, action: Any, *rest: Any) -> None:
        real(self, replace(action, by=1e18), *rest)

    monkeypatch.setattr(Exchange, "_join", join)
    assert "sent again past its window" in {one.rule.partition(":")[0] for one in play(scenario).broken}


@pytest.mark.parametrize(("left", "written"), [(1, True), (200_000, True), (-1, False)])
def test_what_was_handed_over_counts_as_written_though_a_reset_came_with_it(left: int, written: bool) -> None:
    """Guards the rule on repeats: the flush of a large call is split, and its last part meets a reset."""
    loop, read = VirtualLoop(), bytearray()

    def serve(connection: Connection) -> Coroutine[None]:
        while data := (yield from connection.receive(FOREVER)):
            read.extend(data)

    def opened(sock: Any) -> None:
        sock.cut_sent = WINDOW + left

    loop.net.on_open = opened
    Listener(loop, HERE, serve, 10, "server")
    reply = Reply()

    def ask() -> Coroutine[None]:
        client = HttpClient((yield from connect(loop, HERE, 5000.0)), HERE)
        yield from client.ask("POST", "/hook", [], b"x" * WINDOW, 100.0, reply)

    found = ran(loop, ask())
    loop.run_until(lambda: loop.now() > 200.0, 300.0)
    assert isinstance(found[0], Broken if left < 1000 else Expired) and reply.written == written
    assert (read.count(b"x") == WINDOW) == written


# What hunt has found, as small as it got


@pytest.mark.parametrize("at", [24.0 + 0.25 * n for n in range(12)])
def test_a_wait_is_kept_by_what_leaves_in_the_turn_in_which_it_is_heard(at: float) -> None:
    """Guards the order within a tick: a new message was handled, and sent, ahead of the wait told before."""
    partner = Partner("a", 1, script=(answer(503, b"", retry_after="3.000"),))
    result = kept(play(Scenario((partner,), (Message(0.0, "m0"), Message(at, "m1")))))
    assert result.counts["delivered"] == 2


def test_a_wait_outlasts_a_list_that_changes_all_endpoints() -> None:
    """Guards a partner's wait against its only endpoint's going and coming again."""
    partner = Partner("a", 1, script=(answer(503, b"", retry_after="6.000"),))
    result = kept(
        play(
            Scenario(
                (partner,), (Message(0.0, "m0"), Message(2600.0, "m1")), (Trouble(Rehearsal.drain, 30.0),)
            )
        )
    )
    assert result.counts["delivered"] == 2


def test_drawn_scenarios_keep_all_rules() -> None:
    for seed in range(60):
        kept(play(draw(seed)))


def test_what_is_found_is_shrunk(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Exchange, "_begin", twice)
    found = next(one for seed in range(10) if (one := hunt(seed)) is not None)
    small, whole = found.scenario, draw(found.seed)
    assert found.broken.rule.startswith("two attempts") and len(small.messages) == 1 == len(small.partners)
    assert len(whole.messages) > 1 and not small.troubles and not small.faults
    assert found.broken.rule in {one.rule for one in play(small).broken}


# The judge sees what is wrong


def twice(self: Exchange, attempt: Any, real: Any = Exchange._begin) -> None:
    real(self, attempt)
    if attempt.open:
        other = replace(
            attempt,
            parts=list(attempt.parts),
            numbers=list(attempt.numbers),
            open=set(),
            by=list(attempt.by),
        )
        self.carriers["platform"].execute(other)


def late(self: Exchange, entry: Any, real: Any = Exchange._tell) -> None:
    self.loop.call_at(self.loop.now() + 40_000.0, lambda: real(self, entry))


def deaf(
    self: Exchange,
    attempt: Any,
    entry: Any,
    outcome: Any,
    wait_ms: float = 0.0,
    *more: Any,
    real: Any = Exchange.report,
    **named: Any,
) -> None:
    real(self, attempt, entry, outcome, 0.0, *more, **named)


def takes_what_it_refuses(self: Exchange, command: Any, real: Any = Exchange.take) -> Any:
    real(self, command)
    return Refusal(500.0, "no")


def denies(
    self: Exchange, entry: Any, state: str, after_ms: float = 0.0, real: Any = Exchange._decide
) -> None:
    real(self, entry, RETURNED, after_ms)


def two_states(self: Server, entry: Any, real: Any = Server.ended) -> None:
    real(self, entry)
    other = replace(entry, state="failed" if entry.state == RETURNED else RETURNED)
    self.loop.call_at(self.loop.now() + 50.0, lambda: self.notices.add(other))


SLOW = Partner("a", 1, script=(DROP,) * 40)
WAITS = Partner("a", 1, script=(answer(503, b"", retry_after="6.000"),) * 3)
MUTANTS: dict[str, tuple[Any, str, Any, Partner, dict[str, Any]]] = {
    "no end": (Exchange, "_tell", lambda self, entry: None, SLOW, {}),
    "end too late": (Exchange, "_tell", late, SLOW, {}),
    "two ends": (Server, "ended", two_states, SLOW, {}),
    "two attempts at once": (Exchange, "_begin", twice, Partner("a", 1), {}),
    "sent again past its window": (control, "repeat_by", lambda m: 1e18, SLOW, {}),
    "more attempts than allowed": (
        Controller,
        "_went_out",
        lambda *_: None,
        Partner("a", 1, script=(answer(500),) * 40),
        {"limits": {"most_tries": 30}},
    ),
    "sent within a told wait": (Exchange, "report", deaf, WAITS, {}),
    "refused and sent all the same": (Exchange, "take", takes_what_it_refuses, Partner("a", 1), {}),
    "delivered, and a notice as well": (Exchange, "_decide", denies, Partner("a", 1), {}),
}


@pytest.mark.parametrize("rule", MUTANTS)
def test_a_courier_with_one_fault_is_caught_by_its_rule(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, name, mutant, partner, settings = MUTANTS[rule]
    messages = tuple(
        Message(100.0 * n, f"m{n}", ("usage-record", "rate-update")[n % 2], 1, 28_000.0) for n in range(4)
    )
    scenario = Scenario((partner,), messages, settings=settings)
    kept(play(replace(scenario, settings={})))
    monkeypatch.setattr(owner, name, mutant)
    broken = play(scenario).broken
    assert rule in {one.rule.partition(":")[0] for one in broken}
    assert all(len(one.history) >= 2 for one in broken)
