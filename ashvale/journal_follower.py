"""What the other process of an upgrade has taken on, read from its journal's file as that grows.

It owns the ids that it has seen there and what became of them, so that an id that one process took on is not
taken on by the other one too. It must never write, and never hold what a message says.
"""

from __future__ import annotations

import json
import logging
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Optional

from ashvale.disk import Disk
from ashvale.journal_records import DECIDED, DECIDED_FORM, ENDED, FRAME_HEAD, STARTED, TAKEN

IDS_MOST = 8192  # the oldest go first
LAST_SIZE = 64  # bytes by which a file is known again
OWED, MAY_HAVE_RUN = "", "failed"  # states besides those that a journal's `DECIDED` names
log = logging.getLogger(__name__)


@dataclass
class _Seen:
    front: str
    id: str
    state: str = OWED
    begun: bool = False  # an attempt began


class JournalFollower:
    """Follows one file at a time; what was seen outlasts the file."""

    def __init__(self, disk: Disk, path: Path) -> None:
        self._disk, self._path = disk, path
        self._at = 0  # read up to there
        self._last = b""  # and what stood right before, by which another file in its place shows
        self._numbers: dict[int, _Seen] = {}  # by number in that file
        self._ids: dict[tuple[str, str], _Seen] = {}  # the latest last

    def follow(self, path: Path) -> None:
        """Go on with another file."""
        self._path = path
        self._begin_again()

    def find(self, front: str, id: str) -> Optional[str]:
        """How the message ended, `OWED` while it has not; None for one not seen, or withdrawn untried.

        May raise `OSError`.
        """
        self._read_on()
        seen = self._ids.get((front, id))
        return None if seen is None else seen.state

    def _begin_again(self) -> None:
        self._at, self._last = 0, b""
        self._numbers.clear()

    def _read_on(self) -> None:
        data = self._disk.read_from(self._path, self._at - len(self._last))
        if not data.startswith(self._last):
            self._begin_again()
            data = self._disk.read_from(self._path, 0)
        at = begin = len(self._last)
        while at + FRAME_HEAD.size <= len(data):
            kind, size, check = FRAME_HEAD.unpack_from(data, at)
            payload = data[at + FRAME_HEAD.size : at + FRAME_HEAD.size + size]
            if len(payload) != size or zlib.crc32(payload) != check:
                break  # it is being written
            try:
                self._apply(kind, payload)
            except (KeyError, TypeError, ValueError) as error:  # whole, and of another version
                log.error("record of the other process not read", extra={"kind": kind, "why": str(error)})
            at += FRAME_HEAD.size + size
        self._at += at - begin
        self._last = data[max(0, at - LAST_SIZE) : at]

    def _apply(self, kind: int, payload: bytes) -> None:
        if kind == TAKEN:
            return self._taken(payload)
        seen = self._numbers.get(int.from_bytes(payload[:8], "little"))
        if seen is None:
            return
        if kind == STARTED:
            seen.begun = True
        elif kind == DECIDED:
            seen.state = payload[DECIDED_FORM.size :].decode()
        elif kind == ENDED and seen.state == OWED:  # withdrawn: nobody heard that it was taken on
            if seen.begun:
                seen.state = MAY_HAVE_RUN
            else:
                self._ids.pop((seen.front, seen.id), None)

    def _taken(self, payload: bytes) -> None:
        size = int.from_bytes(payload[:4], "little")
        head = json.loads(payload[4 : 4 + size])
        seen = _Seen(head["front"], head["id"], head["state"], head["attempts"] > 0)
        self._numbers[head["number"]] = self._ids[seen.front, seen.id] = seen
        if len(self._ids) > IDS_MOST:
            del self._ids[next(iter(self._ids))]
