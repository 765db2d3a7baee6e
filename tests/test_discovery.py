"""How soon a change of discovery's list is in force from every state of the retry, in virtual time.

The real `Discovery` of 1, 40 and 200 couriers asks a stand-in agent over streams in memory.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from ashvale.exchange import Endpoint
from ashvale.lab.stand_ins import Call, answer, read_request
from ashvale.lab.virtual import VirtualLoop
from ashvale.loop import FOREVER, Connection, Coroutine, Listener, Signal, sleep
from ashvale.net import discovery
from ashvale.net.discovery import Discovery, RetryPause
from ashvale.net.http_client import CONNECT_MS

AGENT, OTHER_AGENT = ("agent", 80), ("other", 80)
CALL_MS = 30.0  # the agent needs this long for an answer
DELAY_MS = 5.0


class Agent:
    """Discovery's agent. What it does with a call depends on its state, which a test changes."""

    def __init__(self, loop: VirtualLoop, address: tuple[str, int] = AGENT, most: int = 1_000_000) -> None:
        self.loop, self.address, self.most = loop, address, most
        self.version, self.calls = 1, 0
        self.changed = Signal()
        self.behave: Callable[[Connection], Coroutine[bool]] = served
        self.asked: list[float] = []
        self.listener = Listener(loop, address, self._serve, 100_000, "agent")

    def change(self) -> None:
        self.version += 1
        self.changed.fire()

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            call = yield from read_request(connection, self.loop, 0)
            self.asked.append(self.loop.now())
            if self.calls >= self.most:
                yield from connection.send(answer(503), FOREVER)
                continue
            self.calls += 1
            yield from sleep(self.loop, CALL_MS)
            self.calls -= 1
            if (yield from self.behave(connection)):
                yield from self._list(connection, call)

    def _list(self, connection: Connection, call: Call) -> Coroutine[None]:
        if "since=" in call.path:
            until = self.loop.now() + float(call.path.rpartition("timeout_ms=")[2])
            while f"since={self.version}&" in call.path and (yield self.changed, until):
                pass
        hosts = [{"host": "s-1", "dial": "127.0.0.1:9", "block": self.version, "health": "SERVING"}]
        told = {"seq": self.version, "whole": True, "hosts": hosts}
        yield from connection.send(answer(200, json.dumps(told).encode()), FOREVER)


def served(_connection: Connection) -> Coroutine[bool]:
    yield from ()
    return True


def refused(connection: Connection) -> Coroutine[bool]:
    yield from connection.send(answer(503), FOREVER)
    return False


def reset(connection: Connection) -> Coroutine[bool]:
    connection.close()
    yield from ()
    return False


def silent(_connection: Connection) -> Coroutine[bool]:
    yield Signal(), FOREVER
    return False


def half_an_answer(connection: Connection) -> Coroutine[bool]:
    yield from connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"seq": 1', FOREVER)
    yield Signal(), FOREVER
    return False


def garbage(connection: Connection) -> Coroutine[bool]:
    yield from connection.send(answer(200, b"[1, 2"), FOREVER)
    return False


def gone(connection: Connection) -> Coroutine[bool]:
    yield from connection.send(answer(410), FOREVER)
    return False


@dataclass
class Courier:
    """What `Discovery` needs of the exchange, and what it told it."""

    couriers: int
    loop: VirtualLoop
    in_force: dict[int, float] = field(default_factory=dict)  # when each version was first in force

    def __post_init__(self) -> None:
        self.settings = SimpleNamespace(forwarders=self.couriers)

    def endpoints_known(self, _how: Any, _instances: Iterable[Endpoint], version: int) -> None:
        self.in_force.setdefault(version, self.loop.now())


def fleet(loop: VirtualLoop, count: int, seed: int) -> tuple[list[Courier], list[Discovery]]:
    couriers = [Courier(count, loop) for _ in range(count)]
    follows = [
        Discovery(loop, courier, AGENT, Random(seed * 1000 + number))  # type: ignore[arg-type]
        for number, courier in enumerate(couriers)
    ]
    for follow in follows:
        loop.spawn(follow.run(), "discovery")
    return couriers, follows


def run_for(loop: VirtualLoop, ms: float) -> None:
    until = loop.now() + ms
    loop.call_at(until, lambda: None)
    loop.run_until(lambda: loop.now() >= until, until + 1.0)


STATES = {
    "refused": refused,
    "reset": reset,
    "silent": silent,
    "half an answer": half_an_answer,
    "garbage": garbage,
    "version gone": gone,
}


@pytest.mark.parametrize("couriers", (1, 40, 200))
@pytest.mark.parametrize("state", STATES)
def test_a_change_is_in_force_in_time_whatever_call_failed_before(state: str, couriers: int) -> None:
    """The agent fails for long, changes meanwhile, and can be reached again."""
    for seed in range(4 if couriers == 1 else 1):
        loop = VirtualLoop(lambda _source, _target: DELAY_MS)
        agent = Agent(loop)
        told, _ = fleet(loop, couriers, seed)
        run_for(loop, 1000.0)
        agent.behave = STATES[state]
        agent.change()  # polls that are open end with it: by a failure
        run_for(loop, 45_000.0 + 700.0 * seed)
        agent.change()
        back, agent.behave = loop.now(), served
        run_for(loop, discovery.MUST_KNOW_MS)
        assert all(agent.version in courier.in_force for courier in told)
        assert (
            max(courier.in_force[agent.version] for courier in told) - back < discovery.MUST_KNOW_MS - 250.0
        )


