"""One message's life as spans that meet: no gap, no overlap, one end.

It owns the kinds of span, the reasons for waiting, and the rule that every span begins where the one before
ended. It must never read a clock, and never grow without bound: past `SPANS_MOST` stretches of waiting are
merged into the one before, and each merged one is counted as shed. Times are milliseconds on the loop's
clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Optional

SPANS_MOST = 48  # spans of one message kept apart
ATTEMPTS_MOST = 24  # attempts of one message kept with their detail
ROOM_FOR_END = 6  # of the spans, those kept free for attempts and the end


class Kind(IntEnum):
    """What a span is."""

    FRONT = 0  # from the hand-in, where the client says when that was, to the door
    DOOR = 1  # the request is read and checked
    JOURNAL = 2  # a write that the message waited for
    ANSWER = 3  # taken on, and the client is being told so
    WAIT = 4  # see the reason
    ATTEMPT = 5
    NOTICE = 6  # from the decision until the client or platform has heard the end
    DOWN = 7  # no process was there


class Reason(IntEnum):
    """Why a message waits."""

    NONE = 0
    TURN = 1  # nothing holds it but the next tick, or others of its destination that go first
    RING = 2  # the ring of send times of its destination
    TOLD_WAIT = 3  # a wait that its destination told
    PAUSE = 4  # the courier's own pause after a refusal that told no wait
    RETRY_HOLD = 5  # the message's own pause after a failed attempt
    TABLE_FULL = 6  # the same, where the connection table of its endpoint was full
    NO_SLOT = 7  # all slots, or all that one destination may hold, are taken
    NO_ENDPOINT = 8  # no endpoint of its destination is listed and ready
    HELD_OUT = 9  # its endpoints are held to fail, and the next trial is not due
    WARM_UP = 10  # an endpoint that came back is given its load in steps
    OVERDUE = 11  # an endpoint that does not answer is given no more until it does
    ORDER = 12  # an earlier message of its key goes first
    CLOSING = 13  # the process is about to end
    SHED = 14  # stretches that were merged: more than are kept apart
    EARLIER = 15  # in an earlier life of the process, whose reasons went with it
    OWN_LIMIT = 16  # a rate, calls at once or retry budget that the operator's set allows


def joined(kind: Kind, reason: Reason) -> int:
    """Kind and reason as one number: sixteen kinds, and reasons past fifteen in what lies above."""
    return (reason >> 4) * 256 + kind * 16 + (reason & 15)


def split(code: int) -> tuple[Kind, Reason]:
    """Kind and reason of such a number; `ValueError` where there is no such kind or reason."""
    return Kind(code >> 4 & 15), Reason(code & 15 | code >> 8 << 4)


_BLAME = {
    "partner": (Reason.HELD_OUT, Reason.WARM_UP, Reason.OVERDUE, Reason.RETRY_HOLD, Reason.TABLE_FULL),
    "limit": (Reason.RING, Reason.TOLD_WAIT, Reason.PAUSE, Reason.OWN_LIMIT),
    "list": (Reason.NO_ENDPOINT,),
}
_BY_REASON = {reason: who for who, reasons in _BLAME.items() for reason in reasons}


def blame(kind: Kind, reason: Reason) -> str:
    """Whose time it was: the front layer's, the partner's (slow, failing or cold), its limit's, the list's
    (no endpoint in it), a restart's, or the courier's own.
    """
    if kind is Kind.WAIT:
        return _BY_REASON.get(reason, "courier")
    return {Kind.ATTEMPT: "partner", Kind.FRONT: "front", Kind.DOWN: "restart"}.get(kind, "courier")


class End(IntEnum):
    """How a message ended."""

    DELIVERED = 0
    RETURNED = 1
    FAILED = 2
    REFUSED = 3  # at the door
    WITHDRAWN = 4  # the client never heard that it was taken
    OPEN = 5  # no end was seen


ENDS = {"delivered": End.DELIVERED, "returned": End.RETURNED, "failed": End.FAILED}
OUTCOMES = (
    "",
    "ok",
    "error",
    "full",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "moot",
    "out",
    "crowded",
)
"""Outcomes of attempts by number; `out` when the process ended while the attempt was out."""


@dataclass(slots=True)
class Span:
    """One stretch of a message's life; the next begins where it ends. `ref` is an attempt's place."""

    kind: Kind
    reason: Reason
    ms: float
    ref: int = -1


@dataclass(slots=True)
class Attempt:
    """One execution, as one message saw it. Offsets are milliseconds from its start; negative: never."""

    number: int
    endpoint: str
    outcome: str = ""
    reused: bool = False
    members: int = 1
    connected: float = -1.0
    written: float = -1.0
    first: float = -1.0
    told: float = 0.0  # the wait that it was told
    obeyed: float = 0.0  # the told wait that went before it
    earlier: bool = False  # made in an earlier life of the process


@dataclass(slots=True)
class Life:
    """The spans of one message, in order: `start` is where the first began, `at` where the last ended."""

    start: float
    at: float = field(default=0.0)
    spans: list[Span] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    shed: int = 0
    ended: bool = False

    def __post_init__(self) -> None:
        self.at = self.start

    def advance(self, to: float, kind: Kind, reason: Reason = Reason.NONE, ref: int = -1) -> None:
        """The stretch from where the last span ended until `to` was of this kind.

        A time that lies before that end adds nothing: what came first keeps its time.
        """
        if self.ended or to <= self.at:
            return
        ms, self.at = to - self.at, to
        last = self.spans[-1] if self.spans else None
        if last is not None and (last.kind, last.reason, last.ref) == (kind, reason, ref):
            last.ms += ms
            return
        if kind is Kind.WAIT and len(self.spans) >= SPANS_MOST - ROOM_FOR_END:
            self.shed += 1
            if last is not None and last.kind is Kind.WAIT:
                last.ms, last.reason = last.ms + ms, Reason.SHED
                return
            reason = Reason.SHED
        elif last is not None and len(self.spans) >= SPANS_MOST:
            self.shed += 1
            last.ms += ms
            return
        self.spans.append(Span(kind, reason, ms, ref))

    def begin_attempt(self, attempt: Attempt) -> int:
        """Note an attempt that begins where the last span ended; returns its place, or -1 if shed."""
        if len(self.attempts) >= ATTEMPTS_MOST:
            self.shed += 1
            return -1
        self.attempts.append(attempt)
        return len(self.attempts) - 1

    def end(self, at: float, kind: Kind, reason: Reason = Reason.NONE) -> None:
        """The message's one end; what comes later changes nothing."""
        self.advance(at, kind, reason)
        self.ended = True

    @property
    def total(self) -> float:
        return self.at - self.start


def cause(spans: list[Span]) -> Optional[int]:
    """The place of the span that took most time, waits for the same reason added up; None without any."""
    sums: dict[tuple[Kind, Reason], float] = {}
    for span in spans:
        sums[span.kind, span.reason] = sums.get((span.kind, span.reason), 0.0) + span.ms
    if not sums:
        return None
    most = max(sums, key=lambda key: sums[key])
    return max((i for i, s in enumerate(spans) if (s.kind, s.reason) == most), key=lambda i: spans[i].ms)
