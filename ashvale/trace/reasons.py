"""Why the messages of a destination wait: a pure read of the decision module's state.

It owns the translation of what the Controller holds into reasons, and must never change any of it: what it
asks, the Controller would answer the same way without it. `ashvale/control.py` decides as before and knows
nothing of traces. Times are milliseconds on the loop's clock.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Iterator

from ashvale import control, pacing
from ashvale.control import Controller
from ashvale.state import Endpoint
from ashvale.trace.model import Reason

FOREVER = float("inf")
TURNS_MOST = 256  # changes of reason that are remembered for one destination
Step = tuple[float, Reason]


def _health(controller: Controller, e: Endpoint, now: float) -> Step:
    """Until when health keeps calls from an endpoint, and why: as `Controller._opens`, without effect."""
    starts = controller.slow_start.opens(e.lane.recovery, now)
    reason = Reason.HELD_OUT if e.lane.recovery.failures else Reason.WARM_UP
    return max(_endpoint_health(controller, e, now), (starts, reason), key=lambda step: step[0])


def _endpoint_health(controller: Controller, e: Endpoint, now: float) -> Step:
    late = pacing.overdue(e, now)
    if e.out_since is not None:
        out = controller.slow_start.out(e.lane.recovery, now)
        return 0.0 if out else e.trial_at, Reason.HELD_OUT
    if late >= 2:  # it will be, as soon as the Controller looks
        return now + controller.first_ms, Reason.HELD_OUT
    if len(e.calls) > late > 0:
        look = e.calls[-1].sent + pacing.OVERDUE * e.lane.usual + 1.0
        return look if look > now else FOREVER, Reason.OVERDUE
    paced = controller.s.warm_up_ms > 0 and not controller.many
    grown = min(1.0, (now - e.ramp_from) / controller.s.warm_up_ms) if paced else 1.0
    return (e.last_sent + controller._pace(e, grown, now) if grown < 1.0 else 0.0), Reason.WARM_UP


def outlook(
    controller: Controller, dest: int, now: float, told: Callable[[Endpoint], float] = lambda e: 0.0
) -> list[Step]:
    """What holds this destination's messages from now on: steps of (until, reason), the last without an end.

    `told` says when the wait is over that was told for an endpoint's destination, or route apart. The steps
    hold as long as nothing happens that concerns the destination.
    """
    known = controller.dests.get(dest)
    ready = [e for e in known.endpoints if e.ready] if known else []
    if now >= controller.closing_at:
        return [(FOREVER, Reason.CLOSING)]
    if not ready:
        return [(FOREVER, Reason.NO_ENDPOINT)]
    opens = {id(e): max(pacing.gate(e.lane), _health(controller, e, now)[0]) for e in ready}
    e = min(ready, key=lambda e: opens[id(e)])  # the one that lets a call go first
    steps: list[Step] = []
    at = now
    for until, reason in sorted(_holds(controller, e, now, told(e))):
        if until > at:
            steps.append((until, reason))
            at = until
    if known is not None and known.queue:
        wait = min(controller.limits.wait(m.id, now) for m in known.queue)
        if now + wait > at:
            steps.append((min(FOREVER, now + wait), Reason.OWN_LIMIT))
    full = sum(len(x.calls) for x in e.lane.endpoints) >= max(2.0, control.LANE_SHARE * controller.s.slots)
    if controller.calls_out >= controller.s.slots or full:
        last = Reason.NO_SLOT
    else:
        last = Reason.TURN
    if not steps or steps[-1][0] < FOREVER:
        steps.append((FOREVER, last))
    return steps


def _holds(controller: Controller, e: Endpoint, now: float, told_until: float) -> Iterator[Step]:
    told = min(told_until, e.lane.blocked_until)
    if told > now:
        yield told, Reason.TOLD_WAIT
    if e.lane.blocked_until > max(now, told):
        yield e.lane.blocked_until, Reason.PAUSE
    until, reason = _health(controller, e, now)
    if until > now:
        yield until, reason
    if (gate := pacing.gate(e.lane)) > max(now, e.lane.blocked_until):
        yield gate, Reason.RING


class Timeline:
    """What held one destination, and when: kept once for all of its messages.

    `look` overwrites what was foreseen from its time on. Reading back a stretch gives its steps, in order and
    without a gap. Before the first look nothing was in the way but the next turn; what is remembered no more
    counts as `SHED`.
    """

    def __init__(self) -> None:
        self._first = FOREVER
        self._from: deque[float] = deque(maxlen=TURNS_MOST)
        self._reasons: deque[Reason] = deque(maxlen=TURNS_MOST)

    def look(self, now: float, steps: list[Step]) -> float:
        """Take the outlook of this moment; returns when the first of its steps is over."""
        while self._from and self._from[-1] >= now:
            self._from.pop()
            self._reasons.pop()
        at = now
        for until, reason in steps:
            if not self._reasons or self._reasons[-1] is not reason:
                self._first = min(self._first, at)
                self._from.append(at)
                self._reasons.append(reason)
            at = until
        return steps[0][0]

    def stretch(self, start: float, end: float) -> Iterator[Step]:
        """The steps of (until, reason) from `start` to `end`."""
        starts = list(self._from)
        place = bisect_right(starts, start) - 1
        if place < 0:
            first = min(end, self._first)
            if first > start:
                yield first, Reason.TURN
            if starts and min(end, starts[0]) > max(first, start):
                yield min(end, starts[0]), Reason.SHED
            place = 0
        for number in range(place, len(starts)):
            if starts[number] >= end:
                return
            until = min(end, starts[number + 1]) if number + 1 < len(starts) else end
            if until > start:
                yield until, self._reasons[number]

    @property
    def now(self) -> Reason:
        """The reason that holds last."""
        return self._reasons[-1] if self._reasons else Reason.TURN

    @property
    def size(self) -> int:
        return len(self._from)
