"""A folder in memory that fails where it is told to, for the journal.

It owns the bytes of its files and which call fails. It must never touch the machine's disk. Faults are given
by the number of the call, counted over all calls that change anything, so that a run can be repeated with a
fault at each of them in turn.
"""

from __future__ import annotations

import errno
import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Optional

from ashvale.disk import Disk

SHORT, FULL, NO_RENAME, KILL, TORN = "short", "full", "no rename", "kill", "torn"
FAULTS = (SHORT, FULL, NO_RENAME, KILL, TORN)


class Killed(BaseException):
    """The process has ended at this very call; nothing in it may catch that."""


class MemoryDisk(Disk):
    """What `ashvale.journal` needs of a file system; `faults` are by number of the call, from 1.

    `short` writes a part and says so, `full` finds no room, `no rename` fails a rename. `kill` and `torn` end
    the process before and in the midst of the call: `killed` is called, then `Killed` raised, and the life
    that wrote writes nothing any more.
    """

    def __init__(self, killed: Callable[[], None] = lambda: None) -> None:
        super().__init__()
        self.files: dict[str, bytearray] = {}
        self.faults: dict[int, str] = {}
        self.killed = killed
        self.calls = 0
        self.life = 0
        self.digest = hashlib.blake2b(digest_size=16)  # of all that was written
        self._next = 100
        self._open: dict[int, tuple[int, bytearray]] = {}

    def _fault(self) -> str:
        self.calls += 1
        return self.faults.get(self.calls, "")

    def _opened(self, file: int) -> Optional[bytearray]:
        """The bytes of an open file; None where the process that opened it is gone."""
        life, found = self._open.get(file, (-1, bytearray()))
        return found if life == self.life else None

    def read(self, path: Path) -> tuple[bytes, Optional[float]]:
        found = self.files.get(path.name)
        return (b"", None) if found is None else (bytes(found), 0.0)

    def read_from(self, path: Path, at: int) -> bytes:
        return bytes(self.files.get(path.name, b"")[at:])

    def size(self, path: Path) -> int:
        return len(self.files.get(path.name, b""))

    def create(self, path: Path) -> int:
        self._next += 1
        number = self._next
        data = self.files[path.name] = bytearray()
        self._open[number] = self.life, data
        return number

    def write(self, file: int, data: memoryview) -> int:
        found = self._opened(file)
        if found is None:
            return len(data)
        fault = self._fault()
        if fault == FULL:
            raise OSError(errno.ENOSPC, "no space left")
        if fault == KILL:
            self._die()
        part = data[: max(1, len(data) // 2)] if fault in (SHORT, TORN) else data
        found += part
        self.digest.update(part)
        if fault == TORN:
            self._die()
        return len(part)

    def _die(self) -> None:
        self.life += 1
        self.killed()
        raise Killed

    def truncate(self, file: int, size: int) -> None:
        if (found := self._opened(file)) is not None:
            del found[size:]

    def replace(self, old: Path, new: Path) -> None:
        fault = self._fault()
        if fault == NO_RENAME:
            raise OSError(errno.EIO, "rename failed")
        if fault in (KILL, TORN):
            self._die()
        if old.name in self.files:
            self.files[new.name] = self.files.pop(old.name)

    def remove(self, path: Path) -> None:
        self.files.pop(path.name, None)

    def lock(self, path: Path) -> bool:
        return True  # one process in virtual time: a new life is the same writer

    def unlock(self, path: Path) -> None:
        pass

    def close(self, file: int) -> None:
        self._open.pop(file, None)
