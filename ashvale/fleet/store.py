"""What a courier's folder holds of the fleet: one file of frames, synced before anything is acted on.

It owns `record` in the fleet's folder, and a lock on it. It must never take half a frame for a whole one,
guess what a spoilt place held, or go on after a write or sync that failed: nobody knows then what is there.

A frame is `AvF1`, length, xxh64 of the payload (seeded by the format's version), payload: a MessagePack pair
of kind and value. A file that ends in half a frame was cut by the process' end, before it said anything
that rests on that frame: the end is cut off. Where a whole frame comes after a bad one the file was spoilt
later, and a vote may be among what is gone: `Spoilt`. A file that is not the one it says it is (by its inode)
was copied, and may be older than what this courier has said since: its voter counts as lost.
"""

from __future__ import annotations

import errno
import fcntl
import os
import struct
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from ashvale.descriptors import close_descriptor
from ashvale.fleet.agent import Agent, Effects, Kept
from ashvale.fleet.record import Entry, Saved, Snapshot

MAGIC, FORMAT = b"AvF1", 1
_HEAD = struct.Struct("<4sIQ")
REWRITE_OVER = 4 * 1024 * 1024  # bytes after which the file is written anew with what still counts
_GENERATION = 0x80087601  # FS_IOC_GETVERSION of linux/fs.h
OWNER, HARD, CUT, ENTRIES, SNAPSHOT, KEPT = range(1, 7)
_encode = msgspec.msgpack.Encoder().encode


class Spoilt(Exception):
    """The folder cannot be used; the text says which file and what to do."""


def frame(kind: int, value: Any) -> bytes:
    payload = _encode((kind, value))
    return _HEAD.pack(MAGIC, len(payload), xxhash.xxh64_intdigest(payload, FORMAT)) + payload


def frames(data: bytes) -> tuple[list[tuple[int, msgspec.Raw]], int]:
    """The whole frames from the start, and where they end."""
    found, at = [], 0
    while (part := _at(data, at)) is not None:
        payload, at = part
        found.append(msgspec.msgpack.decode(payload, type=tuple[int, msgspec.Raw]))
    return found, at


def _at(data: bytes, at: int) -> tuple[bytes, int] | None:
    if at + _HEAD.size > len(data):
        return None
    magic, size, check = _HEAD.unpack_from(data, at)
    payload = data[at + _HEAD.size : at + _HEAD.size + size]
    if magic != MAGIC or len(payload) != size or xxhash.xxh64_intdigest(payload, FORMAT) != check:
        return None
    return payload, at + _HEAD.size + size


