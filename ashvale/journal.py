"""What the courier has taken on, in one append-only file that outlasts its process.

It owns the file and the entries that live in it, and says when there is no room. It must never decide what
becomes of a message, never write beyond its share of the disk, and never fail on what an ended process left:
a torn end is cut off, whatever came before it counts.

A record is a kind, a length, a checksum and a payload. `TAKEN` holds an entry whole; the others name an entry
by number. Where a message is traced, what its trace needs after a restart stands behind what the record holds
anyway, so that tracing costs no write of its own. Rewriting puts the live entries into a new file that then
takes the old one's name, so the room for
both is kept free. Times in the file are wall-clock milliseconds, since no other clock survives a restart.
"""

from __future__ import annotations

import errno
import fcntl
import json
import logging
import os
import struct
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Optional

from ashvale.descriptors import close_descriptor
from ashvale.log import failed_calls

_HEAD = struct.Struct("<BII")  # kind, length, checksum
_STARTED = struct.Struct("<QdH")  # number, time, zone
_OUTCOME = struct.Struct("<Q?")  # number, proven not to have run
_DECIDED = struct.Struct("<Qdd")  # number, advice, keep until; then the state's name
_ENDED = struct.Struct("<Q")
_TRACED = struct.Struct("<dBf")  # behind an outcome, where traced: time, its number, told wait
_SPENT = struct.Struct("<Q")
TAKEN, STARTED, OUTCOME, DECIDED, ENDED, SPENT = range(1, 7)

RESERVE = 640  # room kept for what is still to be written about an entry: eight attempts and its end
TRACED_RESERVE = 1280  # and for what a traced message's history adds to that
NAME_MOST, HISTORY_MOST = 60, 24  # bytes of an endpoint's name in the history, and its lines
_BLOCK = 512  # files are counted in whole blocks
REWRITE_LARGE = 64 * 1024  # bytes from which a file takes long enough to hold service up
REWRITE_AGAIN_MS = 100.0  # pause before such a file is written again that could not be
_MARGIN = 32 * 1024  # kept free of the disk's limit
log = logging.getLogger(__name__)


def _monotonic() -> float:
    return time.monotonic() * 1000.0


class Full(Exception):
    """There is no room for another message."""


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


