"""The binary frames of the simulator's wire: decoding of batches, encoding of replies.

Translation only. Every malformed input raises `WireError` with one plain line.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Union

from ashvale import config
from ashvale import interface as api


class WireError(Exception):
    """Input that does not keep to the wire; the text says what and where."""


@dataclass(frozen=True)
class Create:
    """An instance starts."""

    seed: int
    settings: api.Settings


@dataclass(frozen=True)
class Halt:
    """An instance dies."""


Item = tuple[int, Union[Create, Halt, api.Event]]

HEADER = struct.Struct("<IIId")
_REPLY = struct.Struct("<III")
_RECORD = struct.Struct("<BI")
_ENTRY = struct.Struct("<6sBHHBfd")
_MAX_FRAME = 1 << 30
_MAX_TABLES = 16

_OUTCOMES = {
    10: api.Outcome.OK,
    20: api.Outcome.ERROR,
    30: api.Outcome.FULL,
    40: api.Outcome.TIMEOUT,
    50: api.Outcome.CONNECT_FAILED,
    60: api.Outcome.RESET,
    70: api.Outcome.CANCELLED,
    80: api.Outcome.MOOT,
}
_READINESS = {0: api.Readiness.GONE, 1: api.Readiness.READY, 2: api.Readiness.DRAINING}
_LISTS = {1: api.ListKind.FULL, 2: api.ListKind.FAILED, 3: api.ListKind.CACHED, 4: api.ListKind.DELTA}


class _Fields:
    """Reads the fields of one record in turn, and insists that all are read."""

    def __init__(self, data: bytes, where: str) -> None:
        self._data, self._at, self._where = data, 0, where

    def take(self, fmt: str) -> Any:
        size = struct.calcsize("<" + fmt)
        values = struct.unpack("<" + fmt, self.raw(size))
        return values[0] if len(values) == 1 else values

    def raw(self, size: int) -> bytes:
        end = self._at + size
        if end > len(self._data):
            raise WireError(f"{self._where}: fields end after {len(self._data)} bytes, {end} needed")
        part = self._data[self._at : end]
        self._at = end
        return part

    def done(self) -> None:
        if self._at != len(self._data):
            raise WireError(f"{self._where}: {len(self._data) - self._at} bytes too many")


def _known(table: dict[int, Any], code: int, what: str) -> Any:
    if code not in table:
        raise WireError(f"unknown {what} {code}")
    return table[code]


class Decoder:
    """Turns batches into events. Keeps what the wire scopes to a process: lists and report fields."""

    def __init__(self) -> None:
        self._tables: dict[int, tuple[api.Listing, ...]] = {}
        self._reports: dict[int, tuple[str, ...]] = {}
        self._readers: dict[int, Callable[[_Fields], Item]] = {
            0: self._create,
            1: self._list,
            2: self._message,
            3: self._started,
            4: self._settled,
            5: self._withdrawn,
            6: self._timer,
            7: self._probed,
            8: self._note,
            9: self._halt,
        }

    def header(self, data: bytes) -> tuple[int, int, int, float]:
        """Return sequence number, record count, bytes that follow, and the clock."""
        if len(data) != HEADER.size:
            raise WireError(f"frame header: {len(data)} bytes, {HEADER.size} needed")
        seq, count, length, clock = HEADER.unpack(data)
        if not HEADER.size <= length <= _MAX_FRAME:
            raise WireError(f"batch {seq}: impossible length {length}")
        if clock != clock or clock in (float("inf"), float("-inf")):
            raise WireError(f"batch {seq}: clock is not a number")
        return seq, count, length - HEADER.size, clock

    def batch(self, seq: int, count: int, body: bytes) -> list[Item]:
        """Decode the records of one batch, in order."""
        items: list[Item] = []
        at = 0
        for number in range(count):
            where = f"batch {seq}, record {number}"
            if at + _RECORD.size > len(body):
                raise WireError(f"{where}: frame ends inside the record's head")
            code, size = _RECORD.unpack_from(body, at)
            at += _RECORD.size
            if at + size > len(body):
                raise WireError(f"{where}: frame ends inside the record")
            fields = _Fields(body[at : at + size], where)
            at += size
            try:
                if code == 10:
                    self._table(fields)
                else:
                    items.append(_known(self._readers, code, "event code")(fields))
            except WireError as error:
                text = str(error)
                raise WireError(text if text.startswith(where) else f"{where}: {text}") from None
            fields.done()
        if at != len(body):
            raise WireError(f"batch {seq}: {len(body) - at} bytes after the last record")
        return items

    def _table(self, f: _Fields) -> None:
        number, count = f.take("I"), f.take("I")
        if number >= _MAX_TABLES:
            raise WireError(f"list number {number} out of range")
        lines = []
        for _ in range(count):
            target, zone, kind, dest, ready, rate, added = _ENTRY.unpack(f.raw(_ENTRY.size))
            state = _known(_READINESS, ready, "readiness")
            lines.append(api.Listing(target, dest, kind, zone, state, rate, added))
        self._tables[number] = tuple(lines)

    def _create(self, f: _Fields) -> Item:
        inst, seed, size = f.take("H"), f.take("Q"), f.take("I")
        text = f.raw(size)
        try:
            settings = config.settings(config.parse(text, "settings"))
        except config.ConfigError as error:
            raise WireError(str(error)) from None
        self._reports[inst] = settings.report_fields
        return inst, Create(seed, settings)

    def _list(self, f: _Fields) -> Item:
        inst, version, number = f.take("H"), f.take("I"), f.take("I")
        how = _known(_LISTS, f.take("B"), "kind of list")
        if how is api.ListKind.FAILED:
            return inst, api.ListKnown(how, version)
        if number not in self._tables:
            raise WireError(f"unknown list {number}")
        return inst, api.ListKnown(how, version, self._tables[number])

    def _message(self, f: _Fields) -> Item:
        inst, req, cls, tenant, key = f.take("H"), f.take("I"), f.take("H"), f.take("I"), f.take("Q")
        deadline, _hint, dest, flags = f.take("d"), f.take("d"), f.take("f"), f.take("H")
        if deadline != deadline or dest != dest or abs(dest) == float("inf"):
            raise WireError(f"message {req}: deadline or destination is not a number")
        return inst, api.NewMessage(req, cls, int(dest), deadline, tenant, key, bool(flags & 18))

    def _report(self, inst: int, f: _Fields) -> dict[str, float]:
        values = [f.take("f") for _ in range(f.take("B"))]
        return dict(zip(self._reports.get(inst, ()), values, strict=False))

    def _settled(self, f: _Fields) -> Item:
        inst, req = f.take("H"), f.take("I")
        outcome = _known(_OUTCOMES, f.take("B"), "outcome")
        attempt, detail, target = f.take("B"), f.take("I"), f.raw(6)
        took, finished = f.take("d"), bool(f.take("B"))
        wait = float(detail) if outcome is api.Outcome.FULL else 0.0
        no_slot = outcome is api.Outcome.MOOT and detail == 1
        report = self._report(inst, f)
        return inst, api.Settled(req, attempt, target, outcome, took, finished, wait, no_slot, report)

    def _probed(self, f: _Fields) -> Item:
        inst, target, took = f.take("H"), f.raw(6), f.take("d")
        outcome = _known(_OUTCOMES, f.take("B"), "outcome")
        return inst, api.Probed(target, outcome, took, self._report(inst, f))

    def _started(self, f: _Fields) -> Item:
        inst, req, attempt, _target, _took = f.take("H"), f.take("I"), f.take("B"), f.raw(6), f.take("d")
        return inst, api.Started(req, attempt)

    def _withdrawn(self, f: _Fields) -> Item:
        return f.take("H"), api.Withdrawn(f.take("I"))

    def _timer(self, f: _Fields) -> Item:
        return f.take("H"), api.Timer(f.take("I"))

    def _note(self, f: _Fields) -> Item:
        inst, sender, size = f.take("H"), f.take("H"), f.take("H")
        return inst, api.Note(sender, f.raw(size))

    def _halt(self, f: _Fields) -> Item:
        return f.take("H"), Halt()


def _record(code: int, payload: bytes) -> bytes:
    return _RECORD.pack(code, len(payload)) + payload


def encode_fault(inst: int, text: str) -> bytes:
    """The record that declares an instance's decisions broken."""
    data = text.encode()[:60000]
    return _record(74, struct.pack("<HH", inst, len(data)) + data)


