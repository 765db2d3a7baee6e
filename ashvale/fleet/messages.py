"""What couriers of one fleet say to each other: one typed message each, and the envelope around them.

The record's own messages are in ashvale/fleet/record.py. The wire form is MessagePack, tagged by the message.
"""

from __future__ import annotations

from typing import Union

import msgspec

from ashvale.fleet.members import View
from ashvale.fleet.record import Append, Appended, Install, Pull, Pulled, Vote, Voted
from ashvale.fleet.state import Result


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Asks whether anything newer of this name was seen."""


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """Nothing newer was; it is written down that this incarnation was seen."""


class Stale(msgspec.Struct, frozen=True, tag="stale"):
    """A later incarnation was seen, or another process with this very one: it is not heard.

    `quiet` is for how many milliseconds that one has not been heard itself.
    """

    newest: int
    life: str
    quiet: float


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    pass


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    pass


class Look(msgspec.Struct, frozen=True, tag="look"):
    """Asks another to look whether `name` answers."""

    name: str


class Saw(msgspec.Struct, frozen=True, tag="saw"):
    view: View


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """A command for the leader to have decided."""

    id: str
    data: bytes


class Proposed(msgspec.Struct, frozen=True, tag="proposed"):
    """What it came to; `retry` where this courier cannot say."""

    id: str
    result: Result
    retry: bool = False


class Renew(msgspec.Struct, frozen=True, tag="renew"):
    lease: str
    number: int
    sent: float


class Renewed(msgspec.Struct, frozen=True, tag="renewed"):
    """`ok` false: the lease is another's, or nobody's. No answer comes from who does not surely lead."""

    lease: str
    number: int
    ok: bool
    sent: float


class InForce(msgspec.Struct, frozen=True, tag="inforce"):
    """The bans as they were decided at that place of the record bind this courier now."""

    at: int


class Noted(msgspec.Struct, frozen=True, tag="noted"):
    """The leader knows."""

    at: int


class Health(msgspec.Struct, frozen=True, tag="health"):
    """What this process has seen end since it began, how much of it was given up, and what it owes."""

    ends: int
    given_up: int
    owed: int


Body = Union[
    Vote,
    Voted,
    Append,
    Install,
    Appended,
    Pull,
    Pulled,
    Hello,
    Welcome,
    Stale,
    Ping,
    Ack,
    Look,
    Saw,
    Propose,
    Proposed,
    Renew,
    Renewed,
    InForce,
    Noted,
    Health,
]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message, who sends it under which incarnation and life, and what it thinks of others."""

    sender: str
    incarnation: int
    life: str
    lost: bool
    views: tuple[View, ...]
    body: Body
