"""How the two processes of one courier divide the disk while both run, as in an upgrade.

The process that owns `journal` tells in the file `journal.share` how many bytes it keeps to from now on. It
tells so once it does, and never takes more again while the other one runs, so the newcomer may use the rest
whenever it reads the file. Nothing here takes a lock or waits: who has not told leaves the newcomer a guess
that is on the safe side.
"""

from __future__ import annotations

from pathlib import Path
from typing import Optional

from ashvale.disk import Disk

STEP_PART = 32  # the older process gives room back in steps of this part of the whole
SLACK_PART = 16  # and keeps this part beyond what its entries need, so that it need not rewrite at once


class DiskShare:
    """The file in which the older process tells its share, in bytes. Its calls may raise `OSError`."""

    def __init__(self, disk: Disk, folder: Path) -> None:
        self._disk, self._path = disk, folder / "journal.share"

    def told(self) -> Optional[int]:
        """What the older process keeps to; None where it has not told, or half of it was written."""
        data, _ = self._disk.read(self._path)
        digits = data.removesuffix(b"\n")
        return int(digits) if digits != data and digits.isdigit() else None

    def tell(self, share: int) -> None:
        """Replace what was told before, whole."""
        scratch = self._path.with_name(self._path.name + ".new")
        file = self._disk.create(scratch)
        try:
            self._disk.write_all(file, b"%d\n" % share)
        finally:
            self._disk.close(file)
        self._disk.replace(scratch, self._path)

    def clear(self) -> None:
        """Forget what an earlier pair of processes told."""
        self._disk.remove(self._path)


def share_of_older(whole: int, share: int, live: int, leaving: bool) -> int:
    """The share that the older process can do with, if that is a step less than its `share` so far.

    It needs its `live` entries twice, as a rewrite has them in two files. Until it leaves it keeps half.
    """
    least = 0 if leaving else whole // 2
    wanted = max(2 * live + whole // SLACK_PART, least)
    return wanted if share - wanted >= whole // STEP_PART else share


def share_unless_told(whole: int, older_file: int) -> int:
    """What a newcomer may use before the older process has told its share, by the size of its file.

    That file may be rewritten, and may grow until its process has seen the newcomer.
    """
    return max(0, whole - 2 * older_file) // 2
