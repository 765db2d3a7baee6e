"""Reading traces back: from any number of couriers' folders, also while these write.

It owns the joining of records: texts and causes of a segment, detail of another stream, and a message that
two lives of a courier have written, which counts once. It must never write, never believe what is damaged,
and never stop at it: what could not be read is counted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cached_property
from pathlib import Path
from typing import Optional

from ashvale.trace import codec, store
from ashvale.trace.codec import CauseNote, Damaged, Detail, Message, Text
from ashvale.trace.context import Context
from ashvale.trace.model import Attempt, End, Kind, Reason, Span
from ashvale.trace.sampling import Cause, Rank, went_wrong
from ashvale.trace.store import Missing, Segment


@dataclass
class Trace:
    """One message as it was traced; times are wall-clock milliseconds, durations milliseconds."""

    courier: str
    rank: Rank
    record: Message
    texts: list[str]
    cause: Optional[Cause] = None
    detail: Optional[list[int]] = None

    @property
    def trace_id(self) -> str:
        return self.record.trace_id.hex()

    @cached_property
    def id(self) -> str:
        return codec.long(self.record.id)

    def _text(self, number: int) -> str:
        return codec.text_at(self.texts, number) or "?"

    @property
    def front(self) -> str:
        return self._text(self.record.front)

    @property
    def cls(self) -> str:
        return self._text(self.record.cls)

    @property
    def dest(self) -> str:
        return self._text(self.record.dest)

    @property
    def tenant(self) -> str:
        return self._text(self.record.tenant)

    @property
    def why(self) -> str:
        """Why it was turned away at the door; empty where it was not."""
        return self._text(self.record.why - 1) if self.record.why else ""

    @property
    def end(self) -> End:
        return codec.end_of(self.record)

    @property
    def start(self) -> float:
        return self.record.start

    @cached_property
    def total(self) -> float:
        return sum(self.record.spans[1::3]) / codec.UNIT

    @property
    def late(self) -> float:
        """By how much a delivery missed the wanted time; nought or less where it did not."""
        return self.total - self.record.aim if self.end is End.DELIVERED else 0.0

    @property
    def outcome(self) -> str:
        return "late" if self.end is End.DELIVERED and self.late > 0 else self.end.name.lower()

    @property
    def wrong(self) -> bool:
        return went_wrong(self.end, self.late)

    @cached_property
    def spans(self) -> list[Span]:
        return codec.unpack_spans(self.record.spans)

    @cached_property
    def attempts(self) -> list[Attempt]:
        found = codec.unpack_attempts(self.record.attempts, self.texts)
        if self.detail:
            codec.add_detail(found, self.detail)
        return found

    @property
    def context(self) -> Context:
        return Context(self.trace_id, self.record.parent.hex())

    def flag(self, which: int) -> bool:
        return bool(self.record.flags & which)

    def label(self, span: Span) -> str:
        """What a span is, in a word or two."""
        if span.kind is Kind.ATTEMPT:
            return (
                f"attempt {self.attempts[span.ref].endpoint}"
                if 0 <= span.ref < len(self.attempts)
                else "attempt"
            )
        return label(span.kind, span.reason)


def label(kind: Kind, reason: Reason) -> str:
    if kind is Kind.WAIT:
        return "wait " + reason.name.lower().replace("_", "-")
    return kind.name.lower()


@dataclass
class Stock:
    """What a reading met besides traces."""

    damaged: int = 0
    missing: dict[str, Missing] = field(default_factory=dict)

    def count(self, folder: Path) -> None:
        """Add what one courier's folder says is missing."""
        for what, missing in store.read_missing(folder).items():
            self.missing.setdefault(what, Missing()).add(missing.count, missing.first, missing.last)


def couriers(root: Path) -> list[Path]:
    """The couriers' folders under the folder that the settings name, or that folder itself."""
    if not root.is_dir():
        raise FileNotFoundError(f"no folder of traces: {root}")
    return sorted(p for p in root.iterdir() if p.is_dir() and store.listed(p)) + (
        [root] if store.listed(root) else []
    )


def read_all(
    root: Path,
    stock: Stock,
    since: float = 0.0,
    until: float = float("inf"),
    id: Optional[str] = None,
    details: bool = True,
) -> Iterator[Trace]:
    """All traces that began within these times, each once; with `id` only those of this trace or message."""
    for folder in couriers(root):
        stock.count(folder)
        yield from _courier(folder, stock, since, until, id, details)


def _courier(
    folder: Path, stock: Stock, since: float, until: float, id: Optional[str], details: bool
) -> Iterator[Trace]:
    segments = sorted(store.listed(folder), key=lambda s: s.number)
    known: dict[bytes, list[int]] = {}
    for segment in segments if details else ():
        if segment.rank is Rank.DETAIL and (data := _data(segment, stock, 0.0, float("inf"), id)):
            for _, record in store.frames(data):
                if isinstance(record, Detail) and (id is None or _is(record, id)):
                    known[_key(record)] = record.numbers
    seen: set[int] = set()
    for segment in segments:
        if segment.rank is Rank.DETAIL or (data := _data(segment, stock, since, until, id)) is None:
            continue
        yield from _segment(folder.name, segment, data, known, seen, since, until, id)


