"""What many couriers do together that one does not: shares of a limit, restarts, returns, ends of waits.

`python benchmarks/fleet_points.py`; the decision module alone, 1, 3, 40 and 100 of them against one partner
in virtual time with seeds. The partner takes LIMIT calls in each two seconds, tells what is over it to wait
for the next; a cold one falls over at twice a quarter of that. Prints one table.
"""

from __future__ import annotations

import heapq
import itertools
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parent.parent))

from ashvale import interface as api  # noqa: E402
from ashvale.control import Controller  # noqa: E402
from ashvale.interface import Effect, Outcome  # noqa: E402

LIMIT, WINDOW = 80, 2000.0  # calls of all couriers in a window
TOOK = 40.0  # ms of a call
CLASS = api.MessageClass("rate", Effect.SAFE, 1000.0, 8000.0, 1.0, 0.2)


class World:
    """Couriers' modules and one partner; `load` is the messages offered, over what the partner takes."""

    def __init__(self, count: int, load: float, seed: int) -> None:
        self.draw, self.now, self.count = Random(seed), 0.0, count
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self.settings = api.Settings((CLASS,), forwarders=count, listed_rates=True, max_open=4000)
        self.out: dict[tuple[int, int], int] = {}
        self.tries: dict[int, int] = {}
        self.served, self.refused, self.given = list[float](), list[float](), list[float]()
        self.calls: list[float] = []
        self.down: tuple[float, float] = (1e18, 1e18)
        self.limit: Callable[[float], float] = lambda _now: LIMIT
        self.taken: dict[int, int] = {}
        self.couriers = [Controller(self.settings, seed * 1000 + n) for n in range(count)]
        for n in range(count):
            self.begin(n)
        self.gap = WINDOW / (LIMIT * load)
        self.later(1.0, self._offer)

    def begin(self, n: int) -> None:
        """A courier begins, or begins anew with nothing learned."""
        self.couriers[n] = Controller(self.settings, self.draw.randrange(1 << 30))
        lines = tuple(api.Listing(f"e{k}".encode(), 1, rate=LIMIT / WINDOW * 1000.0) for k in range(4))
        self.tell(n, api.ListKnown(api.ListKind.FULL, 1, lines))

    def later(self, ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + ms, next(self._numbers), action))

    def _offer(self) -> None:
        n, number = self.draw.randrange(self.count), next(self._numbers)
        self.tell(n, api.NewMessage(number, 0, 1, self.now + CLASS.deadline_ms))
        self.later(self.draw.expovariate(1.0 / self.gap), self._offer)

    def tell(self, n: int, event: api.Event) -> None:
        courier = self.couriers[n]
        for action in courier.handle(event, self.now):
            if isinstance(action, api.Wake):
                token = action.token
                self.later(
                    action.after_ms,
                    lambda token=token: (  # type: ignore[misc]
                        self.tell(n, api.Timer(token)) if self.couriers[n] is courier else None
                    ),
                )
            elif isinstance(action, api.Send):
                self._call(n, courier, action)
            elif isinstance(action, (api.Refuse, api.Fail)):
                self.given.append(self.now)

    def _call(self, n: int, courier: Controller, send: api.Send) -> None:
        number = send.message
        attempt = self.tries[number] = self.tries.get(number, -1) + 1
        self.calls.append(self.now)
        at, wait = int(self.now // WINDOW), 0.0
        if self.down[0] <= self.now < self.down[1]:
            outcome, took = Outcome.CONNECT_FAILED, 1.0
        else:
            self.taken[at] = self.taken.get(at, 0) + 1
            outcome, took = Outcome.OK, TOOK
            if self.taken[at] > self.limit(self.now):
                outcome, wait = Outcome.FULL, (at + 1) * WINDOW - self.now
                self.refused.append(self.now)

        def ends() -> None:
            if outcome is Outcome.OK:
                self.served.append(self.now)
            if self.couriers[n] is courier:
                over = outcome is Outcome.OK
                self.tell(n, api.Settled(number, attempt, send.target, outcome, took, over, wait))

        self.later(took, ends)

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until


def rate(times: list[float], start: float, end: float) -> float:
    """Events a window between two times."""
    return sum(start <= at < end for at in times) / (end - start) * WINDOW


def push(times: list[float], start: float, end: float) -> float:
    """The most calls in any second, over what a partner that came back cold at `start` could then do."""
    inside, most, first = [at for at in times if start <= at < end], 0.0, 0
    for last, at in enumerate(inside):
        while inside[first] <= at - 1000.0:
            first += 1
        grown = min(1.0, (at - start) / 10_000.0)
        most = max(most, (last - first + 1) / (LIMIT / WINDOW * 1000.0 * (0.25 + 0.75 * grown)))
    return most


def back(times: list[float], start: float, share: float) -> float:
    """Seconds from `start` to the first two seconds in which `share` of the limit was served."""
    at = start
    while at < start + 30_000.0 and rate(times, at, at + WINDOW) < share * LIMIT:
        at += 100.0
    return (at - start) / 1000.0


def row(count: int, seed: int) -> list[str]:
    busy = World(count, 1.5, seed)
    busy.run(30_000.0)
    cut = World(count, 0.9, seed)
    cut.limit = lambda now: LIMIT / 2 if 10_000.0 <= now < 19_000.0 else LIMIT
    cut.run(40_000.0)
    fail = World(count, 0.8, seed)
    fail.down = 10_000.0, 15_000.0
    fail.run(40_000.0)
    herd = World(count, 0.8, seed)
    herd.run(10_000.0)
    for n in range(count * 7 // 10):  # most begin anew at one moment
        herd.begin(n)
    herd.run(25_000.0)
    ends = [at % WINDOW for at in busy.calls if at > 10_000.0]
    figures = [
        rate(busy.served, 10_000.0, 30_000.0) / LIMIT,
        rate(busy.refused, 10_000.0, 30_000.0) / LIMIT,
        sum(at < 100.0 for at in ends) / len(ends),
        back(cut.served, 19_000.0, 0.8),
        push(fail.calls, 15_000.0, 25_000.0),
        back(fail.served, 15_000.0, 0.7),
        rate(herd.served, 10_000.0, 14_000.0) / (0.8 * LIMIT),
        rate(herd.refused, 10_000.0, 14_000.0) / LIMIT,
    ]
    return [str(count), *(f"{figure:.2f}" for figure in figures)]


def main() -> None:
    print(
        "| couriers | served of the limit, 1.5 offered | refused of it | calls in a window's first 100 ms "
        "| s to 80 % after a cut limit | most calls in 1 s after an outage, over what it could do "
        "| s to 70 % after it | served of the offer after 7 in 10 restart | refused then |\n"
        + "| --- " * 9
        + "|"
    )
    for count in (1, 3, 40, 100):
        rows = [row(count, seed) for seed in (1, 2, 3)]
        print("| " + " | ".join(sorted(cells)[1] for cells in zip(*rows, strict=True)) + " |", flush=True)


if __name__ == "__main__":
    main()
