"""Traces of a courier at work: each failure that they are for, on real sockets or on a clock of its own."""

from __future__ import annotations

import json
import random
import shutil
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ashvale import config, rehearsal
from ashvale import interface as api
from ashvale.courier import Courier
from ashvale.exchange import Attempt, Command, Endpoint, Exchange
from ashvale.interface import Outcome
from ashvale.journal import Entry, Journal
from ashvale.lab.mail import Client, Partner
from ashvale.lab.stand_ins import DROP, STALL, run
from ashvale.loop import Loop
from ashvale.net import mail
from ashvale.trace import codec, report
from ashvale.trace.model import ENDS, End, Kind, Reason
from ashvale.trace.reader import Stock, Trace, read_all
from ashvale.trace.recorder import Recorder
from tests.samples import KEYED, ORDERED, SAFE
from tests.stage import Scene, answer, reload, request, scene

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
HERE_START = 1_790_000_000_000.0


def tracing(s: Scene, **keys: Any) -> None:
    """Turn tracing on for the courier that the scene starts next."""
    keys["share"] = f"{keys.get('share', 1.0) * 100.0:g} %"
    text = "\n".join(f"{name} = {json.dumps(value)}" for name, value in {"enabled": True, **keys}.items())
    (s.folder / "own.toml").write_text(f"[trace]\n{text}\n")
    s.environ["ASHVALE_SETTINGS"] = str(s.folder / "own.toml")


def traces(s: Scene, stock: Stock | None = None) -> dict[str, Trace]:
    s.rest(10.0)
    return {t.id: t for t in read_all(s.folder / "trace", stock or Stock())}


def settled(s: Scene) -> None:
    s.until(lambda: s.courier.exchange.idle)


def whole(t: Trace) -> bool:
    """Spans without gap or overlap are lengths that add up; each attempt has one span at most."""
    refs = [span.ref for span in t.spans if span.kind is Kind.ATTEMPT]
    return (
        sum(round(span.ms * 10) for span in t.spans) == round(t.total * 10)
        and refs == sorted(set(refs))
        and all(0 <= ref < len(t.attempts) for ref in refs)
    )


def test_a_message_that_meets_all_sorts_is_told_hop_by_hop() -> None:
    with scene() as s:
        endpoint = s.endpoint(answer(503, X_Come_Back_Ms=300), answer(500), DROP)
        tracing(s)
        s.start()
        s.hand_in(traceparent=PARENT, tracestate="a=1", X_Request_Start="t=5")
        settled(s)
        t = traces(s)["m1"]
        assert t.end is End.DELIVERED and whole(t) and t.trace_id == PARENT[3:35]
        assert t.record.parent.hex() == PARENT[36:52] and t.flag(codec.FRONT_UNKNOWN)
        assert [a.outcome for a in t.attempts] == ["full", "error", "reset", "ok"]
        assert [a.number for a in t.attempts] == [1, 2, 3, 4] and t.attempts[0].told == 300.0
        assert 250.0 < t.attempts[1].obeyed <= 300.0 and not t.attempts[0].reused
        assert 0.0 <= t.attempts[0].connected <= t.attempts[0].written < t.attempts[0].first
        assert t.attempts[2].written > 0 and t.attempts[2].first == -1.0
        reasons = {span.reason for span in t.spans if span.kind is Kind.WAIT}
        assert {Reason.TOLD_WAIT, Reason.RETRY_HOLD, Reason.HELD_OUT, Reason.TURN} <= reasons
        told = [call.headers["traceparent"] for call in endpoint.calls]
        assert told == [t.context.header(n)[:-1] + "1" for n in (1, 2, 3, 4)] and len(set(told)) == 4
        assert all(call.headers["tracestate"] == "a=1" for call in endpoint.calls)
        for _ in range(2):
            s.hand_in()
            settled(s)
        assert traces(s)["m3"].attempts[0].reused


def test_the_front_layer_counts_where_its_time_is_known() -> None:
    with scene() as s:
        s.endpoint()
        tracing(s)
        s.start()
        wall = s.courier.exchange.wall(s.loop.now())
        s.hand_in(X_Request_Start=f"t={(wall - 150.0) / 1000.0:.3f}")
        settled(s)
        t = traces(s)["m1"]
        assert t.spans[0].kind is Kind.FRONT and t.spans[0].ms >= 149.0 and not t.flag(codec.FRONT_UNKNOWN)