@pytest.mark.parametrize("couriers", (1, 40, 200))
def test_a_machine_that_was_away_is_asked_again_in_time(couriers: int) -> None:
    """Nothing answers, not even to connect; first, while a poll is open on a connection that falls silent."""
    loop = VirtualLoop(lambda _source, _target: DELAY_MS)
    agent = Agent(loop)
    told, _ = fleet(loop, couriers, 1)
    run_for(loop, 1000.0)
    loop.net.silent.add(AGENT)
    agent.change()
    run_for(loop, 30_000.0)
    loop.net.heard(AGENT)
    back = loop.now()
    run_for(loop, discovery.MUST_KNOW_MS)
    assert max(courier.in_force[agent.version] for courier in told) - back < 2 * CONNECT_MS + 500.0


@pytest.mark.parametrize("state", [*STATES, "away"])
def test_after_a_reload_another_agent_is_asked_at_once(state: str) -> None:
    """Whatever pause or call is under way at the old one: its list counts as told 4 s after the signal."""
    for seed in range(6):
        loop = VirtualLoop(lambda _source, _target: DELAY_MS)
        agent, other = Agent(loop), Agent(loop, OTHER_AGENT)
        (courier,), (follow,) = fleet(loop, 1, seed)
        courier.settings.forwarders = 200  # its pauses are those of a large fleet
        run_for(loop, 1000.0)
        agent.behave = STATES.get(state, served)
        if state == "away":
            loop.net.silent.add(AGENT)
        agent.change()
        run_for(loop, 20_000.0 + 900.0 * seed)
        other.version = 77
        moved = loop.now()
        follow.move(OTHER_AGENT)
        run_for(loop, 4000.0)
        assert courier.in_force[77] - moved < CONNECT_MS + 500.0


@pytest.mark.parametrize("couriers", (1, 40, 200))
def test_a_new_process_asks_at_once(couriers: int) -> None:
    loop = VirtualLoop(lambda _source, _target: DELAY_MS)
    agent = Agent(loop)
    told, _ = fleet(loop, couriers, 1)
    run_for(loop, 500.0)
    assert all(agent.version in courier.in_force for courier in told)


def test_a_poll_that_falls_silent_is_given_up_in_time() -> None:
    assert discovery.POLL_MS + discovery.ANSWER_MS < discovery.MUST_KNOW_MS
    loop = VirtualLoop(lambda _source, _target: DELAY_MS)
    agent = Agent(loop)
    (courier,), _ = fleet(loop, 1, 1)
    run_for(loop, 1000.0)
    agent.behave = silent
    for _ in range(2):  # the poll that is open is answered; the next is not
        agent.change()
        run_for(loop, 100.0)
    fell, agent.behave = loop.now(), served
    run_for(loop, discovery.MUST_KNOW_MS)
    assert courier.in_force[agent.version] - fell < discovery.MUST_KNOW_MS


@pytest.mark.parametrize("couriers", (40, 200))
def test_an_agent_that_holds_few_calls_serves_a_large_fleet_in_time(couriers: int) -> None:
    """It refused everybody for long; then it holds a few calls at once and refuses what is beyond.

    Each courier has the change 6 s after the last call of its own that the agent refused, nearly all of them
    6 s after the agent's return, and their calls do not come together.
    """
    for seed in range(3):
        loop = VirtualLoop(lambda _source, _target: DELAY_MS)
        agent = Agent(loop)
        told, _ = fleet(loop, couriers, seed)
        run_for(loop, 1000.0)
        agent.behave = refused
        agent.change()
        run_for(loop, 60_000.0)
        refusals = [at for at in agent.asked if at > loop.now() - 10_000.0]
        in_lockstep = max(
            sum(at // 50.0 == slot for at in refusals) for slot in {a // 50.0 for a in refusals}
        )
        assert len(refusals) <= couriers * 10_000.0 / (0.5 * discovery.LONGEST_PAUSE_MS)
        assert in_lockstep <= max(6, couriers // 12)  # as one, all of them would come in one slot
        agent.change()
        back, agent.behave, agent.most = loop.now(), served, 5
        run_for(loop, 2 * discovery.MUST_KNOW_MS)
        times = sorted(courier.in_force[agent.version] - back for courier in told)
        assert times[int(0.9 * couriers)] < discovery.MUST_KNOW_MS
        assert times[-1] < 2 * discovery.LONGEST_PAUSE_MS + 500.0


def test_no_pause_is_longer_than_what_a_change_allows() -> None:
    for seed in range(50):
        for couriers in (1, 40, 200, 3300):
            pause = RetryPause(Random(seed))
            for _ in range(99):
                asked_again = pause.after_failure(couriers, refused=True)
                assert asked_again <= discovery.LONGEST_PAUSE_MS
                assert asked_again >= min(discovery.REFUSED_MS * couriers, discovery.LONGEST_PAUSE_MS) / 2
            pause.succeeded()
            assert pause.after_failure(couriers, refused=False) <= discovery.RETRY_MS[0]
            assert all(pause.after_failure(couriers, refused=False) <= 1000.0 for _ in range(99))
            assert pause.after_silence(couriers) <= discovery.RETRY_MS[0]
    assert RetryPause(Random(1)).after_failure(1, refused=True) < 50.0
