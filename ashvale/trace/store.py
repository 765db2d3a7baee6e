"""Traces on disk: append-only segments of checksummed records, sealed, compressed and indexed when full.

It owns one courier's folder of traces and its bounds in bytes and age. It must never hold more than it was
given, never write a record in part, never believe one whose checksum is wrong, and never fail the courier:
what the disk refuses is `Failed`, and the recorder goes without. Format, byte by byte: docs/design/traces.md.

There is one stream of segments for each rank, so that what goes first goes by removing whole files: samples,
then detail, then the oldest of the rest. What went is counted in `missing`, with the times that it spans.
"""

from __future__ import annotations

import errno
import fcntl
import os
import struct
import zlib
from array import array
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Optional

import msgspec
import xxhash

from ashvale.descriptors import close_descriptor
from ashvale.trace import codec
from ashvale.trace.codec import Damaged, Detail, Message, Record, Texts
from ashvale.trace.model import End
from ashvale.trace.sampling import Rank, first_to_go

RAW, SEALED = b"AVTR\x01\x00\r\n", b"AVTZ\x01\x00\r\n"
FRAME = struct.Struct("<HI")  # length, checksum of the payload
HEAD = struct.Struct("<8sIIQQ")  # magic, length of head and of payload, checksum of each
BLOCK = 512
NOTE = 2 * BLOCK  # the file that says what is missing
SEGMENT_MOST, SEGMENT_LEAST = 64 * 1024, 4096
LEAST_BYTES = 16 * SEGMENT_LEAST  # less cannot hold a segment of each stream and one being sealed
LEVEL = 1  # of compression: a segment takes about a millisecond
STREAMS = {Rank.SAMPLE: "s", Rank.DETAIL: "d", Rank.KEPT: "k"}
RANKS = {letter: rank for rank, letter in STREAMS.items()}


class Failed(Exception):
    """The folder can be written no more."""


class Head(msgspec.Struct, array_like=True):
    """What a sealed segment tells of itself: its index."""

    first: float
    last: float
    size: int
    messages: int
    ends: list[int]
    texts: int
    keys: bytes


class Missing(msgspec.Struct):
    """So many of one kind are not there, from when to when (wall-clock milliseconds)."""

    count: int = 0
    first: float = 0.0
    last: float = 0.0

    def add(self, count: int, first: float, last: float) -> None:
        if count > 0:
            self.first = min(self.first, first) if self.count else first
            self.last, self.count = max(self.last, last), self.count + count


_head = msgspec.msgpack.Decoder(Head)
_missing = msgspec.json.Decoder(dict[str, Missing])


@dataclass
class Segment:
    """A file of one stream; `size` is what it takes of the disk."""

    rank: Rank
    number: int
    path: Path
    size: int
    first: float = 0.0
    last: float = 0.0
    records: int = 0


@dataclass
class Open:
    """The segment of a stream that is being written."""

    segment: Segment
    file: int
    texts: Texts
    length: int


def key(text: str) -> int:
    """An id in the index: 16 bits of its hash."""
    return xxhash.xxh32_intdigest(text.encode("utf-8", "replace")) & 0xFFFF


def blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


def frame(record: Record) -> bytes:
    data = codec.encode(record)
    if len(data) > 0xFFFF:
        raise Damaged("a record of more than 65535 bytes")
    return FRAME.pack(len(data), xxhash.xxh32_intdigest(data)) + data


def frames(data: bytes) -> Iterator[tuple[int, Record]]:
    """The records of a segment's inside with where each ends, up to the first that is torn or damaged."""
    at, view = 0, memoryview(data)
    while at + FRAME.size <= len(data):
        size, check = FRAME.unpack_from(data, at)
        end = at + FRAME.size + size
        payload = view[at + FRAME.size : end]
        if len(payload) != size or xxhash.xxh32_intdigest(payload) != check:
            return
        try:
            record = codec.decode(payload)
        except Damaged:
            return
        yield end, record
        at = end