def test_tracing_off_changes_nothing_on_the_wire_or_on_disk() -> None:
    with scene() as s:
        endpoint = s.endpoint()
        s.start()
        s.hand_in(traceparent=PARENT)
        settled(s)
        assert s.courier.exchange.tracer is None and not (s.folder / "trace").exists()
        assert "traceparent" not in endpoint.calls[0].headers
        assert b"trace" not in Entry(1, "a", "f", "c", "1", "", "", 1.0, b"").pack()


def test_members_of_a_batch_fare_differently_and_each_has_its_own_trace() -> None:
    ends = {0: "refused", 3: "failed", 5: "over", 7: "spent"}
    with scene() as s:

        def usual(call: Any) -> bytes:
            if call.path != "/hook/batch":
                return answer(200)
            ids = [f"m{n}" for n in range(1, 11)]
            lines = (f"{id} {ends.get(at, 'delivered')}\r\n" for at, id in enumerate(ids))
            return answer(200, "".join(lines).encode())

        endpoint = s.endpoint(kind="hub")
        endpoint.usual = usual  # type: ignore[method-assign]
        tracing(s)
        courier = s.start()
        courier.exchange.settings = api.Settings(**{**vars(courier.exchange.settings), "tick_ms": 60.0})
        commands = [
            Command(
                f"m{n}",
                "platform",
                "rate-update",
                "1",
                "home",
                "",
                s.loop.now() + 9000.0,
                b"x",
                traceparent=PARENT if n == 1 else "",
            )
            for n in range(1, 11)
        ]
        for command in commands:
            courier.exchange.take(command)
        settled(s)
        found = traces(s)
        call = endpoint.calls[0]
        told = dict(part.split(";", 1) for part in call.headers["x-member-traceparent"].split(", "))
        assert len(told) == 10 and "traceparent" not in call.headers
        assert all(told[str(n)] == found[f"m{n + 1}"].context.header(1)[:-2] + "01" for n in range(10))
        assert {found[f"m{n + 1}"].attempts[0].outcome for n in ends} == {"full", "error", "moot"}
        for n in range(10):
            t = found[f"m{n + 1}"]
            assert whole(t) and t.attempts[0].members == 10
            assert (t.attempts[0].outcome, t.end) == ("ok", End.DELIVERED) or n in ends


@pytest.mark.parametrize(
    ("script", "outcome", "marks"),
    [
        (DROP, "reset", (True, False)),  # after the last byte
        (b"HTTP/1.1 200 so\r\nContent-Le", "ok", (True, True)),  # the first line says it
        (b"HTTP/1.", "reset", (True, True)),  # at the first bytes of the answer
    ],
)
def test_a_connection_that_breaks_leaves_the_right_marks(
    script: bytes | str, outcome: str, marks: tuple[bool, bool]
) -> None:
    with scene() as s:
        s.endpoint(script)
        tracing(s)
        s.start()
        s.hand_in()
        settled(s)
        first = traces(s)["m1"].attempts[0]
        assert first.outcome == outcome and (first.written >= 0, first.first >= 0) == marks


def test_a_connection_refused_has_no_marks() -> None:
    with scene() as s:
        s.endpoint().listener.close()
        tracing(s)
        s.start()
        s.hand_in(timeout="1500m")
        settled(s)
        t = traces(s)["m1"]
        assert t.end is not End.DELIVERED and whole(t) and t.attempts[0].outcome == "connect_failed"
        assert (t.attempts[0].connected, t.attempts[0].written, t.attempts[0].first) == (-1.0, -1.0, -1.0)
        assert t.spans[-1].kind is Kind.NOTICE


