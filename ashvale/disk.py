"""The file system as the journal needs it: whole reads, appends, renames, and locks between processes."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Optional

from ashvale.descriptors import close_descriptor


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

    def read_from(self, path: Path, at: int) -> bytes:
        """What a file holds from `at` on; nothing where there is none, or it is shorter."""
        try:
            with open(path, "rb") as file:
                file.seek(at)
                return file.read()
        except FileNotFoundError:
            return b""

    def size(self, path: Path) -> int:
        """A file's size in bytes; 0 where there is none."""
        try:
            return path.stat().st_size
        except FileNotFoundError:
            return 0

    def write(self, file: int, data: memoryview) -> int:
        return os.write(file, data)

    def write_all(self, file: int, data: bytes) -> None:
        """Write in as many calls as it takes."""
        view = memoryview(data)
        while view:
            taken = self.write(file, view)
            if not taken:
                raise OSError(errno.ENOSPC, "nothing was taken")
            view = view[taken:]

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
