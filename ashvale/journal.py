"""What the courier has taken on, in one append-only file that outlasts its process.

It owns the file and the entries that live in it, and says when there is no room. It must never decide what
becomes of a message, never write beyond its share of the disk, and never fail on what an ended process left:
a torn end is cut off, whatever came before it counts.

Rewriting puts the live entries into a new file that then takes the old one's name, so the room for both is
kept free. What the records hold: `ashvale/journal_records.py`.
"""

from __future__ import annotations

import errno
import logging
import struct
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Optional

from ashvale.disk import Disk
from ashvale.disk_share import DiskShare, share_of_older, share_unless_told
from ashvale.journal_follower import JournalFollower
from ashvale.journal_records import (
    DECIDED,
    DECIDED_FORM,
    ENDED,
    ENDED_FORM,
    FRAME_HEAD,
    HISTORY_MOST,
    NAME_MOST,
    OUTCOME,
    OUTCOME_FORM,
    SPENT,
    SPENT_FORM,
    STARTED,
    STARTED_FORM,
    TAKEN,
    TRACED_FORM,
    Entry,
    frame,
    replay,
    reserve,
    snapshot,
)
from ashvale.log import failed_calls

__all__ = ["Entry", "Full", "Journal"]

_BLOCK = 512  # files are counted in whole blocks
REWRITE_LARGE = 64 * 1024  # bytes from which a file takes long enough to hold service up
REWRITE_AGAIN_MS = 100.0  # pause before such a file is written again that could not be
REWRITE_GAIN = 8 * 1024  # bytes appended since the last rewrite that make another one worth while
_MARGIN = 32 * 1024  # kept free of the disk's limit; a file may grow into it by REWRITE_GAIN
log = logging.getLogger(__name__)


def _monotonic() -> float:
    return time.monotonic() * 1000.0