def _segment(
    courier: str,
    segment: Segment,
    data: bytes,
    known: dict[bytes, list[int]],
    seen: set[int],
    since: float,
    until: float,
    id: Optional[str],
) -> Iterator[Trace]:
    texts: list[str] = []
    causes: dict[int, Cause] = {}
    held: Optional[Trace] = None
    for _, record in store.frames(data):
        if isinstance(record, Text):
            texts.append(record.text)
        elif isinstance(record, CauseNote):
            try:
                causes[record.number] = Cause(
                    codec.text_at(texts, record.dest) or "?",
                    Kind(record.kind),
                    Reason(record.reason),
                    codec.text_at(texts, record.endpoint) or "",
                )
            except ValueError:
                continue  # a kind of a later version
        elif isinstance(record, Message):
            if held is not None:
                yield held
                held = None
            if not since <= record.start < until or (id is not None and not _is(record, id)):
                continue
            where = hash(_key(record))
            if where in seen:  # two lives of the courier, or a removal cut short, have written it
                continue
            seen.add(where)
            held = Trace(
                courier, segment.rank, record, texts, causes.get(record.cause), known.pop(_key(record), None)
            )
        elif isinstance(record, Detail) and held is not None and _key(record) == _key(held.record):
            held.detail = record.numbers
    if held is not None:
        yield held


def _data(segment: Segment, stock: Stock, since: float, until: float, id: Optional[str]) -> Optional[bytes]:
    """The records of a segment, unless its index says that it holds nothing wanted."""
    try:
        if segment.path.suffix == ".seg":
            with open(segment.path, "rb") as file:
                start = file.read(store.HEAD.size)
                size = store.HEAD.unpack(start)[1] if len(start) == store.HEAD.size else 0
                head = store.read_head(start + file.read(size))
            outside = head.messages and (head.last < since or head.first >= until)
            if outside or (id is not None and not store.holds(head, id)):
                return None
    except FileNotFoundError:
        return None  # it had to make room meanwhile
    except (Damaged, OSError):
        stock.damaged += 1
        return None
    data = store.read(segment.path)
    stock.damaged += data is None and segment.path.exists()
    return data


def _key(record: Message | Detail) -> bytes:
    return record.trace_id + record.id


def _is(record: Message | Detail, id: str) -> bool:
    return id in (record.trace_id.hex(), codec.long(record.id))


def follow(root: Path, pause: Callable[[], bool]) -> Iterator[Trace]:
    """Traces as they are written, from now on; `pause` waits and says whether to go on."""
    counts = {key: count for key, count, _ in _numbered(root)}
    while pause():
        for key, count, found in _numbered(root):
            before = counts.get(key, 0)
            counts[key] = count
            yield from found[before:]


def _numbered(root: Path) -> Iterator[tuple[tuple[str, str], int, list[Trace]]]:
    for folder in couriers(root):
        for segment in sorted(store.listed(folder), key=lambda s: s.number):
            if segment.rank is not Rank.DETAIL and (data := store.read(segment.path)) is not None:
                inf = float("inf")
                found = list(_segment(folder.name, segment, data, {}, set(), 0.0, inf, None))
                yield (folder.name, segment.path.stem), len(found), found


@dataclass
class Shelf:
    """What one courier's folder holds, as far as names and indexes tell it."""

    courier: str
    rank: Rank
    segments: int = 0
    size: int = 0
    messages: int = 0  # in sealed segments
    ends: dict[str, int] = field(default_factory=dict)
    first: float = 0.0
    last: float = 0.0


def shelves(root: Path) -> list[Shelf]:
    """A folder's contents without reading what is inside the segments."""
    found: list[Shelf] = []
    for folder in couriers(root):
        made = {rank: Shelf(folder.name, rank) for rank in store.STREAMS}
        for segment in store.listed(folder):
            shelf = made[segment.rank]
            shelf.segments, shelf.size = shelf.segments + 1, shelf.size + segment.size
            try:
                head = store.read_head(segment.path.read_bytes()) if segment.path.suffix == ".seg" else None
            except (Damaged, OSError):
                continue
            if head is None or not head.messages:
                continue
            shelf.messages += head.messages
            shelf.first = min(shelf.first or head.first, head.first)
            shelf.last = max(shelf.last, head.last)
            for at, count in enumerate(head.ends[: len(End)]):
                if count:
                    shelf.ends[End(at).name.lower()] = shelf.ends.get(End(at).name.lower(), 0) + count
        found += [shelf for shelf in made.values() if shelf.segments]
    return found
