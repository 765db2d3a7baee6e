"""The records of the journal's file: what each kind holds, and the entry that they add up to.

A record is a kind, a length, a checksum and a payload. `TAKEN` holds an entry whole; the others name an entry
by number. Where a message is traced, what its trace needs after a restart stands behind what the record holds
anyway, so that tracing costs no write of its own. Times are wall-clock milliseconds, since no other clock
survives a restart.
"""

from __future__ import annotations

import json
import struct
import zlib
from dataclasses import dataclass, field
from typing import Any, Optional

FRAME_HEAD = struct.Struct("<BII")  # kind, length, checksum
STARTED_FORM = struct.Struct("<QdH")  # number, time, zone
OUTCOME_FORM = struct.Struct("<Q?")  # number, proven not to have run
DECIDED_FORM = struct.Struct("<Qdd")  # number, advice, keep until; then the state's name
ENDED_FORM = struct.Struct("<Q")
TRACED_FORM = struct.Struct("<dBf")  # behind an outcome, where traced: time, its number, told wait
SPENT_FORM = struct.Struct("<Q")
TAKEN, STARTED, OUTCOME, DECIDED, ENDED, SPENT = range(1, 7)

RESERVE = 640  # room kept for what is still to be written about an entry: eight attempts and its end
TRACED_RESERVE = 1280  # and for what a traced message's history adds to that
NAME_MOST, HISTORY_MOST = 60, 24  # bytes of an endpoint's name in the history, and its lines


@dataclass(eq=False)
class Entry:
    """One message as the journal knows it."""

    number: int
    id: str
    front: str
    cls: str
    dest: str
    tenant: str
    key: str
    deadline: float
    body: bytes
    retried: bool = False
    envelope: str = ""  # what a front needs to know besides; the exchange passes it on
    attempts: int = 0
    out_since: Optional[float] = None  # an attempt is out since
    out_zone: int = 0
    ran_at: Optional[float] = None  # send time of the first attempt that may have run
    ran_zone: int = 0
    state: str = ""  # how it ended, once that is decided
    after_ms: float = 0.0
    keep_until: float = 0.0  # the outcome is remembered until then
    sends: int = 0  # attempts that the module has decided on, begun or not
    order: str = ""  # its order key; empty where its class keeps no order
    taken: float = 0.0  # and when it was taken on
    resumed: bool = False  # an earlier life of the process took it on
    spent: bool = False  # an endpoint has said that no further attempt is to be made
    trace: str = ""  # the message's place in a trace; empty where it is not traced
    # Of a traced message: each attempt's begin, endpoint, outcome (by number), end and told wait; and with
    # no endpoint, from when to when no process was there.
    history: list[list[Any]] = field(default_factory=list)

    _KEPT = (
        "number",
        "id",
        "front",
        "cls",
        "dest",
        "tenant",
        "key",
        "deadline",
        "retried",
        "envelope",
        "attempts",
        "out_since",
        "out_zone",
        "ran_at",
        "ran_zone",
        "state",
        "after_ms",
        "keep_until",
    )

    def pack(self) -> bytes:
        kept = self._KEPT + (("trace", "history") if self.trace else ())
        kept += ("order", "taken") if self.order else ()
        head = json.dumps({name: getattr(self, name) for name in kept}, separators=(",", ":")).encode()
        return struct.pack("<I", len(head)) + head + self.body

    @classmethod
    def unpack(cls, data: bytes) -> Entry:
        (size,) = struct.unpack_from("<I", data)
        fields: dict[str, Any] = json.loads(data[4 : 4 + size])
        return cls(body=data[4 + size :], **fields)

    def started(self, at: float, zone: int, endpoint: str = "") -> None:
        if self.out_since is not None:  # guards the rule on repeats where an outcome could not be written
            self.outcome(False)
        self.attempts, self.out_since, self.out_zone = self.attempts + 1, at, zone
        if self.trace and len(self.history) < HISTORY_MOST:
            self.history.append([at, endpoint, 0, at, 0.0])

    def outcome(self, never_ran: bool, at: float = 0.0, number: int = 0, told: float = 0.0) -> None:
        if not never_ran and self.ran_at is None:
            self.ran_at, self.ran_zone = self.out_since, self.out_zone
        if number and self.history and self.history[-1][0] == self.out_since:
            self.history[-1][2:] = number, at, told
        self.out_since = None


def replay(entries: dict[int, tuple[Entry, int]], kind: int, payload: bytes) -> None:
    """Apply one record to the entries read so far, by number, each with the size of its `TAKEN` record."""
    if kind == TAKEN:
        entry = Entry.unpack(payload)
        entries[entry.number] = entry, len(payload) + FRAME_HEAD.size
        return
    found, _ = entries.get(int.from_bytes(payload[:8], "little"), (None, 0))
    if found is None:
        return
    if kind == STARTED:
        _, begun, zone = STARTED_FORM.unpack_from(payload)
        found.started(begun, zone, payload[STARTED_FORM.size :].decode("utf-8", "ignore"))
    elif kind == OUTCOME:
        more = TRACED_FORM.unpack_from(payload, OUTCOME_FORM.size) if len(payload) > OUTCOME_FORM.size else ()
        found.outcome(OUTCOME_FORM.unpack_from(payload)[1], *more)
    elif kind == SPENT:
        found.spent = True
    elif kind == DECIDED:
        _, found.after_ms, found.keep_until = DECIDED_FORM.unpack_from(payload)
        found.state = payload[DECIDED_FORM.size :].decode()
    elif kind == ENDED:
        del entries[found.number]


def snapshot(entry: Entry) -> bytes:
    """The records that stand for an entry in a new file."""
    taken = frame(TAKEN, entry.pack())
    return taken + frame(SPENT, SPENT_FORM.pack(entry.number)) if entry.spent else taken


def reserve(entry: Entry) -> int:
    return RESERVE + TRACED_RESERVE if entry.trace else RESERVE


def frame(kind: int, payload: bytes) -> bytes:
    return FRAME_HEAD.pack(kind, len(payload), zlib.crc32(payload)) + payload