class Full(Exception):
    """There is no room for another message."""


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
        self._share = DiskShare(self._disk, folder)
        self._other = JournalFollower(self._disk, self._aside)
        self._whole = self._budget = 0
        self.entries: dict[int, Entry] = {}
        self._sizes: dict[int, int] = {}
        self._live = 0
        self._next = 1
        self._file = -1  # none: the next write begins with a new file
        self._size = 0
        self._rewritten_size = 0  # of the file when it was last put in place
        self.limit(room)
        self._clock, self._rewrite_after = clock, 0.0
        self._closed = False
        self.divided = False  # another process writes beside this one, as far as this one has looked
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
        if self.waiting:
            self._other.follow(self._main)
            self.divided = True
            self._share.clear()
            self._budget = self._newcomers_share()
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

    def state_beside(self, front: str, id: str) -> Optional[str]:
        """What became of a message that another process took on, as `JournalFollower.find` has it."""
        try:
            return self._other.find(front, id)
        except OSError as error:
            failed_calls.note("journal", error)
            return None

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
        self._budget = self._whole
        self._other.follow(self._aside)
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

    # The room

    def limit(self, room: int) -> None:
        """Keep within so many bytes of the disk, together with a process beside this one."""
        whole = room - _MARGIN - 2 * _BLOCK
        self._budget, self._whole = self._budget + whole - self._whole, whole
        self._rewritten_size = 0  # what has ended goes from the file at once where there is less room now

    def divide(self, leaving: bool = False) -> None:
        """Find out whether another process writes beside this one, and what of the disk is this one's.

        To be called at intervals. `leaving`: this process takes on no more, and gives up all that it can.
        """
        if self._closed:
            return
        try:
            self.divided = self.waiting or self._beside()
            if self.waiting:
                self._budget = self._newcomers_share()
            elif self.divided:
                self._yield_room(leaving)
            elif self._joined is None:
                # What a newcomer that has ended left stays there, and goes into one file with ours later.
                self._budget = max(self._budget, self._whole - 2 * self._disk.size(self._aside))
        except OSError as error:  # it is asked again
            failed_calls.note("journal.share", error)

    def _yield_room(self, leaving: bool) -> None:
        """Keep to a share of the disk, then tell it to the newcomer; may raise `OSError`."""
        share = share_of_older(self._whole, self._budget, self._live, leaving)
        if share < self._budget:
            if self._size + self._live > share:
                self._rewrite()
            self._budget = share
        if self._share.told() != self._budget:
            self._share.tell(self._budget)

    def _newcomers_share(self) -> int:
        """What the older process leaves to this one; may raise `OSError`."""
        if (told := self._share.told()) is not None:
            return self._whole - told
        return share_unless_told(self._whole, self._disk.size(self._main))

    def _fits(self, size: int) -> bool:
        """Whether that much more may be owed: all of it has to fit twice, as a rewrite has two files."""
        return 2 * (self._live + size) <= self._budget

    # What is written

    def take(self, entry: Entry) -> None:
        """Write down a message and number it, or raise `Full`."""
        entry.number = self._next
        record = frame(TAKEN, entry.pack())
        wanted = len(record) + reserve(entry)
        if self.waiting and not self._fits(wanted):
            self.divide()  # the older process may have given room back since
        if not self._fits(wanted):
            raise Full(f"the journal holds {len(self.entries)} messages and has room for no more")
        self._append(record)
        self._next += 1
        self._add(entry, len(record))

    def started(self, entries: list[Entry], at: float, zone: int, endpoint: str = "") -> None:
        """Write down that an attempt begins, before it does, or raise `Full`.

        And where it begins, for messages that are traced.
        """
        name = endpoint.encode()[:NAME_MOST]
        heads = ((STARTED_FORM.pack(entry.number, at, zone), entry.trace) for entry in entries)
        self._append(b"".join(frame(STARTED, head + name if traced else head) for head, traced in heads))
        for entry in entries:
            entry.started(at, zone, name.decode("utf-8", "ignore"))

    def outcome(
        self, entry: Entry, never_ran: bool, at: float = 0.0, number: int = 0, told: float = 0.0
    ) -> None:
        """Write down how an attempt ended; `at`, the outcome's `number` and `told` for traced messages.

        Like `decided` and `ended` it counts at once; `Full` says that the file learns of it later.
        """
        more = TRACED_FORM.pack(at, number, told) if entry.trace else b""
        entry.outcome(never_ran, at, number if entry.trace else 0, told)
        self._append_or_keep(frame(OUTCOME, OUTCOME_FORM.pack(entry.number, never_ran) + more))

    def spent(self, entry: Entry) -> None:
        """Write down that no further attempt may be made for a message; like `outcome` it counts at once."""
        entry.spent = True
        self._append_or_keep(frame(SPENT, SPENT_FORM.pack(entry.number)))

    def decided(self, entry: Entry, state: str, after_ms: float, keep_until: float = 0.0) -> None:
        """Write down how a message ends, before anybody is told."""
        entry.state, entry.after_ms, entry.keep_until = state, after_ms, keep_until
        head = DECIDED_FORM.pack(entry.number, after_ms, keep_until)
        self._append_or_keep(frame(DECIDED, head + state.encode()))

    def ended(self, entry: Entry) -> None:
        """Nothing more is owed for a message, nor remembered of it."""
        if self.entries.pop(entry.number, None):
            self._live -= self._sizes.pop(entry.number)
            self._append_or_keep(frame(ENDED, ENDED_FORM.pack(entry.number)))

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
        self._sizes[entry.number] = size + reserve(entry)
        self._live += size + reserve(entry)

    def _append(self, data: bytes) -> None:
        """Append whole records, behind those that the file still lacks; or nothing, and raise `Full`."""
        if self._closed:  # the folder may be another process's by now
            raise Full("the journal is closed")
        try:
            self._make_ready()
            self._room(sum(map(len, self._unwritten)) + len(data))
            data = b"".join([*self._unwritten, data])
            self._torn = True
            self._disk.write_all(self._file, data)
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
        """Guards the disk limit: old and new file must fit together when the journal is next rewritten.

        And guards the loop: where more is owed than fits twice, a rewrite for each record gains nothing.
        """
        crowded = self._size + wanted + self._live > self._budget
        if crowded and self._size - self._rewritten_size >= REWRITE_GAIN:
            self._rewrite()

    def _rewrite(self) -> None:
        """Put a new file with the live entries in the place of the old one, or raise `OSError`."""
        if self._clock() < self._rewrite_after:
            raise OSError(errno.EAGAIN, "a large file could not be written a moment ago")
        if self._live > REWRITE_LARGE:
            self._rewrite_after = self._clock() + REWRITE_AGAIN_MS
        file = self._disk.create(self._new)
        try:
            data = b"".join(map(snapshot, self.entries.values()))
            self._disk.write_all(file, data)
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
        self._file, self._size, self._torn, self._unwritten = file, len(data), False, []
        self._rewritten_size = len(data)
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
        while at + FRAME_HEAD.size <= len(data):
            kind, size, check = FRAME_HEAD.unpack_from(data, at)
            payload = data[at + FRAME_HEAD.size : at + FRAME_HEAD.size + size]
            if len(payload) != size or zlib.crc32(payload) != check:
                break
            try:
                replay(entries, kind, payload)
            except (KeyError, TypeError, ValueError, struct.error) as error:  # whole, and not understood
                log.error("journal record not read", extra={"at": at, "kind": kind, "why": str(error)})
            at += FRAME_HEAD.size + size
        if at < len(data):  # guards a restart against a record that the end of the process cut short
            log.warning("journal cut short", extra={"kept": at, "dropped": len(data) - at})
        for entry, _ in entries.values():
            if entry.out_since is not None:  # out when the process ended: it may have run
                entry.outcome(False)
            if entry.trace and len(entry.history) < HISTORY_MOST:
                entry.history.append([left, "", 0, self._now, 0.0])
        return list(entries.values())

    def close(self) -> None:
        """Let go of the file and the locks, as the process' end would; nothing is written any more."""
        self._closed = True
        self._leave_file()
        for lock in (self._lock, self._aside_lock):
            self._disk.unlock(lock)
