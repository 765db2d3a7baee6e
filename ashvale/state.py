"""The state that decisions rest on: records, and what they hold. Every decision is in ashvale/control.py."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Optional

from ashvale import interface as api

NEVER = -1e12
"""A time before every other."""
SAMPLES, MARKS = 100, 8
"""Latencies kept for margin and usual time; outcomes kept for health."""


@dataclass(eq=False)
class Message:
    """A message that is owed an answer, with its attempt history."""

    id: int
    key: int  # order key; 0 where its class keeps no order
    dest: int
    cls: api.MessageClass
    worth: float
    aim: float
    deadline: float
    attempts: int = 0
    out: int = 0
    done: bool = False
    not_before: float = 0.0
    halves: bool = False  # its worth falls by half with each further aim, and not evenly
    kept: bool = False  # a restart found it untried: it is tried before it is given up
    spent: bool = False  # an endpoint has said that no further attempt is to be made
    ends_from: float = NEVER  # its end is not told before: a call with it may be on its way until then
    maybe_ran: Optional[tuple[float, int]] = None  # send time and zone of the first such attempt

    def worth_at(self, at: float) -> float:
        """Return what a delivery at this time still earns."""
        late, least = max(0.0, at - self.aim), self.cls.late_worth
        even = 1.0 - (1.0 - least) * late / max(1.0, self.deadline - self.aim)
        left = max(least, 0.5 ** (late / max(1.0, self.cls.aim_ms))) if self.halves else even
        return self.worth * left if at < self.deadline else 0.0


@dataclass(eq=False)
class Call:
    """One call out; batched messages share it."""

    endpoint: Endpoint
    sent: float
    members: int = 0
    until: float = NEVER  # its own answer is awaited until then
    lost: bool = False  # its answer never came, though it was written
    failed: bool = False  # it has failed, or was refused


@dataclass(eq=False)
class Endpoint:
    """One address of a destination and its health."""

    target: api.Target
    zone: int
    dest: int
    kind: api.Kind
    fee: float
    lane: Lane
    marks: deque[bool]  # recent outcomes, true for success
    ready: bool = True
    calls: list[Call] = field(default_factory=list)
    ok_sent: float = NEVER  # send time of the last call that succeeded
    last_ok: float = NEVER
    last_sent: float = NEVER
    out_since: Optional[float] = None  # set while the endpoint is held to fail
    ramp_from: float = NEVER  # when it last came back from an outage
    trial_at: float = 0.0
    lossy_until: float = NEVER  # it loses answers, but is not out
    probing: bool = False
    crowds: int = 0  # times in a row that its connection table was full
    rests_until: float = NEVER  # nothing goes to it before, as its table was full
    unconnected: bool = False  # the last failure was a connection that did not come about

    def leave(self, dest: Destination) -> None:
        """Nothing new goes to it any more; its calls out are still followed."""
        self.ready = False
        recovery = self.lane.recovery
        recovery.blocked_until = max(recovery.blocked_until, self.lane.blocked_until)
        dest.endpoints.remove(self)
        self.lane.endpoints.remove(self)

    def joins(self, now: float) -> bool:
        """Tell whether a call leaves for it this very moment, with room for one more message."""
        # While others serve, a trial risks one message.
        one = self.out_since is not None and any(x.ready and x.out_since is None for x in self.lane.endpoints)
        most = 1 if one else self.kind.per_call
        return bool(self.calls and self.calls[-1].sent == now and self.calls[-1].members < most)


@dataclass(eq=False)
class Recovery:
    """What is known of the failures of a destination, or route apart, over all of its endpoints.

    It outlasts them: what a destination was left in, it comes back in.
    """

    failures: int = 0  # in a row, with no success between
    failing_since: float = NEVER  # when they may have begun
    last_ok: float = NEVER  # send time of the last call that succeeded
    shut_sent: float = NEVER  # send time of the last call whose answer told that it is shut
    warm_from: float = NEVER  # when it last came back from an outage
    opens_at: float = NEVER  # nothing goes before
    blocked_until: float = 0.0  # told by endpoints that are gone
    marks: tuple[bool, ...] = ()  # recent outcomes, true for success
    before: tuple[int, float] = field(default=(0, NEVER))  # failures that a success ended, and their begin
    ended_at: float = NEVER  # when that was

    def mark(self, success: bool) -> None:
        """Take one more outcome to the recent ones."""
        self.marks = (*self.marks, success)[-MARKS:]


@dataclass(eq=False)
class Lane:
    """Pacing for what shares one limit: a destination, or a route where routes are apart."""

    usual: float  # mean latency
    margin: float
    latencies: deque[float]  # recent ones
    endpoints: list[Endpoint] = field(default_factory=list)
    ring: deque[float] = field(default_factory=lambda: deque(maxlen=512))  # recent send times
    n: Optional[float] = None  # ring size; None is open, under one stretches the window
    least: int = 1  # calls that a ring holds at least: a smaller N stretches its window
    dry: int = 0  # refusals in a row that lowered N, with no success between
    total: float = 0.0  # calls a second for all forwarders, where told
    blocked_until: float = 0.0
    grown_at: float = 0.0
    refused_at: float = NEVER
    recovery: Recovery = field(default_factory=Recovery)

    def sends_since(self, at: float) -> int:
        """Count the recent calls sent after `at`."""
        return next((i for i, sent in enumerate(reversed(self.ring)) if sent <= at), len(self.ring))


@dataclass(eq=False)
class Destination:
    """What messages are bound for: its endpoints, and the one queue of messages that wait."""

    endpoints: list[Endpoint] = field(default_factory=list)
    queue: list[Message] = field(default_factory=list)
    arrivals: deque[float] = field(default_factory=lambda: deque(maxlen=64))
    look_at: float = 1e18  # when it is to be looked at again
    recovery: Recovery = field(default_factory=Recovery)  # but of routes apart, which have one each
    routes: dict[api.Target, Recovery] = field(default_factory=dict)  # of routes apart that left cold

    def shut_until(self) -> float:
        """Until when no endpoint lets anything go, whatever happens; past times mean now."""
        return min((e.lane.blocked_until for e in self.endpoints if e.ready), default=0.0)

    def scarce(self, endpoint: Endpoint, crowded: set[api.Kind]) -> api.Scarcity:
        """Say whether a call's connection is hard to come by, and then whether more messages wait for it.

        Those that are out to the endpoint may be turned away, and wait again.
        """
        if endpoint.kind not in crowded:
            return api.Scarcity.NONE
        return api.Scarcity.WAITING if self.queue or len(endpoint.calls) > 1 else api.Scarcity.LAST

    def arrived_since(self, at: float) -> int:
        """Count the recent messages that came after `at`."""
        return sum(arrived > at for arrived in self.arrivals)
