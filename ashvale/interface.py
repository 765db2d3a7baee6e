"""Settings, events and actions of the decision module: plain typed data, no decisions.

Times are milliseconds on the caller's clock, which never runs backwards. Durations are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Optional, Protocol, Union

Target = bytes
"""An endpoint's address, as the caller names it; opaque here."""


class Effect(Enum):
    """What repeating a message does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    CROWDED = "crowded"  # turned away as a connection too many: neither a limit nor an outage

    @property
    def never_ran(self) -> bool:
        """True when the outcome proves that the attempt took no effect."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.CROWDED})


class Readiness(Enum):
    """What the list says of an endpoint; nothing of its health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How an endpoint list arrived."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True)
class MessageClass:
    """One class of message. `late_worth` is the share of `worth` left at the deadline."""

    name: str
    effect: Effect
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    group: str = "all"
    window_ms: float = 0.0
    stream: bool = False
    in_order: bool = False


@dataclass(frozen=True)
class Tenant:
    """A customer: its share and the rate, over all forwarders, that counts in full."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True)
class Kind:
    """A kind of destination: messages per call at most, and whether its endpoints are routes apart."""

    name: str
    per_call: int = 1
    routes_apart: bool = False


@dataclass(frozen=True)
class Settings:
    """What a forwarder is told when it starts."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[Kind, ...] = (Kind("any"),)
    tenants: tuple[Tenant, ...] = ()
    forwarders: int = 1
    number: int = 0
    slots: int = 16
    max_open: int = 1000
    max_attempts: int = 3
    max_backoff_ms: float = 1000.0
    may_probe: bool = False
    may_cancel: bool = False
    may_copy: bool = False
    may_advise: bool = True
    may_note: bool = False
    must_subscribe: bool = False
    listed_rates: bool = False
    report_fields: tuple[str, ...] = ()
    fades_linear: bool = True
    over_share_worth: float = 1.0
    zone: int = 0
    zone_fees: tuple[float, ...] = ()
    zones: tuple[str, ...] = ()
    calls_per_connection: int = 1
    keepalive_ms: float = 15000.0
    connect_timeout_ms: float = 1000.0
    tick_ms: float = 1.0
    drain_grace_ms: float = 0.0
    cold_share: float = 0.25
    warm_up_ms: float = 10000.0
    overload_factor: float = 2.0
    overload_for_ms: float = 1000.0
    order_settle_ms: float = 0.0


@dataclass(frozen=True)
class Listing:
    """One line of the endpoint list."""

    target: Target
    destination: int
    kind: int = 0
    zone: int = 0
    readiness: Readiness = Readiness.READY
    rate: float = 0.0
    added_at: float = 0.0
    silent_until: float = 0.0  # a wait that another process of this courier was told, to when it runs


@dataclass(frozen=True)
class ListKnown:
    """News of the endpoint list; `FAILED` carries no lines and leaves the list as it was."""

    how: ListKind
    version: int = 0
    lines: tuple[Listing, ...] = ()


@dataclass(frozen=True)
class TakenBack:
    """An attempt that was told as a success, and was none."""

    target: Target
    sent: float


@dataclass(frozen=True)
class NewMessage:
    """A message was accepted; one final answer is owed before `deadline`."""

    message: int
    message_class: int
    destination: int
    deadline: float
    tenant: int = 0
    order_key: int = 0
    retried: bool = False
    attempts: int = 0  # made in an earlier life of the process, as are the next two
    ran_at: Optional[float] = None  # send time of the first attempt that may have run
    ran_zone: int = 0
    kept: bool = False  # taken on in an earlier life, which never tried it
    spent: bool = False  # an endpoint has said that no further attempt is to be made
    failed: bool = False  # the last of its attempts, as is known now
    taken_back: Optional[TakenBack] = None  # that attempt, where this process made it


@dataclass(frozen=True)
class Withdrawn:
    """Nobody waits for the message any more."""

    message: int


@dataclass(frozen=True)
class Settled:
    """An attempt ended. `finished` tells that the message is over; `wait_ms` that 0 or more was told.

    `unproven`: the answer may have been another call's, so whatever it says the attempt may have run.
    `spent`: no further attempt may be made, by an answer that may have been another call's too.
    """

    message: int
    attempt: int
    target: Target
    outcome: Outcome
    took_ms: float
    finished: bool
    wait_ms: float = 0.0
    no_slot: bool = False
    report: dict[str, float] = field(default_factory=dict)
    unproven: bool = False
    spent: bool = False

    @property
    def may_have_run(self) -> bool:
        """True where the attempt may have taken effect without a delivery."""
        return self.outcome is not Outcome.OK and (self.unproven or not self.outcome.never_ran)


@dataclass(frozen=True)
class Probed:
    """A probe ended."""

    target: Target
    outcome: Outcome
    took_ms: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class Started:
    """The answer of a streamed message has begun; it belongs to the client from here on."""

    message: int
    attempt: int


@dataclass(frozen=True)
class Timer:
    """A wake-up that was asked for."""

    token: int


@dataclass(frozen=True)
class Closing:
    """The process is about to end: no attempt may begin at `at` or later."""

    at: float


@dataclass(frozen=True)
class Configured:
    """Other settings are in force from now on. Messages keep the class under which they were accepted."""

    settings: Settings


@dataclass(frozen=True)
class Note:
    """A note from another forwarder."""

    sender: int
    payload: bytes


Event = Union[ListKnown, NewMessage, Withdrawn, Settled, Probed, Started, Timer, Closing, Configured, Note]


class Scarcity(Enum):
    """Whether an endpoint takes all the connections that are wanted, as far as is known."""

    NONE = "none"  # it does
    WAITING = "waiting"  # it turns some away, and more messages wait for its destination
    LAST = "last"  # it turns some away, and no other message waits for its destination


@dataclass(frozen=True)
class Send:
    """Call an endpoint with the message; the attempt is abandoned at `until`.

    Its last byte is handed over before `by` or never: later, another attempt would do harm.
    """

    message: int
    target: Target
    until: float = 0.0
    by: float = 1e18
    scarcity: Scarcity = Scarcity.NONE


@dataclass(frozen=True)
class Refuse:
    """Final answer: handing the message in again does no harm; come back after `backoff_ms`."""

    message: int
    backoff_ms: float = 0.0


@dataclass(frozen=True)
class Fail:
    """Final answer: nothing is promised."""

    message: int


@dataclass(frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    message: int
    attempt: int


@dataclass(frozen=True)
class Wake:
    """Ask for a `Timer` event."""

    after_ms: float
    token: int


@dataclass(frozen=True)
class Probe:
    """Check an endpoint."""

    target: Target


@dataclass(frozen=True)
class CloseIdle:
    """Close idle connections to an endpoint."""

    target: Target


@dataclass(frozen=True)
class Subscribe:
    """Ask for the endpoint list and its changes."""


@dataclass(frozen=True)
class Log:
    """A line for the operators."""

    text: str


class Health(Enum):
    """What a forwarder holds a destination, or one endpoint of it, to be."""

    OUT = "out"
    """Calls fail: only trials go."""
    WARMING = "warming"
    """A call has succeeded after an outage: what is sent grows slowly."""
    WELL = "well"


@dataclass(frozen=True)
class HealthChanged:
    """The health of an endpoint is held to be another from now on. For logs: nothing is to be done."""

    target: Target
    destination: int
    health: Health
    outcome: Outcome  # of the call that told it
    for_ms: float  # how long the health before lasted, as far as is known


WireAction = Union[Send, Refuse, Fail, Cancel, Wake, Probe, CloseIdle, Subscribe, Log]
Action = Union[WireAction, HealthChanged]


class CallLimits(Protocol):
    """What an operator's limits let go, over the ring's own pace. It does no I/O and has no clock.

    The Controller asks before each send, and tells of the send and of its end. Times are milliseconds.
    """

    binding: bool
    """True where any limit is set; then a queue's length alone says little of how long it takes."""

    def wait(self, message: int, now: float) -> float:
        """Until a call for the message may go: 0 now, infinite where only another's end makes room."""

    def line(self, message: int, now: float) -> float:
        """About how long until it may go, by all that wait before it; 0 where that is not known."""

    def went(self, message: int, now: float) -> None:
        """A call goes for it now."""

    def came(self, message: int, now: float) -> None:
        """That call has ended."""


class Unlimited:
    """The limits of an operator who has set none."""

    binding = False

    def wait(self, message: int, now: float) -> float:
        return 0.0

    def line(self, message: int, now: float) -> float:
        return 0.0

    def went(self, message: int, now: float) -> None:
        """Nothing is counted."""

    def came(self, message: int, now: float) -> None:
        """Nothing is counted."""
