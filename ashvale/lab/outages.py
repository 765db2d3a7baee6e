"""The decision modules of many couriers against one partner that fails, in virtual time, by how calls fail.

A play is drawn from its seed: how calls fail in the outage, how many endpoints and couriers there are, what
is offered and what the list says of the rate. `judge` applies the fourth rule of STANDING.md.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from ashvale import interface as api
from ashvale.control import Controller
from ashvale.interface import Effect, Outcome
from ashvale.lab.partner import WINDOW_MS, Arrival, SharedPartner

OUTAGE_MS = 8_000.0
END_MS = 75_000.0
SMALL_BUDGET = 30.0  # calls; under it chance is given three roots, above it two (STANDING.md)
SHORT_WAIT_MS, LONG_WAIT_MS = 300.0, 3000.0
CONNECT_MS = 1000.0  # after so long a connection that never comes up is given up
FAILED_MS, ANSWER_MS = 1.0, 40.0
TAKEN_MS = 3000.0  # so long after the outage's begin all endpoints are out of service
MOST = 0.7  # share of calls that fail where most do
UNEVEN = 4.0  # what the busiest tenth of couriers get, over the mean
BATCH = 6  # messages that come together


class Sign(enum.Enum):
    """How a call to a partner that is out ends."""

    REFUSED = "connection refused"
    SILENT = "connection never up"
    HUNG = "no answer"
    RESET = "reset behind the request"
    CUT = "answer cut off"
    BUSY = "429"
    SHUT = "503"
    ERROR = "500"
    SHORT_WAIT = "503, short wait"
    LONG_WAIT = "429, wait of 3 s"
    TOLD = "429, wait until it opens"
    UNPROVEN = "503, not proven"
    PRESUMED = "an earlier call's 200, then reset"
    MOST = "500 to 7 in 10"


class Load(enum.Enum):
    """Which courier gets a message, and when."""

    EVEN = "even"
    UNEVEN = "uneven"
    BATCHES = "batches"
    BACKLOG = "backlog"


class Rate(enum.Enum):
    """What the endpoint list says of the partner's rate."""

    LISTED = "listed"
    UNLISTED = "unlisted"
    HIGH = "listed half too high"
    LOWERED = "lowered to half at the return"


class Endpoints(enum.Enum):
    """When the partner's endpoints are replaced, or are out of service for a while."""

    STAY = "stay"
    REPLACED_OUT = "replaced while out"
    REPLACED_RAMP = "replaced while it warms up"
    BANNED_OUT = "taken out while out, called back at the return"
    BANNED_RAMP = "taken out and called back while it warms up"
    UNLISTED_OUT = "left out of the list while out, listed again at the return"
    RENAMED_OUT = "gone while out, others listed at the return"


@dataclass(frozen=True)
class Play:
    """One play. `rate` is the partner's limit in calls a second, `load` what is offered over it."""

    sign: Sign = Sign.REFUSED
    couriers: int = 37
    endpoints: int = 2
    change: Endpoints = Endpoints.STAY
    load: float = 1.0
    shape: Load = Load.EVEN
    told: Rate = Rate.LISTED
    rate: float = 4.0
    restarted: float = 0.0  # share of the couriers that restart in the outage
    quiet_ms: float = 10_000.0  # how long all was well before the outage
    routes_apart: bool = False  # each endpoint is a route with a limit of its own; with one endpoint alone
    seed: int = 1

    @property
    def outage(self) -> tuple[float, float]:
        """When the partner is out."""
        return self.quiet_ms, self.quiet_ms + OUTAGE_MS


