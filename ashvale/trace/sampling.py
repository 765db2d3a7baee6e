"""What is kept of a message's trace, decided at its end.

It owns the verdict: every message that went wrong is kept, of the rest a consistent share by hashed id, and
the slowest few of each destination and minute. It also says how fully: detail is bounded for each destination
and cause. It does no I/O, reads no clock and draws no random numbers: the same traces at the same times give
the same verdicts, in every courier.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, Optional, TypeVar

from ashvale.trace.model import End, Kind, Reason

MINUTE_MS = 60000.0
DESTS_MOST = 256  # destinations whose slowest are looked for at once
CAUSES_MOST = 512  # causes whose detail is counted at once
T = TypeVar("T")


class Rank(IntEnum):
    """What a trace is kept for; the lower goes first when room is short."""

    DROP = 0
    SAMPLE = 1
    DETAIL = 2  # the detail of a message that went wrong
    KEPT = 3  # the message itself, with all its spans


@dataclass(frozen=True)
class Policy:
    """What the operator has set: the share of ordinary messages, and bounds for each minute."""

    share: float = 0.01
    slowest: int = 2
    details: int = 20


@dataclass(frozen=True)
class Cause:
    """Where most of a message's time went."""

    dest: str
    kind: Kind
    reason: Reason
    endpoint: str = ""


def chosen(trace_id: str, share: float) -> bool:
    """The same answer for one trace at every hop that has the same share: by the id's last 14 digits.

    Their randomness is what W3C Trace Context level 2 promises, and what OpenTelemetry samples by.
    """
    return int(trace_id[-14:], 16) < share * (1 << 56)


def went_wrong(end: End, late_ms: float) -> bool:
    """Failed, refused, returned, withdrawn, without an end, or late."""
    return end is not End.DELIVERED or late_ms > 0.0


class Slowest(Generic[T]):
    """The slowest few of each destination, minute by minute; bounded in destinations, the oldest go first."""

    def __init__(self, most: int) -> None:
        self.most, self._minute = most, -1
        self._heaps: dict[str, list[tuple[float, int, T]]] = {}
        self._numbers = itertools.count()

    def offer(self, dest: str, took: float, at: float, item: T) -> list[T]:
        """Consider a message; returns those of the minute before, once it is over."""
        out = self.turn(at)
        if self.most > 0:
            heap = self._heaps.setdefault(dest, [])
            entry = (took, next(self._numbers), item)
            if len(heap) < self.most:
                heapq.heappush(heap, entry)
            elif took > heap[0][0]:
                heapq.heapreplace(heap, entry)
            if len(self._heaps) > DESTS_MOST:
                del self._heaps[next(iter(self._heaps))]
        return out

    def turn(self, at: float) -> list[T]:
        """Return what the minutes that are over have left."""
        minute = int(at // MINUTE_MS)
        if minute == self._minute:
            return []
        self._minute = minute
        return self.take()

    def take(self) -> list[T]:
        heaps, self._heaps = self._heaps, {}
        return [item for heap in heaps.values() for _, _, item in heap]


class Details:
    """Bounds the messages that have their detail kept, for each cause and minute."""

    def __init__(self) -> None:
        self._seen: dict[tuple[Cause, int], int] = {}

    def allowed(self, cause: Cause, at: float, most: int) -> bool:
        """Tell whether one more message of this cause and minute may have its detail, and count it."""
        key = cause, int(at // MINUTE_MS)
        seen = self._seen.pop(key, 0)
        self._seen[key] = seen + 1  # the one used last stands last
        if len(self._seen) > CAUSES_MOST:
            del self._seen[next(iter(self._seen))]
        return seen < most


def rank(end: End, late_ms: float, sampled: bool) -> Rank:
    """What a message is kept for; `DROP` leaves it to be among the slowest."""
    if went_wrong(end, late_ms):
        return Rank.KEPT
    return Rank.SAMPLE if sampled else Rank.DROP


def first_to_go(sizes: dict[Rank, int]) -> Optional[Rank]:
    """Whose oldest segment makes room: ordinary samples, then detail, then the rest."""
    return next((rank for rank in (Rank.SAMPLE, Rank.DETAIL, Rank.KEPT) if sizes.get(rank)), None)
