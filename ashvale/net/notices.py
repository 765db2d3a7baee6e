"""Notices: the platform is told the ends of messages that were not delivered, until it has heard."""

from __future__ import annotations

import json
import logging
from collections import deque
from collections.abc import Callable
from typing import Any

from ashvale.exchange import RETURNED
from ashvale.journal import Entry
from ashvale.loop import FOREVER, Address, Broken, Coroutine, Expired, Loop, Signal, sleep
from ashvale.net.http_client import Channel

NOTICE_MS = 200.0  # the agent answers notices at once; what is late to be told counts as lost
RETRY_MS = 50.0  # first pause between tries; it doubles up to NOTICE_MS
NOTICES_MOST = 400  # lines in one notice
log = logging.getLogger(__name__)


class Notices:
    """Tells the platform the ends of messages that were not delivered, again until it has heard."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop, self.channel = loop, Channel(loop, address)
        self._waiting: deque[Entry] = deque()
        self._more = Signal()
        self.told: Callable[[Entry], None] = lambda entry: None
        self.untold: Callable[[Entry], None] = lambda entry: None

    def add(self, entry: Entry) -> None:
        self._waiting.append(entry)
        self._more.fire()

    def run(self) -> Coroutine[None]:
        pause, most = RETRY_MS, NOTICES_MOST
        while True:
            while not self._waiting:
                yield self._more, FOREVER
            lines = [self._waiting[i] for i in range(min(most, len(self._waiting)))]
            body = b"".join(map(notice, lines))
            until = self.loop.now() + NOTICE_MS
            try:
                status, _ = yield from self.channel.ask("POST", "/v1/notices", body, until)
            except (Broken, Expired) as error:
                log.warning("notice not told", extra={"why": str(error)})
                status = 0
            if status == 204:
                pause, most = RETRY_MS, NOTICES_MOST
                for entry in lines:
                    self._waiting.popleft()
                    self.told(entry)
                continue
            for entry in lines:
                self.untold(entry)
            if status:
                log.error("notice refused", extra={"status": status, "lines": len(lines)})
                most = 1  # guards the others against one that is not understood
                self._waiting.rotate(-1)
            yield from sleep(self.loop, pause)
            pause = min(2 * pause, NOTICE_MS)


def notice(entry: Entry) -> bytes:
    """One line for the platform."""
    data: dict[str, Any] = {"id": entry.id, "state": entry.state}
    if entry.state == RETURNED and entry.after_ms > 0:
        data["after_ms"] = round(entry.after_ms)
    return json.dumps(data, separators=(",", ":")).encode() + b"\n"
