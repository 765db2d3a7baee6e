"""Which partners of pools are shut or told to wait, from how their calls end.

It owns one record for each partner that calls have ended at, and must never know an endpoint, a message or
a clock. A partner is shut while no endpoint of it is listed, or after `FAILURES` calls in a row came to
nothing; then one message at a time is let to it as a trial, after pauses that double (the circuit breaker
of Nygard, Release It!, 2007, with its half-open state). It steers new messages and those that never ran;
endpoints are still tried and paced by the decision module. Times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Optional

from ashvale.routing.pools import SHUT, WAITING

FAILURES = 4  # in a row, after which a partner is shut
TRIAL_MS = 1000.0, 30000.0  # first and longest pause before a trial


@dataclass
class _Partner:
    listed: Optional[bool] = None  # None: no list has told of it yet
    failures: int = 0
    pause: float = 0.0  # 0 while it is not shut
    trial_at: float = 0.0
    waits_until: float = 0.0


class Health:
    """The states of partners, by destination."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._partners: dict[str, _Partner] = {}

    def _of(self, name: str) -> _Partner:
        return self._partners.setdefault(name, _Partner())

    def listed(self, name: str, ready: bool) -> None:
        """The list tells whether any endpoint of a partner is ready."""
        self._of(name).listed = ready

    def settled(self, name: str, ok: bool, sent: float, now: float) -> None:
        """A call has ended: answered as delivered, or come to nothing in a way that concerns the partner."""
        partner = self._of(name)
        if ok:
            partner.failures, partner.pause, partner.trial_at = 0, 0.0, 0.0
            return
        partner.failures += 1
        if partner.pause <= 0.0:
            if partner.failures >= FAILURES:
                self._shut(partner, TRIAL_MS[0], now)
        elif sent >= partner.trial_at - partner.pause:  # calls that were out when it was shut are no trials
            self._shut(partner, min(TRIAL_MS[1], 2.0 * partner.pause), now)

    def _shut(self, partner: _Partner, pause: float, now: float) -> None:
        partner.pause = pause
        partner.trial_at = now + pause * self._random.uniform(0.75, 1.25)

    def told(self, name: str, until: float) -> None:
        """A partner told to stay away until then."""
        partner = self._of(name)
        partner.waits_until = max(partner.waits_until, until)

    def state(self, name: str, now: float) -> str:
        """`shut`, `waiting`, or nothing; nothing as well when a trial is due."""
        partner = self._partners.get(name)
        if partner is None:
            return ""
        if partner.listed is False or (partner.pause > 0.0 and now < partner.trial_at):
            return SHUT
        return WAITING if now < partner.waits_until else ""

    def chosen(self, name: str, now: float) -> None:
        """A message goes its way: where the partner is shut it is the trial, and the next is a pause away."""
        partner = self._partners.get(name)
        if partner is not None and partner.pause > 0.0 and now >= partner.trial_at:
            partner.trial_at = now + partner.pause

    def keep(self, names: set[str]) -> None:
        """Forget all but these partners."""
        self._partners = {name: partner for name, partner in self._partners.items() if name in names}