class Store:
    """The file of one courier. `fleet` and `name` are whose it has to be."""

    def __init__(self, folder: Path, fleet: str, name: str) -> None:
        folder.mkdir(exist_ok=True)
        self.folder, self.path, self.owner = folder, folder / "record", (fleet, name)
        self.failed, self.copied = "", False
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            close_descriptor(self._lock)
            raise BlockingIOError(error.errno, f"{folder}: another process takes part from it") from None
        self._file = -1
        try:
            self.saved, self.kept = self._load()
        except BaseException:
            self.close()
            raise

    def _load(self) -> tuple[Saved, Kept]:
        data = self.path.read_bytes() if self.path.exists() else b""
        found, end = frames(data)
        later = data.find(MAGIC, end + 1)
        while later >= 0:
            if _at(data, later) is not None:
                raise Spoilt(
                    f"{self.path}: spoilt at byte {end}, with whole records behind; put the folder "
                    "aside and start with an empty one: the fleet takes this courier in again"
                )
            later = data.find(MAGIC, later + 1)
        saved, kept = Saved(), Kept()
        try:
            for kind, raw in found:
                self._replay(saved, kind, raw)
                if kind == KEPT:
                    kept = msgspec.msgpack.decode(raw, type=Kept)
            if self.copied:
                kept.lost = True
        except msgspec.MsgspecError as error:
            raise Spoilt(f"{self.path}: cannot be read ({error}); it may be of a newer version") from None
        if data and not found and not data.startswith(MAGIC[: len(data)]):  # a first frame may be cut short
            raise Spoilt(f"{self.path}: no record of this program; put it aside")
        self._file = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        os.ftruncate(self._file, end)
        self._size = end
        if not found:
            self._append(self._owner(self._file))
            self._sync_folder()
        elif self.copied:
            self._replace(
                b"".join(frame(kind, raw) for kind, raw in found if kind not in (OWNER, KEPT))
                + frame(KEPT, kept)
            )
        return saved, kept

    def _replay(self, saved: Saved, kind: int, raw: msgspec.Raw) -> None:
        if kind == OWNER:
            version, fleet, name, place = msgspec.msgpack.decode(raw, type=tuple[int, str, str, str])
            file = os.open(self.path, os.O_RDONLY)
            self.copied = place != _place(file)
            close_descriptor(file)
            if version > FORMAT:
                raise Spoilt(f"{self.path}: written by a newer version ({version}); start that one")
            if (fleet, name) != self.owner:
                raise Spoilt(
                    f"{self.path}: of courier '{name}' of fleet '{fleet}', and this is "
                    f"'{self.owner[1]}' of '{self.owner[0]}': name the right folder"
                )
        elif kind == HARD:
            saved.term, saved.vote = msgspec.msgpack.decode(raw, type=tuple[int, str])
        elif kind == CUT:
            first = msgspec.msgpack.decode(raw, type=int)
            saved.entries = [e for e in saved.entries if e.index < first]
        elif kind == ENTRIES:
            more = msgspec.msgpack.decode(raw, type=list[Entry])
            last = saved.entries[-1].index if saved.entries else saved.snapshot.index
            if [e.index for e in more] != list(range(last + 1, last + 1 + len(more))):
                raise Spoilt(f"{self.path}: entries do not follow each other at {last}; put the folder aside")
            saved.entries += more
        elif kind == SNAPSHOT:
            saved.snapshot, saved.entries = msgspec.msgpack.decode(raw, type=Snapshot), []

    # What is written

    def plan(self, agent: Agent, fx: Effects) -> tuple[bytes, bool]:
        """The frames of one step, and whether they take the place of the whole file. Touches no disk."""
        whole = fx.compacted or self._size > REWRITE_OVER or any(out.installed for out in fx.record)
        record = agent.record
        if whole:
            parts = [
                frame(SNAPSHOT, record.snapshot),
                frame(ENTRIES, record.log),
                frame(HARD, (record.term, record.vote)),
                frame(KEPT, agent.kept),
            ]
            return b"".join(parts), True
        parts = [frame(KEPT, agent.kept)] if fx.kept else []
        for out in fx.record:
            if out.cut is not None:
                parts.append(frame(CUT, out.cut))
            if out.entries:
                parts.append(frame(ENTRIES, out.entries))
        if any(out.hard for out in fx.record):
            parts.append(frame(HARD, (record.term, record.vote)))
        return b"".join(parts), False

    def write(self, data: bytes, whole: bool) -> None:
        """Put frames on the disk, synced; may run beside the loop. Nothing more after a failure."""
        if self.failed:
            raise OSError(errno.EIO, self.failed)
        try:
            if whole:
                self._replace(data)
            else:
                self._append(data)
        except OSError as error:
            # Guards against a sync that failed once and "holds" the next time: the kernel forgets the pages.
            self.failed = f"{self.path}: {error.strerror or error}"
            raise

    def _append(self, data: bytes) -> None:
        _all(self._file, data)
        os.fsync(self._file)
        self._size += len(data)

    def _owner(self, file: int) -> bytes:
        """Whose the file is, and which file: a copy of it has another number."""
        return frame(OWNER, (FORMAT, *self.owner, _place(file)))

    def _replace(self, data: bytes) -> None:
        new = self.path.with_name("record.new")
        file = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            data = self._owner(file) + data
            _all(file, data)
            os.fsync(file)
            os.replace(new, self.path)
            self._sync_folder()
        except OSError:
            close_descriptor(file)
            raise
        old, self._file, self._size = self._file, file, len(data)
        close_descriptor(old)

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            close_descriptor(folder)

    def close(self) -> None:
        files, self._file, self._lock = (self._file, self._lock), -1, -1
        for file in files:
            if file >= 0:
                close_descriptor(file)


def _place(file: int) -> str:
    """Which file it is: its inode and, as numbers are used again, that inode's generation where told."""
    told = bytearray(8)
    try:
        fcntl.ioctl(file, _GENERATION, told)
    except OSError:  # not every file system has them
        pass
    return f"{os.fstat(file).st_ino}.{told.hex()}"


def _all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]
