"""Routes, limits and pools in force: what is turned away, which partner has a message, when its calls may go.

It owns how much of each limit is used and which partner of its pool each message is with, and must never know
a wire, a clock or the journal. What was taken on stays under the limits that it came under, also when another
plan comes; a swap opens and closes nothing that is held. A route only narrows: which endpoint is called, and
whether again, the decision module decides, which asks here before each send (`interface.CallLimits`).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Optional

from ashvale.routing.build import Plan
from ashvale.routing.health import Health
from ashvale.routing.limits import Limits
from ashvale.routing.pools import FULL, choose
from ashvale.routing.router import Facts, Route

SOON_MS = 500.0  # when to come back where only the end of another message makes room
LINE = 0.5  # of its time that a message may stand in line for a rate; the rest is for its tries
TIDY_MS = 10_000.0


@dataclass(frozen=True)
class Refusal:
    """Why a message is turned away, and when it may come again."""

    why: str
    after_ms: float


@dataclass(eq=False)
class _Held:
    """A message: its route and network, the destination that has it, the limits that count it."""

    id: str
    network: str
    route: Optional[Route]
    dest: str
    names: tuple[str, ...]
    calls: tuple[str, ...] = ()  # limits that count its call, while one is out
    out: bool = False
    again: bool = False  # it had a try before
    ended: bool = False

    @property
    def waits_again(self) -> bool:
        return self.again and not self.out


class Door:
    """What one courier lets in and lets go, for one front. Messages are named by number.

    `crosses` is whether a message may go to another destination than the one that it came for: never on the
    platform, where a pool steers nothing.
    """

    def __init__(self, plan: Plan, seed: int = 0, crosses: bool = False) -> None:
        self._limits = Limits(plan.limits)
        self._held: dict[int, _Held] = {}
        self._crosses = crosses
        self.health = Health(random.Random(seed))
        self._tidy_at = 0.0
        self._use(plan)

    def _use(self, plan: Plan) -> None:
        self.plan = plan
        self._partners = {destination: name for name, destination in plan.destinations.items()}

    def swap(self, plan: Plan, now: float) -> None:
        """Follow another plan; what is held stays counted under each limit that has gone on."""
        self._limits.swap(plan.limits, now)
        for held in self._held.values():
            held.names = tuple(name for name in held.names if name in plan.limits)
            held.calls = tuple(name for name in held.calls if name in plan.limits)
        self._use(plan)
        self.health.keep(set(self._partners))

    def _names(self, route: Optional[Route], dest: str, network: str) -> tuple[str, ...]:
        return self.plan.limits_of(route, self._partners.get(dest, ""), network)

    # Messages

    def route(self, facts: Facts) -> Optional[Route]:
        """The route of a message, to be found once and handed to the next three."""
        return self.plan.router.find(facts)

    def admit(self, facts: Facts, route: Optional[Route], left_ms: float, now: float) -> Optional[Refusal]:
        """Why a message is turned away that has so long to its deadline; None where it may be taken on."""
        if route is not None and route.refuse_ms is not None:
            return Refusal(f"route {route.name}", route.refuse_ms)
        for name in self._names(route, facts.destination, facts.network):
            meter = self._limits.meter(name, now)
            if not meter.room():
                return Refusal(f"limit {name}", SOON_MS)
            # Guards clients against a wait that is longer than their message: it is told now, not later.
            if (line := meter.line(now, False, 1)) >= LINE * left_ms:
                return Refusal(f"limit {name}", min(line - LINE * left_ms + SOON_MS, 1e9))
        return None

    def assign(self, id: str, route: Optional[Route], dest: str, now: float) -> str:
        """The destination of a message: its pool's choice, or the one that it came for."""
        if route is None or not route.pool or not self._crosses:
            return dest
        found = choose(route, id, lambda partner: self._state(partner, now))
        if found is None:
            return dest
        chosen = self.plan.destinations[found.partner]
        self.health.chosen(chosen, now)
        return chosen

    def _state(self, partner: str, now: float) -> str:
        state = self.health.state(self.plan.destinations[partner], now)
        own = self.plan.own.get(("partner", partner))
        return state or (FULL if own and not self._limits.room((own,), now) else "")

    def hold(
        self, number: int, id: str, route: Optional[Route], network: str, dest: str, again: bool, now: float
    ) -> None:
        """A message was taken on, or an earlier life of the process has left it."""
        if number in self._held:
            return
        held = self._held[number] = _Held(
            id, network, route, dest, self._names(route, dest, network), again=again
        )
        self._take(held, now)
        if now >= self._tidy_at:
            self._tidy_at = now + TIDY_MS
            self._limits.tidy(now)

    def release(self, numbers: Iterable[int], now: float) -> None:
        """Messages whose end is decided; a call of theirs that is still out counts on until it ends."""
        for number in numbers:
            held = self._held.get(number)
            if held is not None:
                self._give(held, now)
                held.names, held.ended = (), True
                if not held.out:
                    del self._held[number]

    def _take(self, held: _Held, now: float) -> None:
        for name in held.names:
            self._limits.meter(name, now).took(held.waits_again)

    def _give(self, held: _Held, now: float) -> None:
        for name in held.names:
            self._limits.meter(name, now).gave(held.waits_again)

    def held(self, name: str, now: float) -> int:
        """How many messages a limit holds."""
        return self._limits.meter(name, now).held

    # What may go

    def wait(self, message: int, now: float) -> float:
        held = self._held.get(message)
        return self._limits.wait(held.names, now, held.again) if held is not None else 0.0

    def line(self, message: int, now: float) -> float:
        held = self._held.get(message)
        return self._limits.line(held.names, now, held.again) if held is not None else 0.0

    def went(self, message: int, now: float) -> None:
        held = self._held.get(message)
        if held is None or held.out:
            return
        self._give(held, now)
        held.calls, held.out = held.names, True
        self._take(held, now)
        self._limits.went(held.calls, now, held.again)

    def came(self, message: int, now: float) -> None:
        held = self._held.get(message)
        if held is None or not held.out:
            return
        self._limits.came(held.calls, now)
        self._give(held, now)
        held.calls, held.out, held.again = (), False, True
        self._take(held, now)
        if held.ended:
            del self._held[message]

    # Pools

    def listed(self, dests: Iterable[str], ready: set[str]) -> None:
        """Which destinations the list has, and which of them have an endpoint that is ready."""
        for dest in dests if self._crosses else ():
            if dest in self._partners:
                self.health.listed(dest, dest in ready)

    def judge(self, dest: str, ok: Optional[bool], sent: float, wait_ms: float, now: float) -> bool:
        """How a call has ended: well, as the partner's failure, or (None) neither; whether its state changed.

        `wait_ms` is a wait that the partner told, 0 for none.
        """
        if not self._crosses or dest not in self._partners:
            return False
        before = self.health.state(dest, now)
        if ok is not None:
            self.health.settled(dest, ok, sent, now)
        if wait_ms > 0:
            self.health.told(dest, now + wait_ms)
        return self.health.state(dest, now) != before

    def moves(self, now: float) -> Iterator[tuple[int, str]]:
        """Messages that wait with a destination that is shut or told to wait, and who would have each now.

        Whether one may move is the caller's to say; it tells so by `moved`.
        """
        if not self._crosses:
            return
        for number, held in list(self._held.items()):
            if held.out or held.ended or held.route is None or not held.route.pool:
                continue
            if self.health.state(held.dest, now) in held.route.spill:
                chosen = self.assign(held.id, held.route, held.dest, now)
                if chosen != held.dest:
                    yield number, chosen

    def moved(self, number: int, dest: str, now: float) -> None:
        """A message goes over to another destination, under the limits there."""
        held = self._held[number]
        self._give(held, now)
        held.dest, held.names = dest, self._names(held.route, dest, held.network)
        self._take(held, now)


class Doors:
    """The doors of all fronts as one `interface.CallLimits`; a message is held by one of them at most."""

    binding = True

    def __init__(self, doors: Iterable[Door]) -> None:
        self._doors = tuple(doors)

    def wait(self, message: int, now: float) -> float:
        return max(door.wait(message, now) for door in self._doors)

    def line(self, message: int, now: float) -> float:
        return max(door.line(message, now) for door in self._doors)

    def went(self, message: int, now: float) -> None:
        for door in self._doors:
            door.went(message, now)

    def came(self, message: int, now: float) -> None:
        for door in self._doors:
            door.came(message, now)