class Disk:
    """The file system; what stands in for it has the same calls. All may raise `OSError`."""

    def read(self, path: Path) -> tuple[bytes, Optional[float]]:
        """A file's content, and when it was last written (wall-clock seconds); none where there is none."""
        try:
            return path.read_bytes(), path.stat().st_mtime
        except FileNotFoundError:
            return b"", None

    def create(self, path: Path) -> int:
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)

    def write(self, file: int, data: memoryview) -> int:
        return os.write(file, data)

    def truncate(self, file: int, size: int) -> None:
        os.ftruncate(file, size)

    def replace(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def __init__(self) -> None:
        self._locks: dict[Path, int] = {}  # the descriptors that hold locks; closing one would let go

    def lock(self, path: Path) -> bool:
        """Hold a lock on `path` until `unlock` or the process' end; False where another holder has it.

        It is `flock`: it belongs to the open file, so that no other close in this process lets go of it, and
        the kernel frees it when the process ends, a kill included. Any other failure raises `OSError`: guards
        the journal against two writers that each believe it theirs, as on a full descriptor table or a
        read-only folder. ENOSYS alone says that a platform has no locks, and so no second process either.
        """
        file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.close(file)
            if error.errno not in (errno.EWOULDBLOCK, errno.ENOSYS):
                raise
            return error.errno == errno.ENOSYS
        self._locks[path] = file
        return True

    def unlock(self, path: Path) -> None:
        if (file := self._locks.pop(path, None)) is not None:
            self.close(file)

    def close(self, file: int) -> None:
        close_descriptor(file)


class Journal:
    """The file and its live entries.

    What could not be written leaves the file whole or marked: the next write begins by cutting half a record
    off, or by putting a new file in its place. What has come about all the same (`outcome`, `decided`,
    `ended`) is kept and written before anything else.
    """

    def __init__(
        self,
        folder: Path,
        room: int,
        now: Optional[float] = None,
        disk: Optional[Disk] = None,
        clock: Callable[[], float] = _monotonic,
    ) -> None:
        """Read what `folder` holds and go on in it; `now` is wall-clock, `clock` monotonic milliseconds.

        Raises `OSError` where the folder cannot be read or locked, and `Full` where two others write it.
        Where it cannot be written, what it holds counts, and the first write that succeeds makes up for it.
        """
        self._now = time.time() * 1000.0 if now is None else now
        self._disk = disk or Disk()
        self._main, self._aside = folder / "journal", folder / "journal.next"
        self._lock, self._aside_lock = folder / "journal.lock", folder / "journal.next.lock"
        self.limit(room)
        self.entries: dict[int, Entry] = {}
        self._sizes: dict[int, int] = {}
        self._live = 0
        self._next = 1
        self._file = -1  # none: the next write begins with a new file
        self._size = 0
        self._clock, self._rewrite_after = clock, 0.0
        self._closed = False
        self._torn = False  # the file may end in half a record, behind `_size`
        self._unwritten: list[bytes] = []  # records of what has come about, which the file lacks
        self._joined: Optional[Path] = None  # a file whose entries are ours, and which is still to be removed
        self._path = self._main
        try:
            self._take_over()
        except (Full, OSError):
            self.close()
            raise
        try:
            self._make_ready()
        except OSError as error:
            log.error("journal not written", extra={"why": str(error)})

    def _take_over(self) -> None:
        """Lock and read what an ended process left, or a place beside one that still runs.

        Guards against two writers of one file in an upgrade: whoever holds `journal.lock` writes `journal`;
        a second process writes `journal.next` until the first has ended, and then adopts what it left.
        """
        self.waiting = not self._disk.lock(self._lock)
        tries = 0
        while self.waiting and not self._disk.lock(self._aside_lock):
            if (tries := tries + 1) > 5:
                raise Full("two other processes write the journal's folder")
            time.sleep(0.01)  # guards a start against the moment in which the other one looks for us
        self._path = self._aside if self.waiting else self._main
        for entry, size in self._load(self._path):
            self._next = max(self._next, entry.number + 1)
            self._add(entry, size)
        if not self.waiting and self._disk.lock(self._aside_lock):
            self._absorb(self._aside)  # what a newcomer wrote that ended before the old process did
            self._joined = self._aside

    @property
    def _new(self) -> Path:
        return self._path.with_name(self._path.name + ".new")

    @property
    def succeeded(self) -> bool:
        """True where another process surely writes beside this one, and takes over what it leaves."""
        try:
            return self._beside()
        except OSError:  # nobody can be told; then nobody counts on it
            return False

    @property
    def alone(self) -> bool:
        """True where surely no other process writes in the folder."""
        try:
            return not (self.waiting or self._beside())
        except OSError as error:
            failed_calls.note("flock", error)
            return False

    def _beside(self) -> bool:
        """Whether a newcomer writes beside this process; raises `OSError` where that cannot be found out."""
        if self.waiting or self._joined is not None:  # in the second case the newcomer's lock is ours
            return False
        if not self._disk.lock(self._aside_lock):
            return True
        self._disk.unlock(self._aside_lock)
        return False

    def adopt(self) -> list[Entry]:
        """Once the process that wrote `journal` has ended, take over what it still owes; those entries.

        Where they cannot be written to one file at once, both files stay as they are until they can: nothing
        else is written before.
        """
        try:
            if not self.waiting or not self._disk.lock(self._lock):
                return []
            taken = self._absorb(self._main)
        except OSError as error:  # for want of a descriptor, say: it is asked again
            log.error("journal not adopted yet", extra={"why": str(error)})
            self._disk.unlock(self._lock)
            return []
        self.waiting, self._joined, self._path = False, self._path, self._main
        self._leave_file()
        try:
            self._make_ready()
        except OSError as error:
            log.error("journal not written", extra={"why": str(error)})
        return taken

    def _absorb(self, path: Path) -> list[Entry]:
        """Take entries of another file under new numbers; an id already here is newer."""
        ids = {(entry.front, entry.id) for entry in self.entries.values()}
        taken = [(entry, size) for entry, size in self._load(path) if (entry.front, entry.id) not in ids]
        for entry, size in taken:
            entry.number, self._next = self._next, self._next + 1
            self._add(entry, size)
        return [entry for entry, _ in taken]

    def limit(self, room: int) -> None:
        """Keep within so many bytes of the disk."""
        self._budget = room - _MARGIN - 2 * _BLOCK

    # What is written

    def take(self, entry: Entry) -> None:
        """Write down a message and number it, or raise `Full`."""
        entry.number = self._next
        record = _frame(TAKEN, entry.pack())
        if 2 * (self._live + len(record) + _reserve(entry)) > self._budget:
            raise Full(f"the journal holds {len(self.entries)} messages and has room for no more")
        self._append(record)
        self._next += 1
        self._add(entry, len(record))

    def started(self, entries: list[Entry], at: float, zone: int, endpoint: str = "") -> None:
        """Write down that an attempt begins, before it does, or raise `Full`.

        And where it begins, for messages that are traced.
        """
        name = endpoint.encode()[:NAME_MOST]
        heads = ((_STARTED.pack(entry.number, at, zone), entry.trace) for entry in entries)
        self._append(b"".join(_frame(STARTED, head + name if traced else head) for head, traced in heads))
        for entry in entries:
            entry.started(at, zone, name.decode("utf-8", "ignore"))

    def outcome(
        self, entry: Entry, never_ran: bool, at: float = 0.0, number: int = 0, told: float = 0.0
    ) -> None:
        """Write down how an attempt ended; `at`, the outcome's `number` and `told` for traced messages.

        Like `decided` and `ended` it counts at once; `Full` says that the file learns of it later.
        """
        more = _TRACED.pack(at, number, told) if entry.trace else b""
        entry.outcome(never_ran, at, number if entry.trace else 0, told)
        self._append_or_keep(_frame(OUTCOME, _OUTCOME.pack(entry.number, never_ran) + more))

    def spent(self, entry: Entry) -> None:
        """Write down that no further attempt may be made for a message; like `outcome` it counts at once."""
        entry.spent = True
        self._append_or_keep(_frame(SPENT, _SPENT.pack(entry.number)))

    def decided(self, entry: Entry, state: str, after_ms: float, keep_until: float = 0.0) -> None:
        """Write down how a message ends, before anybody is told."""
        entry.state, entry.after_ms, entry.keep_until = state, after_ms, keep_until
        head = _DECIDED.pack(entry.number, after_ms, keep_until)
        self._append_or_keep(_frame(DECIDED, head + state.encode()))

    def ended(self, entry: Entry) -> None:
        """Nothing more is owed for a message, nor remembered of it."""
        if self.entries.pop(entry.number, None):
            self._live -= self._sizes.pop(entry.number)
            self._append_or_keep(_frame(ENDED, _ENDED.pack(entry.number)))

    @property
    def behind(self) -> bool:
        """True while the file lacks something that has come about."""
        return bool(self._unwritten)

    def catch_up(self) -> None:
        """Write what the file lacks, or raise `Full`."""
        if self._unwritten:
            self._append(b"")

    def shorten(self, entry: Entry) -> None:
        """Keep only the outcome: the body of a message that is over is not needed any more."""
        if self.entries.get(entry.number) is entry:
            self._live -= len(entry.body)
            self._sizes[entry.number] -= len(entry.body)
            entry.body = b""

    # The file

    def _add(self, entry: Entry, size: int) -> None:
        self.entries[entry.number] = entry
        self._sizes[entry.number] = size + _reserve(entry)
        self._live += size + _reserve(entry)

    def _append(self, data: bytes) -> None:
        """Append whole records, behind those that the file still lacks; or nothing, and raise `Full`."""
        if self._closed:  # the folder may be another process's by now
            raise Full("the journal is closed")
        try:
            self._make_ready()
            self._room(sum(map(len, self._unwritten)) + len(data))
            data = b"".join([*self._unwritten, data])
            self._torn = True
            self._write_all(self._file, data)
        except OSError as error:
            self._cut_off()
            raise Full(f"the journal cannot be written: {error}") from error
        self._torn = False
        self._size += len(data)
        if self._unwritten:
            log.info("journal written again", extra={"records": len(self._unwritten)})
            self._unwritten = []

    def _append_or_keep(self, data: bytes) -> None:
        """Append a record, or keep it for later and raise `Full`."""
        try:
            self._append(data)
        except Full as error:
            if not self._unwritten:
                log.error("journal not written", extra={"why": str(error)})
            self._unwritten.append(data)
            raise

    def _make_ready(self) -> None:
        """Have a file that records may be appended to, or raise `OSError`."""
        if self._torn:
            self._cut_off()
        if self._torn or self._file < 0:
            self._rewrite()
        if self._joined is not None:
            # Guards against entries that come back: what ends from here on is still owed in that file.
            self._disk.remove(self._joined)
            self._joined = None
            self._disk.unlock(self._aside_lock)  # free for the next upgrade's newcomer

    def _cut_off(self) -> None:
        """Cut off what a failed write left: half a record would hide all that follow it."""
        if not self._torn or self._file < 0:
            return
        try:
            self._disk.truncate(self._file, self._size)
            self._torn = False
        except OSError as error:
            log.error("half a record not cut off", extra={"at": self._size, "why": str(error)})

    def _room(self, wanted: int) -> None:
        """Guards the disk limit: old and new file must fit together when the journal is next rewritten."""
        if self._size + wanted + self._live > self._budget:
            self._rewrite()

    def _rewrite(self) -> None:
        """Put a new file with the live entries in the place of the old one, or raise `OSError`."""
        if self._clock() < self._rewrite_after:
            raise OSError(errno.EAGAIN, "a large file could not be written a moment ago")
        if self._live > REWRITE_LARGE:
            self._rewrite_after = self._clock() + REWRITE_AGAIN_MS
        file = self._disk.create(self._new)
        try:
            data = b"".join(map(_snapshot, self.entries.values()))
            size = self._write_all(file, data)
        except OSError:
            self._disk.close(file)
            self._remove_new()
            raise
        self._leave_file()  # whichever of the two has the name then, the next write begins with another one
        try:
            self._disk.replace(self._new, self._path)
        except OSError:
            self._disk.close(file)
            raise
        self._file, self._size, self._torn, self._unwritten = file, size, False, []
        self._rewrite_after = 0.0

    def _remove_new(self) -> None:
        """Give the room back that an unfinished file takes; another one takes its place in any case."""
        try:
            self._disk.remove(self._new)
        except OSError as error:
            failed_calls.note("unlink", error)

    def _leave_file(self) -> None:
        """Write no more to the file at hand; another one comes in its place."""
        if self._file >= 0:
            old, self._file = self._file, -1
            self._disk.close(old)

    def _load(self, path: Path) -> list[tuple[Entry, int]]:
        """The live entries of one file, as its writer left them, each with the size of its record."""
        data, written = self._disk.read(path)
        left = (written or 0.0) * 1000.0
        entries: dict[int, tuple[Entry, int]] = {}
        at = 0
        while at + _HEAD.size <= len(data):
            kind, size, check = _HEAD.unpack_from(data, at)
            payload = data[at + _HEAD.size : at + _HEAD.size + size]
            if len(payload) != size or zlib.crc32(payload) != check:
                break
            try:
                _replay(entries, kind, payload)
            except (KeyError, TypeError, ValueError, struct.error) as error:  # whole, and not understood
                log.error("journal record not read", extra={"at": at, "kind": kind, "why": str(error)})
            at += _HEAD.size + size
        if at < len(data):  # guards a restart against a record that the end of the process cut short
            log.warning("journal cut short", extra={"kept": at, "dropped": len(data) - at})
        for entry, _ in entries.values():
            if entry.out_since is not None:  # out when the process ended: it may have run
                entry.outcome(False)
            if entry.trace and len(entry.history) < HISTORY_MOST:
                entry.history.append([left, "", 0, self._now, 0.0])
        return list(entries.values())

    def _write_all(self, file: int, data: bytes) -> int:
        view = memoryview(data)
        while view:
            taken = self._disk.write(file, view)
            if not taken:
                raise OSError(errno.ENOSPC, "nothing was taken")
            view = view[taken:]
        return len(data)

    def close(self) -> None:
        """Let go of the file and the locks, as the process' end would; nothing is written any more."""
        self._closed = True
        self._leave_file()
        for lock in (self._lock, self._aside_lock):
            self._disk.unlock(lock)


def _replay(entries: dict[int, tuple[Entry, int]], kind: int, payload: bytes) -> None:
    """Apply one record to the entries read so far, by number, each with the size of its `TAKEN` record."""
    if kind == TAKEN:
        entry = Entry.unpack(payload)
        entries[entry.number] = entry, len(payload) + _HEAD.size
        return
    found, _ = entries.get(int.from_bytes(payload[:8], "little"), (None, 0))
    if found is None:
        return
    if kind == STARTED:
        _, begun, zone = _STARTED.unpack_from(payload)
        found.started(begun, zone, payload[_STARTED.size :].decode("utf-8", "ignore"))
    elif kind == OUTCOME:
        more = _TRACED.unpack_from(payload, _OUTCOME.size) if len(payload) > _OUTCOME.size else ()
        found.outcome(_OUTCOME.unpack_from(payload)[1], *more)
    elif kind == SPENT:
        found.spent = True
    elif kind == DECIDED:
        _, found.after_ms, found.keep_until = _DECIDED.unpack_from(payload)
        found.state = payload[_DECIDED.size :].decode()
    elif kind == ENDED:
        del entries[found.number]


def _snapshot(entry: Entry) -> bytes:
    """The records that stand for an entry in a new file."""
    taken = _frame(TAKEN, entry.pack())
    return taken + _frame(SPENT, _SPENT.pack(entry.number)) if entry.spent else taken


def _reserve(entry: Entry) -> int:
    return RESERVE + TRACED_RESERVE if entry.trace else RESERVE


def _frame(kind: int, payload: bytes) -> bytes:
    return _HEAD.pack(kind, len(payload), zlib.crc32(payload)) + payload