def test_a_partner_stalls_and_every_late_message_names_it() -> None:
    """One of four partners answers nothing for five seconds, with traffic on all of them."""
    with scene(family_info={"max_calls": 40}) as s:
        endpoints = [s.endpoint(block=n) for n in range(1, 5)]
        tracing(s, share=0.0, slowest=0)
        s.start()
        until = s.loop.now() + 5000.0
        stalled = endpoints[0]
        stalled.script = [STALL] * 100
        numbers: dict[str, int] = {}
        for n in range(60):
            dest = 1 if n % 12 == 0 else 2 + n % 3
            id, head = s.hand_in(dest=dest, timeout="28000m")
            assert b" 202 " in head
            numbers[id] = dest
            s.rest(25.0)
        s.until(lambda: s.loop.now() >= until)
        stalled.script = []
        s.until(lambda: s.courier.exchange.idle, 60000.0)
        found = traces(s)
        late = {id: t for id, t in found.items() if t.late > 0}
        assert late and {numbers[id] for id in late} == {1} and all(whole(t) for t in found.values())
        assert all(t.total > 2000.0 and t.spans[0].kind is Kind.DOOR for t in late.values())
        made = report.build(iter(found.values()))
        first = made.ordered()[0]
        assert first.dest == "1" and sum(r.late_ms for r in made.rows.values()) == pytest.approx(made.late_ms)
        assert made.parties()[0][:2] == ("1", "partner") and sum(p[2] for p in made.parties()) > 0.999
        assert any(r.what == "attempt s-1" and r.late_ms > 0 for r in made.ordered())


def test_a_kill_in_the_midst_of_an_attempt_stays_one_trace() -> None:
    """The resend after a restart joins the trace; what went before stands in it, and so does the gap."""
    with scene() as s:
        endpoint = s.endpoint(answer(500), STALL)
        tracing(s, share=0.0, slowest=0)
        s.start()
        s.hand_in(traceparent=PARENT, timeout="5000m")
        s.until(lambda: len(endpoint.calls) == 2)
        s.courier.halt()
        s.rest(300.0)
        s.start()
        s.until(lambda: len(endpoint.calls) == 3)
        settled(s)
        assert [call.headers["traceparent"][:35] for call in endpoint.calls] == [PARENT[:35]] * 3
        assert len({call.headers["traceparent"] for call in endpoint.calls}) == 3
        t = traces(s)["m1"]  # its aim lay in the past, so it is late and kept
        assert whole(t) and t.flag(codec.RESUMED) and not t.flag(codec.CLOCK_STEPPED)
        assert [(a.number, a.outcome, a.earlier) for a in t.attempts] == [
            (1, "error", True),
            (2, "out", True),
            (3, "ok", False),
        ]
        down = [span for span in t.spans if span.kind is Kind.DOWN]
        assert len(down) == 1 and down[0].ms >= 250.0
        kinds = [span.kind for span in t.spans]
        assert kinds.index(Kind.DOWN) > [n for n, k in enumerate(kinds) if k is Kind.ATTEMPT][0]


def test_a_wait_told_at_the_seventh_attempt_across_a_kill() -> None:
    with scene(limits={"most_tries": 8}) as s:
        endpoint = s.endpoint(*[answer(503, X_Come_Back_Ms=40)] * 6, answer(503, X_Come_Back_Ms=400))
        tracing(s)
        s.start()
        s.hand_in(timeout="27000m")
        s.until(lambda: len(endpoint.calls) == 3)
        s.rest(40.0)
        s.again()
        settled(s)
        t = traces(s)["m1"]
        assert len(t.attempts) == 8 == len(endpoint.calls) and whole(t)
        assert [a.outcome for a in t.attempts] == ["full"] * 7 + ["ok"] and t.attempts[6].told == 400.0
        assert 350.0 < t.attempts[7].obeyed <= 400.0 and [a.earlier for a in t.attempts[:3]] == [True] * 3


def test_a_notice_is_traced_until_its_204() -> None:
    with scene() as s:
        s.endpoint().listener.close()
        s.discovery.refuse = 2
        tracing(s)
        s.start()
        s.hand_in("usage-record", timeout="600m")
        settled(s)
        t = traces(s)["m1"]
        assert [span.ref for span in t.spans if span.kind is Kind.NOTICE] == [0, 1, 2] and whole(t)
        assert t.outcome in ("returned", "failed")


def test_refusals_at_the_door_are_traces_and_sighup_turns_tracing_off_and_on() -> None:
    with scene(limits={"max_open": 1}) as s:
        s.endpoint(STALL)
        tracing(s, share=0.0)
        s.start()
        s.hand_in(timeout="4000m")  # held until all of what follows is asked, also on a busy machine
        assert b" 503 " in s.hand_in(traceparent=PARENT)[1]
        found = traces(s)
        assert found["m2"].outcome == "refused" and found["m2"].trace_id == PARENT[3:35]
        assert [span.kind for span in found["m2"].spans] in ([Kind.DOOR], [])
        assert found["m2"].why == "too many messages held"
        file = s.folder / "own.toml"
        on = file.read_text()
        file.write_text(on.replace("true", "false"))
        reload(s.courier, s.told)
        assert s.courier.exchange.tracer is None
        s.hand_in()
        file.write_text(on.replace("share", "shear"))
        reload(s.courier, s.told)
        assert s.courier.exchange.tracer is None  # a bad file changes nothing
        file.write_text(on)
        reload(s.courier, s.told)
        s.hand_in()
        settled(s)
        assert {"m2", "m4"} <= traces(s).keys() and "m3" not in traces(s)