def seal(data: bytes) -> bytes:
    """A sealed segment with the whole records of a raw one's inside."""
    keys, ends = set[int](), [0] * len(End)
    first, last, count, texts, size = 0.0, 0.0, 0, 0, 0
    for end, record in frames(data):
        size = end
        if isinstance(record, (Message, Detail)):
            keys |= {key(record.trace_id.hex()), key(codec.long(record.id))}
        if isinstance(record, Message):
            stop = record.start + sum(record.spans[1::3]) / codec.UNIT
            first, last = min(first or record.start, record.start), max(last, stop)
            ends[record.end if 0 <= record.end < len(ends) else End.OPEN] += 1
            count += 1
        texts += isinstance(record, codec.Text)
    payload = zlib.compress(data[:size], LEVEL)
    index = array("H", sorted(keys)).tobytes()
    head = msgspec.msgpack.encode(Head(first, last, size, count, ends, texts, index))
    return (
        HEAD.pack(
            SEALED, len(head), len(payload), xxhash.xxh64_intdigest(head), xxhash.xxh64_intdigest(payload)
        )
        + head
        + payload
    )


def read_head(data: bytes) -> Head:
    """The index of a sealed segment, or `Damaged`."""
    if len(data) < HEAD.size:
        raise Damaged("a sealed segment cut short")
    magic, size, _, check, _ = HEAD.unpack_from(data)
    head = data[HEAD.size : HEAD.size + size]
    if magic != SEALED or len(head) != size or xxhash.xxh64_intdigest(head) != check:
        raise Damaged("the head of a sealed segment is damaged")
    try:
        return _head.decode(head)
    except msgspec.MsgspecError as error:
        raise Damaged(str(error)) from None


def inside(data: bytes) -> bytes:
    """The records of a segment, raw or sealed; `Damaged` where nothing of it can be believed."""
    if data[: len(RAW)] == RAW:
        return data[len(RAW) :]
    head = read_head(data)
    _, size, length, _, check = HEAD.unpack_from(data)
    payload = data[HEAD.size + size : HEAD.size + size + length]
    if len(payload) != length or xxhash.xxh64_intdigest(payload) != check:
        raise Damaged("a sealed segment is damaged")
    try:
        found = zlib.decompress(payload, bufsize=max(1, head.size))
    except zlib.error as error:
        raise Damaged(str(error)) from None
    return found


def holds(head: Head, text: str) -> bool:
    """Whether the segment may hold this id; a false yes is as likely as its keys are many."""
    return key(text) in array("H", head.keys)


