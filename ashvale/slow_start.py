"""Slow start: what may go to a destination whose calls fail, or that has just come back from an outage.

All couriers of a fleet share what a destination bears then, and none knows of the others. Each keeps to its
own part of that, counted over all endpoints of the destination, whatever sign its calls failed by. What is
known of an outage outlasts the endpoints, in a fleet of any size. Times are milliseconds on the caller's
clock, rates are calls a millisecond.
"""

from __future__ import annotations

from random import Random
from typing import Optional

from ashvale import interface as api
from ashvale.interface import Outcome
from ashvale.pacing import MISHAP_MS, RAMP_SHARE, RATE_MS, SHUT_MS, SPARE, failing
from ashvale.state import NEVER, Call, Destination, Endpoint, Lane, Recovery

FEW = 4.0  # forwarders that need no budget of their own: each sees enough of an outage
FIRST_RETRY_MS = 5000.0  # most of the mean pause before a trial, while one failure alone is known
DOUBTFUL = 0.5  # how warm a destination is taken to be after one failure that may have been a passing one
STREAK = 2  # failures in a row from which on the destination is held to be out
ROUTES_MOST = 64  # routes apart that left a destination cold and are remembered: the latest
NO_PACE = 1e18  # where nothing is known of a destination's rate
_SAYS_NOTHING = (Outcome.CANCELLED, Outcome.MOOT, Outcome.CROWDED)