def encode_action(inst: int, action: api.WireAction) -> bytes:
    """Encode one action of one instance."""
    pack = struct.pack
    if isinstance(action, api.Send):
        return _record(64, pack("<HI6sd", inst, action.message, action.target, action.until))
    if isinstance(action, api.Wake):
        return _record(69, pack("<HdI", inst, action.after_ms, action.token))
    if isinstance(action, api.Refuse):
        return _record(66, pack("<HId", inst, action.message, action.backoff_ms))
    if isinstance(action, api.Fail):
        return _record(65, pack("<HI", inst, action.message))
    if isinstance(action, api.Cancel):
        return _record(72, pack("<HIB", inst, action.message, action.attempt))
    if isinstance(action, api.Probe):
        return _record(75, pack("<H6s", inst, action.target))
    if isinstance(action, api.CloseIdle):
        return _record(73, pack("<H6s", inst, action.target))
    if isinstance(action, api.Subscribe):
        return _record(68, pack("<HB", inst, 1))
    data = action.text.encode()[:60000]
    return _record(70, pack("<HH", inst, len(data)) + data)


def encode_reply(seq: int, records: list[bytes]) -> bytes:
    """Encode the reply to one batch."""
    body = b"".join(records)
    return _REPLY.pack(seq, len(records), _REPLY.size + len(body)) + body