class Store:
    """The folder of one courier's traces, open for writing by one process at a time."""

    def __init__(self, folder: Path, budget: int, age_ms: float, wall: float) -> None:
        self.folder, self.age_ms = folder, age_ms
        self._limit(budget)
        self.missing: dict[str, Missing] = {}
        self.written = 0  # bytes, sealing included
        self._segments: list[Segment] = []
        self._open: dict[Rank, Open] = {}
        self._lock = self._note = -1
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._recover(wall)
        except OSError as error:
            self.close()
            raise Failed(f"{folder.name}: {error.strerror or error}") from error

    # Writing

    def put(
        self, rank: Rank, wall: float, make: Callable[[Texts], Iterable[Record]], messages: int = 1
    ) -> None:
        """Append what `make` returns for the texts of the segment at hand, whole or not at all."""
        try:
            self._put(rank, wall, make, messages)
        except Damaged:  # a record that is too large for the form
            self._abandon(rank)
            self.miss("untraced", messages, wall, wall)
        except OSError as error:
            self._abandon(rank)
            if error.errno not in (errno.ENOSPC, errno.EDQUOT):
                raise Failed(str(error.strerror or error)) from error
            try:  # somebody else fills the disk: make do with half of what is held, once
                self._limit(self.used // 2)
                self._make_room(0)
                self._put(rank, wall, make, messages)
            except OSError as again:
                raise Failed(str(again.strerror or again)) from again

    def _put(self, rank: Rank, wall: float, make: Callable[[Texts], Iterable[Record]], messages: int) -> None:
        current = self._open.get(rank)
        if current is not None and current.texts.full:
            self._seal(rank)
            current = None
        data, texts = self._framed(current.texts if current else Texts(), make)
        if current is not None and current.length + len(data) > self.segment_most:
            self._seal(rank)
            data, texts = self._framed(Texts(), make)
            current = None
        if current is None:
            current = self._begin(rank, wall)
        self._make_room(len(data))
        if self._open.get(rank) is not current:  # it was so old that it had to go
            current = self._begin(rank, wall)
            data, texts = self._framed(Texts(), make)
        try:
            if os.write(current.file, data) != len(data):
                raise OSError(errno.ENOSPC, "written in part")
        except OSError:
            os.ftruncate(current.file, current.length)
            raise
        current.texts = texts
        current.length += len(data)
        self.written += len(data)
        segment = current.segment
        segment.size, segment.last = blocks(current.length), max(segment.last, wall)
        segment.records += messages

    def _abandon(self, rank: Rank) -> None:
        """Write no more to a segment whose texts may not all be in it; what is there stays readable."""
        if (current := self._open.pop(rank, None)) is not None:
            close_descriptor(current.file)

    @staticmethod
    def _framed(known: Texts, make: Callable[[Texts], Iterable[Record]]) -> tuple[bytes, Texts]:
        known.fresh = []
        records = b"".join(map(frame, make(known)))  # which names texts, and so makes some fresh
        return b"".join(map(frame, known.fresh)) + records, known

    def _begin(self, rank: Rank, wall: float) -> Open:
        number = 1 + max((s.number for s in self._segments), default=0)
        path = self.folder / f"{STREAMS[rank]}-{number:08d}.raw"
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o600)
        segment = Segment(rank, number, path, BLOCK, wall, wall)
        made = self._open[rank] = Open(segment, file, Texts(), len(RAW))
        self._segments.append(segment)
        os.write(file, RAW)
        return made

    def _seal(self, rank: Rank) -> None:
        """Close the segment being written, compressed and indexed, under its own number."""
        current = self._open.pop(rank)
        close_descriptor(current.file)
        self._sealed(current.segment, current.segment.path.read_bytes()[len(RAW) :])

    def _sealed(self, segment: Segment, data: bytes) -> None:
        raw = segment.path
        sealed = seal(data)
        self._make_room(len(sealed))
        if segment not in self._segments:  # it was so old that it had to go
            return
        new, path = self.folder / "new", raw.with_suffix(".seg")
        with open(new, "wb", buffering=0) as file:
            file.write(sealed)
        os.replace(new, path)
        raw.unlink(missing_ok=True)
        self.written += len(sealed)
        segment.path, segment.size = path, blocks(len(sealed))

    # Room

    def _limit(self, budget: int) -> None:
        self.budget = max(budget, LEAST_BYTES)
        self.segment_most = max(SEGMENT_LEAST, min(SEGMENT_MOST, self.budget // 16))

    @property
    def used(self) -> int:
        return sum(s.size for s in self._segments) + NOTE

    def _make_room(self, wanted: int) -> None:
        """Remove whole segments by rank until this and the sealing of one segment fit."""
        slack = blocks(wanted) + self.segment_most + BLOCK
        while self.used + slack > self.budget and self._segments:
            sizes = {rank: sum(s.size for s in self._segments if s.rank is rank) for rank in STREAMS}
            rank = first_to_go(sizes)
            victim = next((s for s in self._segments if s.rank is rank), None)
            if victim is None:
                return
            self._remove(victim, victim.rank.name.lower())

    def _remove(self, segment: Segment, what: str) -> None:
        current = self._open.get(segment.rank)
        if current is not None and current.segment is segment:
            self._abandon(segment.rank)
        self._segments.remove(segment)
        segment.path.unlink(missing_ok=True)
        self.miss(what, segment.records, segment.first, segment.last)
        self._write_missing()

    def tidy(self, wall: float) -> None:
        """Remove what is too old; call it now and then."""
        try:
            for segment in [s for s in self._segments if s.last < wall - self.age_ms]:
                self._remove(segment, "aged")
            self._write_missing()
            if not self.folder.exists():
                raise OSError(errno.ENOENT, "the folder is gone")
        except OSError as error:
            raise Failed(str(error.strerror or error)) from error

    def miss(self, what: str, count: int, first: float, last: float) -> None:
        """Count what is not there: traces removed, spans shed, messages without a trace."""
        self.missing.setdefault(what, Missing()).add(count, first, last)

    def _write_missing(self) -> None:
        """In place and of one size: some file systems take 50 ms to rename a file over another."""
        if self._note < 0:
            self._note = os.open(self.folder / "missing", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        os.pwrite(self._note, msgspec.json.encode(self.missing).ljust(NOTE), 0)

    # Start and end

    def _recover(self, wall: float) -> None:
        """Take stock of what an earlier life left: seal what it was writing, drop what cannot be read."""
        (self.folder / "new").unlink(missing_ok=True)
        self.missing = read_missing(self.folder)
        found = sorted(listed(self.folder), key=lambda s: s.number)
        for segment in found:
            if segment.path.suffix == ".raw" and segment.path.with_suffix(".seg").exists():
                segment.path.unlink()  # its sealing was complete, its removal was not
                continue
            self._segments.append(segment)
        for segment in list(self._segments):
            try:
                data = segment.path.read_bytes()
                if segment.path.suffix == ".raw":
                    whole = inside(data)
                    self._sealed(segment, whole)
                    if segment not in self._segments:
                        continue
                    data = segment.path.read_bytes()
                    head = read_head(data)
                    if head.size < len(whole):
                        self.miss("torn", 1, head.first or wall, head.last or wall)
                else:
                    head = read_head(data)
            except Damaged:
                self._segments.remove(segment)
                segment.path.unlink(missing_ok=True)
                self.miss("torn", 1, wall, wall)
                continue
            segment.first, segment.last = head.first, head.last
            if segment.rank is Rank.DETAIL:  # it holds no messages of its own: as old as its file
                segment.first = segment.last = segment.path.stat().st_mtime * 1000.0
            segment.records = head.messages
        self._make_room(0)

    def flush(self) -> None:
        """Write down what is missing so far."""
        try:
            self._write_missing()
        except OSError as error:
            raise Failed(str(error.strerror or error)) from error

    def close(self) -> None:
        """Leave the segments as a kill would; the next start seals them."""
        for current in self._open.values():
            close_descriptor(current.file)
        self._open.clear()
        files, self._lock, self._note = (self._lock, self._note), -1, -1
        for file in files:
            if file >= 0:
                close_descriptor(file)


def listed(folder: Path) -> list[Segment]:
    """The segments in one courier's folder, as far as their names tell."""
    found = []
    for path in folder.iterdir():
        letter, _, number = path.stem.partition("-")
        if letter in RANKS and number.isdigit() and path.suffix in (".raw", ".seg"):
            try:
                size = path.stat().st_size
            except FileNotFoundError:  # it was just sealed or removed
                continue
            found.append(Segment(RANKS[letter], int(number), path, blocks(size)))
    return found


def read_missing(folder: Path) -> dict[str, Missing]:
    """What the folder says is missing; nothing where it says nothing that can be read."""
    try:
        return _missing.decode((folder / "missing").read_bytes())
    except (OSError, msgspec.MsgspecError):
        return {}


def read(path: Path) -> Optional[bytes]:
    """A segment's inside while its courier may be writing: None where it is gone or damaged."""
    for candidate in (path, path.with_suffix(".seg")):  # it may be sealed between the listing and the reading
        try:
            return inside(candidate.read_bytes())
        except FileNotFoundError:
            continue
        except (Damaged, OSError):
            return None
    return None
