"""Limits in force before each call: the decision module with a door, on a clock of the test's own."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count

import pytest

from ashvale import interface as api
from ashvale.control import Controller
from ashvale.interface import Outcome
from ashvale.routing.build import Plan
from ashvale.routing.door import Door, Doors
from tests.samples import SAFE, listed, settings
from tests.test_door import SET, facts, made

Sent = tuple[float, int, int]  # time, message, destination


Answer = Callable[[int, float], tuple[Outcome, float]]  # from destination and time


class Drive:
    """A Controller and a door; `outcome` says of a call how it ends and after how long."""

    def __init__(self, plan: Plan, outcome: Answer, **changes: object) -> None:
        self.door, self.outcome = Door(plan), outcome
        self.controller = Controller(settings(may_probe=False, **changes), 1)
        self.controller.limits = Doors([self.door])
        self.now, self._numbers = 0.0, count(1)
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.sent: list[Sent] = []
        self.out: dict[int, tuple[int, int]] = {}
        self.most: dict[int, int] = {}
        self.ends: dict[int, tuple[float, str]] = {}
        self.attempts: dict[int, int] = {}
        self.dests: dict[int, int] = {}
        self.deadlines: dict[int, float] = {}

    def at(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._due, (when, next(self._numbers), step))

    def tell(self, event: api.Event) -> None:
        for action in self.controller.handle(event, self.now):
            if isinstance(action, api.Wake):
                token = action.token
                self.at(self.now + action.after_ms, lambda token=token: self.tell(api.Timer(token)))
            elif isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, (api.Refuse, api.Fail)):
                self._end(action.message, type(action).__name__)

    def _end(self, number: int, how: str) -> None:
        assert number not in self.ends
        self.ends[number] = self.now, how
        self.door.release([number], self.now)

    def _send(self, action: api.Send) -> None:
        number = action.message
        assert number not in self.out and number not in self.ends
        dest, attempt = self.dests[number], self.attempts[number]
        self.attempts[number] += 1
        self.sent.append((self.now, number, dest))
        self.out[number] = dest, attempt
        self.most[0] = max(self.most.get(0, 0), len(self.out))
        outcome, took = self.outcome(dest, self.now)

        def settle() -> None:
            del self.out[number]
            if outcome is Outcome.OK:
                self._end(number, "ok")
            self.tell(api.Settled(number, attempt, action.target, outcome, took, outcome is Outcome.OK))

        self.at(self.now + took, settle)

    def offer(self, number: int, dest: int) -> None:
        route = self.door.route(facts(dest))
        if self.door.admit(facts(dest), route, SAFE.deadline_ms, self.now) is not None:
            self.ends[number] = self.now, "door"
            return
        self.dests[number], self.attempts[number] = dest, 0
        self.deadlines[number] = self.now + SAFE.deadline_ms
        self.door.hold(number, str(number), route, "home", str(dest), False, self.now)
        self.tell(api.NewMessage(number, 0, dest, self.now + SAFE.deadline_ms))

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, step = heapq.heappop(self._due)
            step()
        self.now = until


def limits(of_one: str, home: str = "held = 5000") -> Plan:
    return made(SET.replace("held = 2", of_one).replace("held = 4", home))


LISTED = listed(api.Listing(b"a", 1), api.Listing(b"b", 1), api.Listing(b"c", 2))


def well(_dest: int, _now: float) -> tuple[Outcome, float]:
    return Outcome.OK, 40.0


def driven(
    plan: Plan, outcome: Answer, pace: float, until: float, dests: tuple[int, ...] = (1, 2), slots: int = 16
) -> Drive:
    drive = Drive(plan, outcome, slots=slots, max_open=4000)
    drive.tell(LISTED)
    number, at = 0, 1.0
    while at < until:
        number += 1
        drive.at(at, lambda n=number: drive.offer(n, dests[n % len(dests)]))
        at += pace
    drive.run(until + SAFE.deadline_ms + 1000.0)
    assert drive.ends.keys() == set(range(1, number + 1))  # each has one end
    assert all(drive.ends[n][0] <= limit for n, limit in drive.deadlines.items())
    return drive


def test_calls_at_once_are_kept_over_destinations_that_share_a_limit() -> None:
    drive = driven(limits("held = 500", "at_once = 3"), well, 10.0, 3000.0)
    assert drive.most[0] == 3 and {how for _, how in drive.ends.values()} >= {"ok"}
    assert drive.door.held("home", drive.now) == 0
    free = driven(limits("held = 500", "at_once = 300"), well, 10.0, 3000.0)
    assert free.most[0] > 3  # the limit is what held it


@pytest.mark.parametrize("rate", [1, 4, 20])
def test_a_rate_is_kept_in_every_second_and_used(rate: int) -> None:
    drive = driven(limits(f'rate = "{rate}/s"'), well, 25.0, 8000.0, (1,))
    times = [at for at, _, _ in drive.sent]
    for start in times:
        assert sum(start <= at < start + 1000.0 for at in times) <= 2 * rate + 1
    assert len(times) >= rate * 8
    late = [number for number, (_, how) in drive.ends.items() if how == "Refuse"]
    assert 10 * len(late) <= len(times)  # most that cannot be served are turned away at the door


@pytest.mark.parametrize("share", [0, 20, 100])
def test_a_pool_that_fails_is_not_hammered_and_what_cannot_be_tried_again_is_answered(share: int) -> None:
    def fails(_dest: int, now: float) -> tuple[Outcome, float]:
        return (Outcome.ERROR if now > 1000.0 else Outcome.OK), 20.0

    drive = driven(limits("held = 500", f'retries = "{share} %"'), fails, 40.0, 10_000.0)
    firsts = len({number for _, number, _ in drive.sent})
    again = len(drive.sent) - firsts
    assert again <= share / 100 * firsts + 0.2 * 17 + 2
    assert share == 0 or again > 3
    loose = driven(limits("held = 500"), fails, 40.0, 10_000.0)
    assert len(loose.sent) - len({n for _, n, _ in loose.sent}) > again - (share == 100)
    if share == 0:  # the reserve lets a few by; the rest is told as soon as that is plain
        first = {number: at for at, number, _ in reversed(drive.sent)}
        told = sorted(drive.ends[n][0] - first[n] for n in first if drive.ends[n][1] == "Refuse")
        assert told[len(told) // 2] < 100.0


def test_a_rate_at_one_destination_leaves_another_alone() -> None:
    drive = driven(limits('rate = "1/s"'), well, 50.0, 4000.0)
    to_two = [n for n, dest in drive.dests.items() if dest == 2]
    assert all(drive.ends[n][1] == "ok" and drive.ends[n][0] < drive.deadlines[n] - 5500.0 for n in to_two)


def test_swaps_at_random_moments_open_no_limit() -> None:
    plans = [limits("held = 500", "at_once = 2"), limits('rate = "50/s"', "at_once = 2")]
    drive, sequence = Drive(plans[0], well, slots=16, max_open=4000), random.Random(3)
    drive.tell(LISTED)
    for number in range(1, 301):
        drive.at(number * 10.0, lambda n=number: drive.offer(n, n % 2 + 1))
        drive.at(
            number * 10.0 + sequence.random() * 10.0,
            lambda: drive.door.swap(sequence.choice(plans), drive.now),
        )
    drive.run(12_000.0)
    assert drive.most[0] == 2 and len(drive.ends) == 300
    assert drive.door.held("home", drive.now) == 0