class FailingPartner(SharedPartner):
    """A partner whose calls fail by one sign during its outage."""

    def __init__(self, play: Play) -> None:
        self.play, self.names = play, [f"endpoint-{k}" for k in range(play.endpoints)]
        limit = round(play.rate * WINDOW_MS / 1000.0)
        self._calls: dict[tuple[int, bytes, float], tuple[Outcome, float, float, bool]] = {}
        self.listed = True  # its endpoints are in service, as the list and operators tell
        super().__init__(play.couriers, limit, play.load, play.seed)
        self.outage = play.outage
        if play.told is Rate.LOWERED:
            self.limit_at = lambda now: limit if now < play.outage[1] else limit / 2
        start, end = play.outage
        for courier in range(round(play.restarted * play.couriers)):
            self._at(self.random.uniform(start + 2000.0, end), partial(self.restart, courier))
        self._schedule_change()

    def _schedule_change(self) -> None:
        """Plan what becomes of the endpoints."""
        change, (start, end) = self.play.change, self.play.outage
        if change in (Endpoints.REPLACED_OUT, Endpoints.REPLACED_RAMP):
            first = start + 1000.0 if change is Endpoints.REPLACED_OUT else end + 1000.0
            for place in range(self.play.endpoints):
                self._at(first + 1500.0 * place / self.play.endpoints, partial(self._replace, place))
        elif change is not Endpoints.STAY:
            warming = change is Endpoints.BANNED_RAMP
            self._at(end + 1000.0 if warming else start + TAKEN_MS, self._take_out)
            self._at(end + 2500.0 if warming else end, self._call_back)

    def _at(self, when: float, action: Callable[[], None]) -> None:
        self._later(when - self.now, action)

    def _new_controller(self) -> Controller:
        deadline = 28_000.0 if self.play.shape is Load.BACKLOG else 8000.0
        classes = (api.MessageClass("rate", Effect.SAFE, 1000.0, deadline, 1.0, 0.2),)
        self.deadline_ms = deadline
        self.settings = replace(
            self.settings,
            classes=classes,
            cold_share=0.19,
            warm_up_ms=11_000.0,
            overload_for_ms=3000.0,
            max_attempts=8,
            listed_rates=self.play.told is not Rate.UNLISTED,
            kinds=(api.Kind("any", BATCH if self.play.shape is Load.BATCHES else 1, self.play.routes_apart),),
        )
        return super()._new_controller()

    def _rate(self) -> float:
        return self.play.rate * (1.5 if self.play.told is Rate.HIGH else 1.0)

    def _lines(self, readiness: api.Readiness = api.Readiness.READY) -> tuple[api.Listing, ...]:
        return tuple(api.Listing(n.encode(), 1, rate=self._rate(), readiness=readiness) for n in self.names)

    def _tell_list(self, courier: int) -> None:
        lines = self._lines() if self.listed else ()
        self._tell(courier, api.ListKnown(api.ListKind.FULL, 1, lines))

    def _tell_all(self, event: api.Event) -> None:
        """Couriers hear of it within 0.3 s of each other."""
        for courier in range(len(self.couriers)):
            self._later(self.random.uniform(0.0, 300.0), partial(self._tell, courier, event))

    def _take_out(self) -> None:
        """All endpoints go out of service, as a list or an operator tells."""
        self.listed = False
        if self.play.change in (Endpoints.BANNED_OUT, Endpoints.BANNED_RAMP):
            self._tell_all(api.ListKnown(api.ListKind.DELTA, 2, self._lines(api.Readiness.DRAINING)))
        else:
            self._tell_all(api.ListKnown(api.ListKind.FULL, 2))

    def _call_back(self) -> None:
        """All endpoints, or others in their place, are in service again."""
        if self.play.change is Endpoints.RENAMED_OUT:
            self.names = [f"{name}-new" for name in self.names]
        self.listed = True
        self._tell_all(api.ListKnown(api.ListKind.DELTA, 3, self._lines()))

    def _replace(self, place: int) -> None:
        """One endpoint goes and another takes its place."""
        old, self.names[place] = self.names[place], f"endpoint-{place}-new"
        gone = api.Listing(old.encode(), 1, rate=self._rate(), readiness=api.Readiness.GONE)
        new = api.Listing(self.names[place].encode(), 1, rate=self._rate())
        self._tell_all(api.ListKnown(api.ListKind.DELTA, 2, (gone, new)))

    def _offer(self) -> None:
        """Hand a message, or several, to a courier; for a backlog, twice as many while the partner is out."""
        random, couriers = self.random, len(self.couriers)
        few = max(1, couriers // 10)
        busy = self.play.shape is Load.UNEVEN and random.random() < UNEVEN / 10.0
        courier = random.randrange(few if busy else couriers)
        together = BATCH if self.play.shape is Load.BATCHES else 1
        for _ in range(together):
            number = next(self._numbers)
            self._tell(courier, api.NewMessage(number, 0, 1, self.now + self.deadline_ms))
        backlog = self.play.shape is Load.BACKLOG and self.outage[0] <= self.now < self.outage[1]
        gap = self._gap_ms * together / (2.0 if backlog else 1.0)
        self._later(random.expovariate(1.0 / gap), self._offer)

    def _call(self, number: int, controller: Controller, send: api.Send) -> None:
        attempt = self._attempts[send.message] = self._attempts.get(send.message, -1) + 1
        key = number, send.target, self.now
        if key not in self._calls or self.play.shape is not Load.BATCHES:
            self.calls.append(self.now)
            self._calls[key] = self._outcome(number, send)
        outcome, took, wait, unproven = self._calls[key]
        out = self.outage[0] <= self.now < self.outage[1] and outcome is not Outcome.OK
        presumed, sent = out and self.play.sign is Sign.PRESUMED, self.now

        def ends() -> None:
            if out:
                self._saw_outage.add(number)
            if outcome is Outcome.OK:
                self.served.append(self.now)
            if self.couriers[number] is not controller:
                return
            finished = outcome is Outcome.OK or presumed
            told = Outcome.OK if presumed else outcome
            ended = api.Settled(
                send.message, attempt, send.target, told, took, finished, wait, unproven=unproven
            )
            self._tell(number, ended)
            if presumed:
                self._later(ANSWER_MS, disproved)

        def disproved() -> None:
            """The exchange hands a delivery that was none in again, with the attempts made."""
            if self.couriers[number] is controller:
                left = self.now + self.deadline_ms / 2.0
                taken_back = api.TakenBack(send.target, sent)
                again = api.NewMessage(
                    send.message,
                    0,
                    1,
                    left,
                    attempts=attempt + 1,
                    ran_at=self.now,
                    failed=True,
                    taken_back=taken_back,
                )
                self._tell(number, again)

        self._later(took, ends)

    def _outcome(self, courier: int, send: api.Send) -> tuple[Outcome, float, float, bool]:
        """Outcome, time taken, told wait and doubt of a call that begins now."""
        if not self.outage[0] <= self.now < self.outage[1]:
            return *self._answer(courier), False
        given_up = max(1.0, send.until - self.now)
        wait = LONG_WAIT_MS
        match self.play.sign:
            case Sign.REFUSED:
                return Outcome.CONNECT_FAILED, FAILED_MS, 0.0, False
            case Sign.SILENT:
                return Outcome.CONNECT_FAILED, min(CONNECT_MS, given_up), 0.0, False
            case Sign.HUNG:
                return Outcome.TIMEOUT, given_up, 0.0, False
            case Sign.RESET | Sign.PRESUMED:
                return Outcome.RESET, FAILED_MS, 0.0, False
            case Sign.CUT:
                return Outcome.RESET, ANSWER_MS, 0.0, False
            case Sign.ERROR:
                return Outcome.ERROR, ANSWER_MS, 0.0, False
            case Sign.MOST:
                if self.random.random() < MOST:
                    return Outcome.ERROR, ANSWER_MS, 0.0, False
                return Outcome.OK, ANSWER_MS, 0.0, False
            case Sign.SHORT_WAIT:
                wait = SHORT_WAIT_MS
            case Sign.TOLD:
                wait = max(1.0, self.outage[1] - self.now - ANSWER_MS)
            case Sign.BUSY | Sign.SHUT | Sign.UNPROVEN:
                wait = 0.0
        return Outcome.FULL, ANSWER_MS, wait, self.play.sign is Sign.UNPROVEN

    def offered_share(self) -> float:
        """What is offered, over the limit after the outage."""
        left = 0.5 if self.play.told is Rate.LOWERED else 1.0
        return min(1.0, self.play.load / left) * left


def budget(settings: api.Settings, rate: float, since_return_ms: float) -> float:
    """Calls in `overload_for_ms` that a partner of `rate` calls a second bears so long after its return."""
    grown = min(1.0, since_return_ms / settings.warm_up_ms)
    share = settings.cold_share + (1.0 - settings.cold_share) * grown
    allowed = settings.overload_factor * share * rate * settings.overload_for_ms / 1000.0
    chance = 3.0 * math.sqrt(allowed) + 3.0 if allowed < SMALL_BUDGET else 2.0 * math.sqrt(allowed) + 2.0
    return allowed + chance


@dataclass(frozen=True)
class ColdLoad:
    """What a partner got while it was cold. The spans are `overload_for_ms` long."""

    most: float  # calls of all couriers in any span, over the budget
    most_knew: float  # those of couriers that had seen the outage alone, over two thirds of the budget
    fell: bool  # over the budget, by over two thirds from couriers that had seen the outage


def judge(arrivals: list[Arrival], settings: api.Settings, rate: float, back_at: float) -> ColdLoad:
    """Judge what arrived at a partner of `rate` calls a second, from its return at `back_at` (ms) on."""
    cold = [a for a in arrivals if back_at <= a.at < back_at + settings.warm_up_ms]
    most, most_knew, fell, first, knew = 0.0, 0.0, False, 0, 0
    for last, arrival in enumerate(cold):
        knew += arrival.saw_outage
        while cold[first].at <= arrival.at - settings.overload_for_ms:
            knew -= cold[first].saw_outage
            first += 1
        calls, bears = last + 1 - first, budget(settings, rate, arrival.at - back_at)
        most, most_knew = max(most, calls / bears), max(most_knew, 1.5 * knew / bears)
        fell = fell or (calls > bears and 3 * knew > 2 * calls)
    return ColdLoad(most, most_knew, fell)


@dataclass(frozen=True)
class Verdict:
    """How a play went."""

    cold: ColdLoad
    seconds_to_serve: float
    """To the first window in which 70 % of the limit, or of what is offered if that is less, was served."""
    served: int


def run(play: Play) -> Verdict:
    """Play once; the same play gives the same verdict."""
    partner = FailingPartner(play)
    partner.run(END_MS)
    rate = play.rate * (0.5 if play.told is Rate.LOWERED else 1.0)
    cold = judge(partner.arrivals, partner.settings, rate, play.outage[1])
    served = [at for at in partner.served if at >= play.outage[1]]
    wanted = 0.7 * partner.offered_share() * play.rate * 3.0
    at = play.outage[1]
    while at < END_MS and sum(at <= s < at + 3000.0 for s in served) < wanted:
        at += 250.0
    return Verdict(cold, (at - play.outage[1]) / 1000.0, len(partner.served))