@pytest.mark.parametrize("harm", ["folder", "disk", "fault"])
def test_nothing_that_befalls_tracing_befalls_a_message(
    harm: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    with scene() as s:
        endpoint = s.endpoint()
        tracing(s)
        courier = s.start()
        tracer = courier.exchange.tracer
        assert tracer is not None and tracer.store is not None
        if harm == "folder":
            shutil.rmtree(s.folder / "trace")
            tracer._tidy_at = 0.0
        elif harm == "disk":

            def full(*_: object) -> int:
                raise OSError(28, "no space left")

            monkeypatch.setattr("ashvale.trace.store.os.write", full)
            monkeypatch.setattr("ashvale.disk.os.write", __import__("posix").write)
        else:
            monkeypatch.setattr(tracer, "_finish", lambda *_: 1 / 0)
        if harm == "disk":  # the two modules share `os`; only the store's part of it may fail
            monkeypatch.undo()
            monkeypatch.setattr(tracer.store, "_put", full)
        for _ in range(5):
            assert b" 202 " in s.hand_in()[1]
        settled(s)
        assert len(endpoint.calls) == 5 and tracer.store is None
        assert sum(r.getMessage() == "tracing stopped" for r in caplog.records) == 1


def test_a_clock_that_steps_back_over_a_restart_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    with scene() as s:
        endpoint = s.endpoint(STALL)
        tracing(s, share=1.0)
        s.start()
        s.hand_in(timeout="20000m")
        s.until(lambda: len(endpoint.calls) == 1)
        s.courier.halt()
        real = __import__("time").time
        monkeypatch.setattr("time.time", lambda: real() - 3600.0)
        s.start()
        settled(s)
        t = traces(s)["m1"]
        assert t.flag(codec.CLOCK_STEPPED) and whole(t) and t.end is End.DELIVERED


def test_the_verdict_outlasts_the_process() -> None:
    """A share that is changed between two lives changes nothing for what the first has taken."""
    with scene() as s:
        endpoint = s.endpoint(STALL)
        tracing(s, share=1.0, slowest=0)
        s.start()
        s.hand_in(timeout="27900m")
        s.until(lambda: len(endpoint.calls) == 1)
        tracing(s, share=0.0, slowest=0)
        s.again()
        settled(s)
        s.hand_in(timeout="28000m")
        settled(s)
        assert traces(s).keys() == {"m1"}


# Mail


@pytest.mark.parametrize(
    ("body", "headers", "found"),
    [
        (b"A: 1\r\n\r\nx\r\n", [], b"A: 1\r\n\r\nx\r\n"),
        (b"A: 1\r\n\r\nx\r\n", [("traceparent", "p")], b"Traceparent: p\r\nA: 1\r\n\r\nx\r\n"),
        (
            b"A: 1\r\nTRACEPARENT: old\r\n folded\r\nB: 2\r\n\r\ntraceparent: body\r\n",
            [("traceparent", "p")],
            b"Traceparent: p\r\nA: 1\r\nB: 2\r\n\r\ntraceparent: body\r\n",
        ),
        (b"\r\nx\r\n", [("traceparent", "p")], b"Traceparent: p\r\n\r\nx\r\n"),
        (b"no head\r\n", [("traceparent", "p")], b"Traceparent: p\r\n\r\nno head\r\n"),
    ],
)
def test_headers_over_mail(body: bytes, headers: list[tuple[str, str]], found: bytes) -> None:
    assert mail.with_headers(body, headers) == found


@pytest.mark.parametrize("told", [False, True])
def test_mail_is_traced_and_its_body_stays_unless_the_file_says_otherwise(tmp_path: Path, told: bool) -> None:
    setup = tmp_path / "own.toml"
    setup.write_text(f"[trace]\nenabled = true\nshare = '100 %'\nmail_headers = {str(told).lower()}\n")
    loop = Loop()
    partner = Partner(loop)
    file = tmp_path / "mail.toml"
    file.write_text(rehearsal.set_up(partner.address[1]))
    courier = Courier(
        config.load({"ASHVALE_MAIL": str(file), "LB_STATE": str(tmp_path), "ASHVALE_SETTINGS": str(setup)}),
        loop,
    )
    assert courier.mail is not None
    client = Client(loop, courier.mail.listeners[0].address)
    text = f"Traceparent: {PARENT}\r\nMessage-ID: <1@x>\r\n\r\nhello\r\n"
    replies = run(loop, client.send("x@home.example", [rehearsal.RATE], text.encode(), False))
    assert replies[0].startswith("250")
    courier.halt()
    (t,) = read_all(tmp_path / "trace", Stock())
    assert t.trace_id == PARENT[3:35] and t.front == "mail" and whole(t) and t.attempts[0].outcome == "ok"
    body = partner.deliveries[0].body
    assert (t.context.attempt(1).encode() in body) is told and (PARENT.encode() in body) is not told
    loop.close()


# On a clock of its own


class Clock(Loop):
    """A loop whose time is moved by hand."""

    time = 1000.0

    def now(self) -> float:
        return self.time

    def pass_by(self, ms: float) -> None:
        end = self.time + ms
        while True:
            while self.ready:
                task, fired = self.ready.popleft()
                task.step(fired)
            if not self._timers or self._timers[0][0] > end:
                break
            self.time = max(self.time, self._timers[0][0])
            self.turn(0.0)
        self.time = end


class World:
    """An exchange with tracing between a front and a carrier that a test plays."""

    def __init__(self, folder: Path, **keys: Any) -> None:
        self.loop = Clock()
        settings = api.Settings(
            classes=(SAFE, KEYED, ORDERED),
            kinds=(api.Kind("hub", per_call=3),),
            slots=6,
            max_open=500,
            max_attempts=5,
            tick_ms=2.0,
            order_settle_ms=200.0,
        )
        self.exchange = Exchange(self.loop, settings, 1, Journal(folder, 5_000_000))
        self.exchange._wall = HERE_START
        self.exchange.fronts["f"] = self  # type: ignore[assignment]
        self.exchange.carriers["platform"] = self  # type: ignore[assignment]
        setup = config.Trace(folder / "trace", **{"budget": 10_000_000, "age_ms": 1e12, "share": 1.0, **keys})
        self.tracer = self.exchange.tracer = Recorder(self.exchange, setup, "n1", random.Random(5).randbytes)
        self.out: list[tuple[Attempt, Entry]] = []
        self.untold: list[Entry] = []
        self.begun: dict[str, int] = {}
        self.life: dict[str, tuple[float, float]] = {}
        self.ends: dict[str, str] = {}
        self.withdrawn: set[str] = set()

    def list(self, dests: int, ready: bool = True) -> None:
        self.exchange.endpoints_known(
            api.ListKind.FULL,
            [Endpoint(f"e{n}", str(n), ("127.0.0.1", n + 1), "hub", ready=ready) for n in range(dests)],
        )

    def take(self, id: str, dest: int, cls: str = "safe", ms: float = 5000.0) -> None:
        now = self.loop.now()
        self.life[id] = now - 3.0, 0.0
        self.exchange.take(Command(id, "f", cls, str(dest), "", "", now + ms, b"x", began=now - 3.0))

    def ended(self, entry: Entry) -> None:
        self.ends[entry.id] = entry.state
        if entry.state == "delivered":
            self.tell(entry)
        else:
            self.untold.append(entry)

    def tell(self, entry: Entry) -> None:
        if entry.id not in self.withdrawn:
            self.life[entry.id] = self.life[entry.id][0], self.loop.now()
        self.exchange.told(entry)

    def keep_ms(self, entry: Entry, state: str, after_ms: float) -> float:
        return 0.0

    def execute(self, attempt: Attempt) -> None:
        for entry in attempt.parts:
            self.out.append((attempt, entry))
            self.begun[entry.id] = self.begun.get(entry.id, 0) + 1

    def cancel(self, attempt: Attempt) -> None: ...

    def close_idle(self, endpoint: str) -> None: ...

    def halt(self) -> None: ...

    def traces(self) -> dict[str, Trace]:
        assert self.tracer.store is not None
        return {t.id: t for t in read_all(self.tracer.setup.folder, Stock())}


MOVES = st.lists(
    st.one_of(
        st.tuples(st.just("take"), st.integers(0, 3), st.sampled_from(["safe", "keyed", "ordered"])),
        st.tuples(st.just("wait"), st.floats(0.5, 900.0), st.none()),
        st.tuples(st.just("end"), st.integers(0, 20), st.sampled_from(list(Outcome))),
        st.tuples(st.just("list"), st.integers(0, 4), st.booleans()),
        st.tuples(st.just("withdraw"), st.integers(0, 20), st.none()),
        st.tuples(st.just("tell"), st.integers(0, 20), st.booleans()),
    ),
    max_size=60,
)


@given(MOVES)
@hypothesis_settings(max_examples=60)
def test_whatever_the_order_each_message_has_one_trace(tmp_path_factory: Any, moves: Any) -> None:
    """Random takes, ends, lists, withdrawals and notices against the rules on spans."""
    world = World(tmp_path_factory.mktemp("w"))
    world.list(3)
    count, withdrawn = 0, world.withdrawn
    for what, number, more in moves:
        if what == "take":
            count += 1
            world.take(f"m{count}", number, more)
        elif what == "wait":
            world.loop.pass_by(number)
        elif what == "end" and world.out:
            attempt, entry = world.out.pop(number % len(world.out))
            world.exchange.report(attempt, entry, more, 70.0 * (number % 3))
        elif what == "list":
            world.list(number, more)
        elif what == "withdraw" and world.exchange._owed:
            entry = list(world.exchange._owed.values())[number % len(world.exchange._owed)]
            world.life[entry.id] = world.life[entry.id][0], world.loop.now()
            world.exchange.withdraw(entry)
            withdrawn.add(entry.id)
        elif what == "tell" and world.untold:
            entry = world.untold[number % len(world.untold)]
            if more:
                world.untold.remove(entry)
                world.tell(entry)
            else:
                world.exchange.untold(entry)
    for _ in range(40):
        world.loop.pass_by(500.0)
        while world.out:
            world.exchange.report(*world.out.pop(), Outcome.OK)
        while world.untold:
            world.tell(world.untold.pop())
    found = world.traces()
    assert world.tracer.store is not None and not world.tracer._live and not world.tracer._waiting
    assert found.keys() == {f"m{n + 1}" for n in range(count)}
    for id, t in found.items():
        begun, ended = world.life[id]
        assert whole(t) and t.total == pytest.approx(ended - begun, abs=2.1)  # to within one tick
        assert t.end is (End.WITHDRAWN if id in withdrawn else ENDS[world.ends[id]])
        if id not in withdrawn:
            assert len(t.attempts) == world.begun.get(id, 0)
    world.tracer.close()
    world.loop.close()


def test_a_slow_spell_of_all_calls_stays_within_the_budget_and_loses_no_late_message(tmp_path: Path) -> None:
    """Six virtual minutes in which every call takes seconds: all late, all kept, at some sixty bytes each."""
    world = World(tmp_path, share=0.0, budget=2_000_000, details=5)
    world.exchange.configure(api.Settings(**{**vars(world.exchange.settings), "slots": 400}))
    world.list(30)
    sequence = random.Random(3)
    due: list[tuple[float, Attempt, Entry]] = []
    count = 0
    while world.loop.now() < 360_000.0:
        for _ in range(6):
            count += 1
            world.take(f"{sequence.getrandbits(64):016x}", sequence.randrange(30), ms=6000.0)
        world.loop.pass_by(100.0)
        due += [(world.loop.now() + sequence.uniform(1500.0, 3500.0), *pair) for pair in world.out]
        world.out.clear()
        for _at, attempt, entry in [d for d in due if d[0] <= world.loop.now()]:
            world.exchange.report(attempt, entry, Outcome.OK)
        due = [d for d in due if d[0] > world.loop.now()]
        while world.untold:
            world.tell(world.untold.pop())
    store = world.tracer.store
    assert store is not None and not store.missing
    late = sum(
        1
        for id, state in world.ends.items()
        if state != "delivered" or world.life[id][1] - world.life[id][0] > 1003.0
    )
    found = [t for t in read_all(tmp_path / "trace", Stock()) if t.wrong]
    assert late <= len(found) and late > 10_000 and all(whole(t) for t in found)
    used = sum(p.stat().st_size for p in (tmp_path / "trace" / "n1").iterdir())
    assert used <= 2_000_000 and used / len(found) < 90.0
    detailed = sum(t.detail is not None for t in found)
    assert 0 < detailed < len(found) / 4 and all(t.cause is not None for t in found)
    world.tracer.close()
    world.loop.close()


def test_a_full_connection_table_is_a_reason(tmp_path: Path) -> None:
    world = World(tmp_path)
    world.list(2)
    for id in ("m1", "m2"):  # each in a call of its own: the second cannot connect while the first is served
        world.take(id, 0)
        world.loop.pass_by(50.0)
    world.exchange.report(*world.out.pop(), Outcome.CONNECT_FAILED)
    world.loop.pass_by(900.0)
    world.loop.pass_by(300.0)
    while world.out:
        world.exchange.report(*world.out.pop(), Outcome.OK)
    world.loop.pass_by(900.0)
    while world.out:
        world.exchange.report(*world.out.pop(), Outcome.OK)
    found = world.traces()
    held = [s for s in found["m2"].spans if s.reason is Reason.TABLE_FULL]
    assert len(held) == 1 and 200.0 < held[0].ms < 500.0 and whole(found["m2"])
    assert [a.outcome for a in found["m2"].attempts] == ["connect_failed", "ok"]
    world.loop.close()


def test_a_client_that_goes_before_its_202_leaves_a_withdrawn_trace(tmp_path: Path) -> None:
    world = World(tmp_path)
    world.list(1)
    world.take("m1", 0)
    world.exchange.withdraw(next(iter(world.exchange._owed.values())))
    world.loop.pass_by(50.0)
    t = world.traces()["m1"]
    assert t.end is End.WITHDRAWN and whole(t) and not t.attempts and not world.begun
    world.loop.close()


def test_what_is_held_and_followed_is_bounded(tmp_path: Path) -> None:
    world = World(tmp_path, live=50)
    for n in range(400):
        world.take(f"m{n}", n % 100)
        world.loop.pass_by(1.0)
    assert len(world.tracer._live) == 50 and len(world.tracer._lines) <= 100
    store = world.tracer.store
    assert store is not None and store.missing["untraced"].count == 350
    world.loop.pass_by(9000.0)
    while world.untold:
        world.tell(world.untold.pop())
    world.loop.pass_by(10.0)
    assert not world.tracer._live and not world.tracer._waiting
    for n in range(2000):
        world.take(f"x{n}", n)
        world.loop.pass_by(20.0)
    assert len(world.tracer._lines) <= 512 and len(world.tracer._due) <= 8 * 512
    world.loop.close()


# Settings


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[trace]\nshare = '200 %'", "share"),
        ("[trace]\nshare = '-1 %'", "share"),
        ("[trace]\nshare = 0.01", "share"),
        ("[trace]\nbudget = '10 KB'", "budget"),
        ("[trace]\nbudget = '512'", "budget"),
        ("[trace]\nenabled = 1", "enabled"),
        ("[trace]\nfolder = 5", "folder"),
        ("[trace]\nshear = 1", "shear"),
        ("[tracing]\n", "tracing"),
        ("trace = 5", "trace"),
        ("[trace]\nslowest = -1", "slowest"),
        ("[trace]\nage = '0 s'", "age"),
        ("[trace]\nlive = 0", "live"),
        ("[trace]\ndetails = 1.5", "details"),
        ("[trace]\nenabled = true\nbudget = '2 MB'", "budget"),
        ("[trace\n", "TOML"),
    ],
)
def test_a_wrong_key_is_named(tmp_path: Path, text: str, key: str) -> None:
    with scene() as s:
        s.environ["ASHVALE_SETTINGS"] = str(tmp_path / "own.toml")
        (tmp_path / "own.toml").write_text(text)
        with pytest.raises(config.ConfigError, match=key):
            s.start()


def test_the_file_that_ships_is_right_and_off(tmp_path: Path) -> None:
    with scene() as s:
        s.start()
        assert s.courier.told.trace is None and s.courier.told.journal_bytes == 3_000_000
        tracing(s, budget="512 KB")
        s.again()
        assert s.courier.told.journal_bytes == 3_000_000 - 512_000
        assert request("rate-update", "x")
