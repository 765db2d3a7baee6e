"""Routes and limits at the door: what is turned away before it is taken on, and why.

It owns how many messages each limit holds, and must never know a wire, a clock or the journal. What was taken
on stays under the limits that it came under, also when another plan comes; a swap opens and closes nothing
that is held. A route only narrows: nothing here sends a message anywhere.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from ashvale.routing.build import Plan
from ashvale.routing.limits import Limits
from ashvale.routing.router import Facts, Route

SOON_MS = 500.0  # when to come back where only the end of another message makes room


@dataclass(frozen=True)
class Refusal:
    """Why a message is turned away, and when it may come again."""

    why: str
    after_ms: float


class Door:
    """What one courier lets in. Messages are named by number."""

    def __init__(self, plan: Plan) -> None:
        self._limits = Limits(plan.limits)
        self._held: dict[int, tuple[str, ...]] = {}
        self._use(plan)

    def _use(self, plan: Plan) -> None:
        self.plan = plan
        self._partners = {destination: name for name, destination in plan.destinations.items()}

    def swap(self, plan: Plan, now: float) -> None:
        """Follow another plan; what is held stays counted under each limit that has gone on."""
        self._limits.swap(plan.limits, now)
        self._held = {number: tuple(name for name in names if name in plan.limits)
                      for number, names in self._held.items()}
        self._use(plan)

    def _names(self, facts: Facts, route: Optional[Route]) -> tuple[str, ...]:
        return self.plan.limits_of(route, self._partners.get(facts.destination, ""), facts.network)

    def admit(self, facts: Facts, now: float) -> Optional[Refusal]:
        """Why a message is turned away; None where it may be taken on."""
        route = self.plan.router.find(facts)
        if route is not None and route.refuse_ms is not None:
            return Refusal(f"route {route.name}", route.refuse_ms)
        for name in self._names(facts, route):
            if not self._limits.meter(name, now).room():
                return Refusal(f"limit {name}", SOON_MS)
        return None

    def hold(self, number: int, facts: Facts, now: float) -> None:
        """A message was taken on, or an earlier life of the process has left it."""
        names = self._names(facts, self.plan.router.find(facts))
        if names and number not in self._held:
            self._held[number] = names
            for name in names:
                self._limits.meter(name, now).took()

    def release(self, numbers: Iterable[int], now: float) -> None:
        """Messages whose end is decided."""
        for number in numbers:
            for name in self._held.pop(number, ()):
                self._limits.meter(name, now).gave()

    def held(self, name: str, now: float) -> int:
        """How many messages a limit holds."""
        return self._limits.meter(name, now).held
