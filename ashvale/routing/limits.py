"""Limits by name: rate, calls out at once, messages held, and a budget of retries.

It owns how much of each limit is used, and must never sleep: it answers with the time until there is room.
Rates are kept by the generic cell rate algorithm (ITU-T I.371), which needs one number a limit. Retry budgets
are those of Finagle's RetryBudget: each first try deposits its share, each further one takes a whole, and a
small reserve lets a quiet destination be tried again. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Optional

BURST_MS = 1000.0  # a rate may be used ahead by so much time
BUDGET_MS = 10000.0  # deposits count for so long
RESERVE_PER_S = 0.2  # retries that are always allowed
FOREVER = float("inf")


@dataclass(frozen=True)
class Limit:
    """Bounds; None is no bound. `retries` is a share of first tries."""

    name: str
    rate: Optional[float] = None
    at_once: Optional[int] = None
    held: Optional[int] = None
    retries: Optional[float] = None


class Meter:
    """One limit in use."""

    def __init__(self, limit: Limit, now: float) -> None:
        self.limit = limit
        self.out = self.held = 0
        self.again = 0  # messages that wait for a further try
        self._due = now  # when the rate's next cell is due
        self._budget, self._since = 0.0, now

    # Messages

    def room(self) -> bool:
        """Whether another message may be held."""
        return self.limit.held is None or self.held < self.limit.held

    def took(self, again: bool = False) -> None:
        """A message comes under the limit; `again`, one that waits for a further try."""
        self.held += 1
        self.again += again

    def gave(self, again: bool = False) -> None:
        self.held = max(0, self.held - 1)
        self.again = max(0, self.again - again)

    # Calls

    def wait(self, now: float, retry: bool) -> float:
        """Milliseconds until a call may go: 0 now, infinite where only the end of another call makes room."""
        if self.limit.at_once is not None and self.out >= self.limit.at_once:
            return FOREVER
        pause = 0.0
        if self.limit.rate is not None:
            if self.limit.rate <= 0:
                return FOREVER
            pause = max(0.0, self._due - now - self._ahead)
        if retry and self.limit.retries is not None:
            pause = max(pause, self._until_retry(now))
        return pause

    def went(self, now: float, retry: bool) -> None:
        """A call goes; ask `wait` first."""
        self.out += 1
        if self.limit.rate:
            self._due = max(self._due, now) + 1000.0 / self.limit.rate
        if self.limit.retries is not None:
            self._budget = self.budget(now)
            self._since = now
            self._budget = self._budget - 1.0 if retry else self._budget + self.limit.retries

    def came(self) -> None:
        """A call has ended."""
        self.out = max(0, self.out - 1)

    def line(self, now: float, again: bool, more: int = 0) -> float:
        """Milliseconds until the last of all that wait may go, as far as rate and budget tell.

        That is the one in question; `more` is 1 where it isn't counted yet.
        What first tries will yet deposit isn't counted: a partner that fails has few of them.
        """
        pause = 0.0
        if self.limit.rate is not None:
            if self.limit.rate <= 0:
                return FOREVER
            before = max(0, self.held + more - self.out - 1)
            pause = max(0.0, self._due + before * 1000.0 / self.limit.rate - now - self._ahead)
        if again and self.limit.retries is not None:
            pause = max(pause, (self.again - self.budget(now)) / RESERVE_PER_S * 1000.0)
        return pause

    @property
    def _ahead(self) -> float:
        """A burst is at least one call."""
        assert self.limit.rate is not None
        return max(0.0, BURST_MS - 1000.0 / self.limit.rate)

    def budget(self, now: float) -> float:
        """Retries that are allowed now: deposits fade over `BUDGET_MS`, the reserve grows to a few."""
        passed = max(0.0, now - self._since)
        most = max(1.0, RESERVE_PER_S * BUDGET_MS / 1000.0)
        kept = self._budget * max(0.0, 1.0 - passed / BUDGET_MS) if self._budget > 0 else self._budget
        return max(kept, min(most, kept + RESERVE_PER_S * passed / 1000.0))

    def _until_retry(self, now: float) -> float:
        short = 1.0 - self.budget(now)
        return max(0.0, short / RESERVE_PER_S * 1000.0)

    def idle(self, now: float) -> bool:
        """Whether it may be forgotten: made anew it would be no different."""
        used = self.out or self.held or self.again
        return not used and self._due <= now and now - self._since > BUDGET_MS


class Limits:
    """All limits of a set, by name, made when they are first used."""

    def __init__(self, limits: Mapping[str, Limit]) -> None:
        self._limits = limits
        self._meters: dict[str, Meter] = {}

    def meter(self, name: str, now: float) -> Meter:
        """The meter of a limit; `KeyError` where the set has none of this name."""
        found = self._meters.get(name)
        if found is None:
            found = self._meters[name] = Meter(self._limits[name], now)
        return found

    def swap(self, limits: Mapping[str, Limit], now: float) -> None:
        """Put other limits in force: what is used of one that stays is kept, so a swap opens none of them."""
        self._limits = limits
        for name in list(self._meters):
            limit = limits.get(name)
            if limit is None:
                del self._meters[name]
                continue
            meter = self._meters[name]
            old, new = meter.limit.rate, limit.rate
            if old and new and meter._due > now:  # the cells that are used stay used, at the new pace
                meter._due = now + (meter._due - now) * old / new
            meter.limit = limit

    def tidy(self, now: float) -> None:
        """Forget what is idle, so that thousands of quiet destinations cost nothing."""
        for name in [name for name, meter in self._meters.items() if meter.idle(now)]:
            del self._meters[name]

    def __len__(self) -> int:
        return len(self._meters)

    def line(self, names: tuple[str, ...], now: float, again: bool) -> float:
        """About how long until all of these limits let the last call in their lines go."""
        return max((self.meter(name, now).line(now, again) for name in names), default=0.0)

    def room(self, names: tuple[str, ...], now: float) -> bool:
        """Whether all of these limits would hold one more message and let a call go now."""
        return all((meter := self.meter(name, now)).room() and meter.wait(now, False) <= 0 for name in names)

    def wait(self, names: tuple[str, ...], now: float, retry: bool) -> float:
        """Milliseconds until all of these limits let a call go."""
        return max((self.meter(name, now).wait(now, retry) for name in names), default=0.0)

    def went(self, names: tuple[str, ...], now: float, retry: bool) -> None:
        for name in names:
            self.meter(name, now).went(now, retry)

    def came(self, names: tuple[str, ...], now: float) -> None:
        for name in names:
            if name in self._meters:
                self._meters[name].came()
