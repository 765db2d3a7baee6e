"""Notices: the platform is told the ends of messages that were not delivered, until it has heard."""

from __future__ import annotations

import itertools
import json
import logging
from collections.abc import Callable
from typing import Any

from ashvale.exchange import RETURNED
from ashvale.journal import Entry
from ashvale.loop import FOREVER, Address, Broken, Coroutine, Expired, Loop, Signal, Task
from ashvale.net.http_client import Channel

NOTICE_MS = 200.0  # the agent answers notices at once; what is late to be told counts as lost
HEDGE_MS = 60.0  # a call that has no answer by then is followed by another one beside it
CALLS_MOST = 4  # calls out together
RETRY_MS, RETRY_GROWTH = 10.0, 1.5  # pause behind a first failed call, and how it grows up to NOTICE_MS
NOTICES_MOST = 400  # lines in one call
TAKEN = 204
log = logging.getLogger(__name__)


class Notices:
    """Tells the platform the ends of messages that were not delivered, again until it has heard.

    A line may be told twice, which does no harm. One that the agent does not take goes behind the others, in
    ever smaller calls, so that a line which it cannot read holds no other up.
    """

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop, self._address = loop, address
        self._waiting: dict[int, Entry] = {}  # by the entry's identity, the next to be told first
        self._calls: dict[int, Channel] = {}  # those out, by number
        self._tasks: dict[int, Task] = {}  # likewise
        self._numbers = itertools.count()
        self._changed = Signal()
        self._next_at = 0.0  # no call begins before
        self._pause, self._most = RETRY_MS, NOTICES_MOST
        self.told: Callable[[Entry], None] = lambda entry: None
        self.untold: Callable[[Entry], None] = lambda entry: None

    def add(self, entry: Entry) -> None:
        """Tell the end of a message."""
        self._waiting[id(entry)] = entry
        self._changed.fire()

    def move(self, address: Address) -> None:
        """The agent is elsewhere from now on."""
        self._address = address
        for channel in self._calls.values():
            channel.move(address)

    def run(self) -> Coroutine[None]:
        """Begin calls while anything is to be told: one, and another beside each that has no answer."""
        try:
            while True:
                if not self._waiting or len(self._tasks) >= CALLS_MOST:
                    yield self._changed, FOREVER
                elif self.loop.now() < self._next_at:
                    yield self._changed, self._next_at
                else:
                    self._begin()
        finally:
            for task in list(self._tasks.values()):
                task.cancel()

    def _begin(self) -> None:
        """Tell what has waited longest."""
        self._next_at = self.loop.now() + HEDGE_MS
        lines = list(itertools.islice(self._waiting.values(), self._most))
        number = next(self._numbers)
        self._tasks[number] = self.loop.spawn(self._call(number, lines), "notice")

    def _call(self, number: int, lines: list[Entry]) -> Coroutine[None]:
        """Tell some ends in one call."""
        channel = self._calls[number] = Channel(self.loop, self._address)
        status = 0
        try:
            body = b"".join(map(notice, lines))
            until = self.loop.now() + NOTICE_MS
            status, _ = yield from channel.ask("POST", "/v1/notices", body, until)
        except (Broken, Expired) as error:
            log.warning("notice not told", extra={"why": str(error)})
        finally:
            del self._calls[number], self._tasks[number]
        if status == TAKEN:
            self._taken(lines)
        else:
            self._failed(lines, status)
        self._changed.fire()

    def _taken(self, lines: list[Entry]) -> None:
        self._pause, self._most = RETRY_MS, min(2 * self._most, NOTICES_MOST)
        self._next_at = self.loop.now()
        for entry in lines:
            if self._waiting.pop(id(entry), None) is not None:
                self.told(entry)

    def _failed(self, lines: list[Entry], status: int) -> None:
        """Go on after a pause; after a refusal with fewer lines, and others first."""
        self._next_at = self.loop.now() + self._pause
        self._pause = min(RETRY_GROWTH * self._pause, NOTICE_MS)
        left = [entry for entry in lines if id(entry) in self._waiting]
        for entry in left:
            self.untold(entry)
        if status:
            log.error("notice refused", extra={"status": status, "lines": len(lines)})
            self._most = max(1, len(lines) // 2)
            for entry in left:
                self._waiting[id(entry)] = self._waiting.pop(id(entry))


def notice(entry: Entry) -> bytes:
    """One line for the platform."""
    data: dict[str, Any] = {"id": entry.id, "state": entry.state}
    if entry.state == RETURNED and entry.after_ms > 0:
        data["after_ms"] = round(entry.after_ms)
    return json.dumps(data, separators=(",", ":")).encode() + b"\n"