class SlowStart:
    """The part of one forwarder of many. For a few it holds nothing back, but remembers all the same."""

    def __init__(self, settings: api.Settings, random: Random) -> None:
        self._random = random
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Take other settings over."""
        self._settings = settings
        self.many = max(0.0, 1.0 - FEW / settings.forwarders)
        self._longest = max((c.deadline_ms for c in settings.classes), default=0.0)

    @property
    def cold_part(self) -> float:
        """The part of its usual traffic that a destination surely bears while it is cold."""
        return RAMP_SHARE[0] * self._settings.overload_factor * self._settings.cold_share * SPARE

    def pace(self, lane: Lane, dest: Destination, grown: float, now: float) -> float:
        """Return the pause between calls to a cold destination: by the own part of its limit, or of traffic.

        `grown` tells how far it is warm, from 0 to 1.
        """
        settings = self._settings
        seen = max(1, dest.arrived_since(now - RATE_MS)) / RATE_MS
        own = SPARE * (1.0 + 3.0 / settings.forwarders) * seen
        rate = lane.total / 1000.0 / settings.forwarders or own
        # Many leave more unused, as chance adds to what all send; and few of them hold a message for it.
        used = RAMP_SHARE[0] - RAMP_SHARE[1] * self.many
        held: float = 1.0 - self.many * 4.0 ** (-rate * self._longest)
        share = settings.cold_share + (1 - settings.cold_share) * grown
        return held / (used * settings.overload_factor * rate * share)

    def opens(self, recovery: Recovery, now: float) -> float:
        """Return when the next call may go; past times mean now."""
        return recovery.opens_at if self.many and self._grown(recovery, now) < 1.0 else NEVER

    def out(self, recovery: Recovery, now: float) -> bool:
        """Tell whether the destination is held to be out: a passing failure is none."""
        lasted = now - recovery.failing_since
        return bool(self.many) and recovery.failures >= STREAK and lasted >= MISHAP_MS

    def went(self, e: Endpoint, dest: Destination, now: float) -> None:
        """A call, or a probe, goes now."""
        recovery, grown = e.lane.recovery, self._grown(e.lane.recovery, now)
        if not self.many or grown >= 1.0:
            return
        pause = self.pace(e.lane, dest, grown, now)
        if recovery.failures:
            recovery.opens_at = now + self._trial_pause(recovery, now, pause)
        else:
            recovery.opens_at = now + pause * self._random.uniform(0.5, 1.5)

    def settled(self, call: Call, dest: Destination, outcome: Outcome, now: float, wait: float = 0.0) -> None:
        """A call, or a probe, has ended. One with several messages counts once; `wait` was told with it."""
        e = call.endpoint
        if outcome is Outcome.FULL and wait > SHUT_MS:
            self._shut(e.lane.recovery, call.sent)
        pace = self.pace(e.lane, dest, 0.0, now)
        if outcome is Outcome.OK:
            self._succeeded(e.lane.recovery, call.sent, now, pace)
        elif outcome not in _SAYS_NOTHING and not call.failed:
            call.failed = True
            if outcome is not Outcome.FULL or wait > SHUT_MS:
                e.lane.recovery.mark(False)
            others = any(x is not e and x.ready and x.out_since is None for x in e.lane.endpoints)
            passing = others and outcome is not Outcome.FULL
            self._failed(e.lane.recovery, call.sent, now + max(0.0, wait), pace, passing)

    def told_shut(self, e: Endpoint, dest: Destination, until: float, now: float) -> None:
        """Another process of this forwarder was told that the destination is shut `until` then."""
        self._shut(e.lane.recovery, now)
        self._failed(e.lane.recovery, now, until, self.pace(e.lane, dest, 0.0, now), False)

    def taken_back(
        self, dest: Destination, attempt: Optional[api.TakenBack], now: float
    ) -> Optional[Endpoint]:
        """The last success was none: that attempt had failed, or one of an earlier process.

        What the success ended goes on. Returns the endpoint that is out again, where forwarders are few.
        """
        e = next((e for e in dest.endpoints if attempt and e.target == attempt.target), None)
        left = dest.routes.get(attempt.target, dest.recovery) if attempt else dest.recovery
        recovery = e.lane.recovery if e else left
        if not recovery.failures:  # else the outage at hand goes on
            recovery.failures, recovery.failing_since = recovery.before
        recovery.last_ok = NEVER
        pace = self.pace(dest.endpoints[0].lane, dest, 0.0, now) if dest.endpoints else NO_PACE
        self._failed(recovery, now, now, pace, False)
        return e if e and attempt and not self.many and e.ok_sent <= attempt.sent else None

    def left(self, e: Endpoint, dest: Destination, now: float) -> None:
        """An endpoint is gone. A route apart that is cold, or silenced by a wait, is remembered."""
        e.leave(dest)
        if e.lane.recovery is dest.recovery:
            return
        dest.routes[e.target] = e.lane.recovery
        cold = [t for t, r in dest.routes.items() if self._remembers(r, now) or (t == e.target and e.calls)]
        dest.routes = {target: dest.routes[target] for target in cold[-ROUTES_MOST:]}

    def inherit(self, e: Endpoint, now: float) -> None:
        """Give an endpoint with no kin in service the health in which its destination was left."""
        recovery = e.lane.recovery
        e.ramp_from = recovery.warm_from
        if self.many:
            return  # its recovery alone holds calls back
        if recovery.failures:
            e.out_since = recovery.failing_since
        elif failing(recovery.marks):
            e.out_since = now - MISHAP_MS
        if e.out_since is not None:
            e.marks.extend(recovery.marks)

    def _remembers(self, recovery: Recovery, now: float) -> bool:
        """Tell whether a recovery says more than a new one."""
        told = recovery.blocked_until > now
        ended = recovery.before[0] > 0 and now - recovery.ended_at < MISHAP_MS  # it may be taken back
        return told or ended or self._grown(recovery, now) < 1.0 or failing(recovery.marks)

    def _grown(self, recovery: Recovery, now: float) -> float:
        """How far a destination is warm, from 0 to 1."""
        if recovery.failures:
            return 0.0
        if self._settings.warm_up_ms <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - recovery.warm_from) / self._settings.warm_up_ms))

    def _unknown(self, recovery: Recovery, now: float) -> float:
        """For how long the destination may have been out: longer for one of many, who calls rarely."""
        return self.many * min(now - recovery.last_ok, self._settings.warm_up_ms)

    def _trial_pause(self, recovery: Recovery, now: float, pace: float) -> float:
        """The mean pause before the next trial."""
        if self.out(recovery, now):
            return pace
        return min(pace, self._unknown(recovery, now), FIRST_RETRY_MS)

    def _was_out(self, recovery: Recovery, since: float, now: float) -> bool:
        """Tell whether the failures since then were an outage; one of many sees too few calls to count."""
        return now - since >= MISHAP_MS or (not self.many and failing(recovery.marks))

    def _shut(self, recovery: Recovery, sent: float) -> None:
        """Calls up to that send time say nothing of the destination any more, however they end."""
        recovery.shut_sent = max(recovery.shut_sent, sent)

    def _failed(self, recovery: Recovery, sent: float, now: float, pace: float, passing: bool) -> None:
        """Count a failure. `passing`: it may be that of one endpoint, and others are not known to fail."""
        if sent <= recovery.last_ok:
            return
        recovery.failures += 1
        if recovery.failures == 1:
            recovery.failing_since = sent
        elif recovery.failures == STREAK:
            # Guards against a long outage that seems short to who calls rarely.
            recovery.failing_since = min(recovery.failing_since, now - self._unknown(recovery, now))
        if not self.many or (recovery.failures != STREAK and recovery.opens_at > now):
            return  # a pause is under way
        if not passing or self.out(recovery, now):  # else a call to another endpoint tells which it is
            pause = self._trial_pause(recovery, now, pace)
            recovery.opens_at = now + pause * self._random.uniform(0.0, 2.0)

    def _succeeded(self, recovery: Recovery, sent: float, now: float, pace: float) -> None:
        """What is sent grows from the cold pace on where the destination was out."""
        if sent <= recovery.shut_sent:
            return  # it went before the destination shut
        recovery.mark(True)
        failures, since = recovery.failures, recovery.failing_since
        # Guards an outage against several successes that are taken back one after the other.
        if failures or now - recovery.ended_at >= MISHAP_MS:
            recovery.before = failures, since
            recovery.ended_at = now
        recovery.last_ok = max(recovery.last_ok, sent)
        recovery.failures = 0
        if failures and self._was_out(recovery, since, now):
            # One failure alone may have been a passing one, unless it told that the destination is shut.
            sure = failures >= STREAK or recovery.shut_sent >= since or not self.many
            recovery.warm_from = now - (0.0 if sure else DOUBTFUL) * self._settings.warm_up_ms
            recovery.opens_at = now + pace * self._random.random() if self.many else NEVER
