"""The compact binary form of traces: MessagePack arrays by msgspec, with texts written once for each segment.

It owns the records and their fields' order. It must never raise anything but `Damaged` on what it reads, and
never let one segment's texts depend on another's: each can be read, or go, alone. Spans are flat lists of
whole numbers; durations are tenths of a millisecond, and the running sum is rounded, not each span, so that a
trace adds up to its message's life to the last digit.
"""

from __future__ import annotations

from typing import Optional, Union

import msgspec

from ashvale.trace.model import OUTCOMES, Attempt, End, Span, joined, split

UNIT = 10.0  # parts of a millisecond
TEXTS_MOST = 4096  # texts of one segment


class Damaged(Exception):
    """Bytes that are no record."""


class Text(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """A text that records of this segment name by number."""

    number: int
    text: str


class CauseNote(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A cause that messages of this segment share, recorded once; texts by number."""

    number: int
    dest: int
    kind: int
    reason: int
    endpoint: int


class Message(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """One message with all its spans. `start` is wall-clock milliseconds; `aim` and `limit` count from it."""

    trace_id: bytes
    id: bytes
    front: int
    cls: int
    dest: int
    tenant: int
    end: int
    cause: int
    start: float
    aim: int
    limit: int
    after: int
    spans: list[int]
    attempts: list[int]
    parent: bytes = b""
    flags: int = 0
    shed: int = 0
    why: int = 0  # text of a refusal at the door, plus one


class Detail(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """What goes beyond a message's spans: for each attempt six whole numbers, as `DETAILS` names them."""

    trace_id: bytes
    id: bytes
    numbers: list[int]


Record = Union[Text, CauseNote, Message, Detail]
DETAILS = ("reused", "connected", "written", "first", "told", "obeyed")
FRONT_UNKNOWN, RESUMED, CLOCK_STEPPED, SLOW, SAMPLED = 1, 2, 4, 8, 16
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    return _encoder.encode(record)


def decode(data: Union[bytes, memoryview]) -> Record:
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise Damaged(f"no record ({error})") from None


def short(id: str) -> bytes:
    """An id of lower-case hexadecimal digits at half its length behind a nought, any other as it is."""
    try:
        data = bytes.fromhex(id)
    except ValueError:
        data = b""
    return b"\0" + data if data and data.hex() == id else id.encode("utf-8", "replace")


def long(id: bytes) -> str:
    return id[1:].hex() if id.startswith(b"\0") else id.decode("utf-8", "replace")


class Texts:
    """Numbers the texts and causes of one segment by first use; `fresh` are those still to be written."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._causes: dict[tuple[str, int, int, str], int] = {}
        self.fresh: list[Record] = []

    def number(self, text: str) -> int:
        found = self._numbers.get(text)
        if found is None:
            found = self._numbers[text] = len(self._numbers)
            self.fresh.append(Text(found, text))
        return found

    def cause(self, dest: str, kind: int, reason: int, endpoint: str) -> int:
        """The number of a cause, from 1."""
        key = dest, kind, reason, endpoint
        if (found := self._causes.get(key)) is None:
            names = self.number(dest), self.number(endpoint)
            found = self._causes[key] = len(self._causes) + 1
            self.fresh.append(CauseNote(found, names[0], kind, reason, names[1]))
        return found

    @property
    def full(self) -> bool:
        return len(self._numbers) + len(self._causes) >= TEXTS_MOST


def pack_spans(spans: list[Span]) -> list[int]:
    """Three numbers a span: kind and reason in one, tenths of a millisecond, attempt's place plus one."""
    out: list[int] = []
    exact, told = 0.0, 0
    for span in spans:
        exact += span.ms * UNIT
        length = max(0, round(exact) - told)
        told += length
        out += (joined(span.kind, span.reason), length, span.ref + 1)
    return out


def unpack_spans(numbers: list[int]) -> list[Span]:
    if len(numbers) % 3:
        raise Damaged("spans of odd length")
    try:
        return [
            Span(*split(what), length / UNIT, ref - 1)
            for what, length, ref in zip(numbers[::3], numbers[1::3], numbers[2::3], strict=True)
        ]
    except ValueError as error:
        raise Damaged(str(error)) from None


def pack_attempts(attempts: list[Attempt], texts: Texts) -> list[int]:
    """Four numbers an attempt: number, endpoint, outcome and whether of an earlier life, members."""
    out: list[int] = []
    for a in attempts:
        outcome = OUTCOMES.index(a.outcome) if a.outcome in OUTCOMES else 0
        out += (a.number, texts.number(a.endpoint), outcome * 2 + a.earlier, a.members)
    return out


def unpack_attempts(numbers: list[int], texts: list[str]) -> list[Attempt]:
    if len(numbers) % 4:
        raise Damaged("attempts of odd length")
    try:
        return [
            Attempt(
                numbers[i],
                texts[numbers[i + 1]],
                OUTCOMES[numbers[i + 2] // 2],
                members=numbers[i + 3],
                earlier=bool(numbers[i + 2] % 2),
            )
            for i in range(0, len(numbers), 4)
        ]
    except IndexError:
        raise Damaged("an attempt names what is not there") from None


def pack_detail(attempts: list[Attempt]) -> list[int]:
    out: list[int] = []
    for a in attempts:
        out.append(int(a.reused))
        out += (round(value * UNIT) for value in (a.connected, a.written, a.first, a.told, a.obeyed))
    return out


def add_detail(attempts: list[Attempt], numbers: list[int]) -> None:
    """Fill in what a detail record tells."""
    for at, attempt in enumerate(attempts[: len(numbers) // 6]):
        reused, *rest = numbers[6 * at : 6 * at + 6]
        attempt.reused = bool(reused)
        attempt.connected, attempt.written, attempt.first, attempt.told, attempt.obeyed = (
            value / UNIT for value in rest
        )


def end_of(record: Message) -> End:
    try:
        return End(record.end)
    except ValueError:
        raise Damaged(f"no end {record.end}") from None


def text_at(texts: list[str], number: int) -> Optional[str]:
    return texts[number] if 0 <= number < len(texts) else None
