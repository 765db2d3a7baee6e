"""The decision modules of many couriers against one partner, in virtual time.

No sockets and no journal: only `Controller`s, their timers, and a partner that takes so many calls in each
window and tells whoever comes beyond that to wait for the next. The same arguments give the same play.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ashvale import interface as api
from ashvale.control import Controller
from ashvale.interface import Effect, Outcome

WINDOW_MS = 2000.0  # the partner counts calls in spans of this length
CALL_MS = 40.0  # a call that is served takes this long
FAILED_CALL_MS = 1.0  # a connection that is refused, likewise
ENDPOINTS = 4
MESSAGE_CLASS = api.MessageClass("rate", Effect.SAFE, 1000.0, 8000.0, 1.0, 0.2)
NEVER = 1e18


@dataclass(frozen=True)
class Arrival:
    """A call that reached the partner while it was up."""

    at: float
    courier: int
    saw_outage: bool  # an earlier call of that courier had failed during the outage


class SharedPartner:
    """`couriers` decision modules that share one partner of `limit` calls in each window.

    `load` is what is offered, over what the partner takes. Times are milliseconds.
    """

    def __init__(self, couriers: int, limit: int, load: float, seed: int) -> None:
        self.limit, self.now, self.random = limit, 0.0, Random(seed)
        self.settings = api.Settings((MESSAGE_CLASS,), forwarders=couriers, listed_rates=True, max_open=4000)
        self.served, self.refused, self.given_up = list[float](), list[float](), list[float]()
        self.calls: list[float] = []
        self.arrivals: list[Arrival] = []
        self.outage = NEVER, NEVER
        self.limit_at: Callable[[float], float] = lambda _now: limit
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self._attempts: dict[int, int] = {}
        self._taken: dict[int, int] = {}
        self._saw_outage: set[int] = set()
        self.couriers: list[Controller] = [self._new_controller() for _ in range(couriers)]
        for courier in range(couriers):
            self._tell_list(courier)
        self._gap_ms = WINDOW_MS / (limit * load)
        self._later(1.0, self._offer)

    def restart(self, courier: int) -> None:
        """A courier begins anew with nothing learned."""
        self.couriers[courier] = self._new_controller()
        self._tell_list(courier)

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until

    def _new_controller(self) -> Controller:
        return Controller(self.settings, self.random.randrange(1 << 30))

    def _tell_list(self, courier: int) -> None:
        rate = self.limit / WINDOW_MS * 1000.0
        lines = tuple(api.Listing(f"endpoint-{k}".encode(), 1, rate=rate) for k in range(ENDPOINTS))
        self._tell(courier, api.ListKnown(api.ListKind.FULL, 1, lines))

    def _later(self, ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + ms, next(self._numbers), action))

    def _offer(self) -> None:
        courier, number = self.random.randrange(len(self.couriers)), next(self._numbers)
        self._tell(courier, api.NewMessage(number, 0, 1, self.now + MESSAGE_CLASS.deadline_ms))
        self._later(self.random.expovariate(1.0 / self._gap_ms), self._offer)

    def _tell(self, number: int, event: api.Event) -> None:
        controller = self.couriers[number]
        for action in controller.handle(event, self.now):
            if isinstance(action, api.Wake):
                self._later(action.after_ms, self._timer(number, controller, action.token))
            elif isinstance(action, api.Send):
                self._call(number, controller, action)
            elif isinstance(action, (api.Refuse, api.Fail)):
                self.given_up.append(self.now)

    def _timer(self, number: int, controller: Controller, token: int) -> Callable[[], None]:
        def fire() -> None:
            if self.couriers[number] is controller:
                self._tell(number, api.Timer(token))

        return fire

    def _call(self, number: int, controller: Controller, send: api.Send) -> None:
        attempt = self._attempts[send.message] = self._attempts.get(send.message, -1) + 1
        self.calls.append(self.now)
        outcome, took, wait = self._answer(number)

        def ends() -> None:
            if outcome is Outcome.OK:
                self.served.append(self.now)
            if self.couriers[number] is controller:
                self._tell(
                    number,
                    api.Settled(
                        send.message, attempt, send.target, outcome, took, outcome is Outcome.OK, wait
                    ),
                )

        self._later(took, ends)

    def _answer(self, courier: int) -> tuple[Outcome, float, float]:
        """Outcome, time taken and told wait of a call that begins now."""
        if self.outage[0] <= self.now < self.outage[1]:
            self._saw_outage.add(courier)
            return Outcome.CONNECT_FAILED, FAILED_CALL_MS, 0.0
        self.arrivals.append(Arrival(self.now, courier, courier in self._saw_outage))
        span = int(self.now // WINDOW_MS)
        self._taken[span] = self._taken.get(span, 0) + 1
        if self._taken[span] <= self.limit_at(self.now):
            return Outcome.OK, CALL_MS, 0.0
        self.refused.append(self.now)
        return Outcome.FULL, CALL_MS, (span + 1) * WINDOW_MS - self.now


def rate(times: list[float], start: float, end: float) -> float:
    """Events a window between two times."""
    return sum(start <= at < end for at in times) / (end - start) * WINDOW_MS


def time_to_share(partner: SharedPartner, start: float, share: float) -> float:
    """Milliseconds from `start` to the first window in which `share` of the limit was served."""
    at = start
    while at < start + 60_000.0 and rate(partner.served, at, at + WINDOW_MS) < share * partner.limit:
        at += 100.0
    return at - start


@dataclass(frozen=True)
class ColdLoad:
    """The most that a partner that came back cold got in any `overload_for_ms`."""

    most: float  # calls over what makes it fall
    fell: bool  # it was made to fall, by over two thirds from couriers that had seen the outage


def cold_load(partner: SharedPartner) -> ColdLoad:
    """Judge the time from the outage's end to full warmth by the settings.

    What makes it fall is N + 2 x root of N + 2 calls within `overload_for_ms`, with N the calls that the
    settings allow in that time at that moment.
    """
    settings, start = partner.settings, partner.outage[1]
    arrivals = [a for a in partner.arrivals if start <= a.at < start + settings.warm_up_ms]
    per_ms = partner.limit / WINDOW_MS
    most, first = 0.0, 0
    for last, arrival in enumerate(arrivals):
        while arrivals[first].at <= arrival.at - settings.overload_for_ms:
            first += 1
        grown = (arrival.at - start) / settings.warm_up_ms
        share = settings.cold_share + (1.0 - settings.cold_share) * grown
        allowed = settings.overload_factor * share * per_ms * settings.overload_for_ms
        bears = allowed + 2.0 * allowed**0.5 + 2.0
        inside = arrivals[first : last + 1]
        knew = 3 * sum(a.saw_outage for a in inside) > 2 * len(inside)
        if not knew and len(inside) > bears:
            break  # it fell, and not by those who could know; what comes later counts no more
        if knew:
            most = max(most, len(inside) / bears)
    return ColdLoad(most, most > 1.0)
