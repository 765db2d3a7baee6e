"""The operator's door: a small HTTP/1.1 listener where operators' tools say what they want of this courier.

It owns that listener and the file of banned endpoints in the state folder. It records facts (a drain, a ban)
and hands them on; it must never decide where a message goes, and never keep a call waiting on anything but
its own connection: one call a connection, answered and closed.
"""

from __future__ import annotations

import json
import logging
import os
import re
from collections.abc import Callable
from pathlib import Path
from typing import Optional

import h11

from ashvale.loop import Address, Broken, Connection, Coroutine, Expired, Listener, Loop

CALL_MS = 1000.0  # a caller has this long for its call; guards the table against callers that say nothing
CALLERS_MOST = 64  # connections at once; guards descriptors against a crowd of them
CALL_MOST = 8 * 1024  # bytes of one call, head and body
BANS_MS = 100.0  # how often the file of bans is looked at, for what another process of an upgrade wrote
BANS_MOST = 4096  # endpoints banned at once
_ENDPOINT = re.compile(r"/endpoints/([A-Za-z0-9._:@-]{1,200})/(maint|ready)\Z")
_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Too Large",
    503: "Service Unavailable",
}
log = logging.getLogger(__name__)


class Bans:
    """The endpoints that operators took out of service, kept in a file that outlasts the process.

    Written whole to a file of this process's own and renamed into place, so that a reader never sees half of
    it; read again whenever it has changed, so that both processes of an upgrade follow every call.
    """

    def __init__(self, folder: Path, changed: Callable[[frozenset[str]], None]) -> None:
        self.path, self.changed = folder / "bans", changed
        self.names: frozenset[str] = frozenset()
        self._seen: Optional[tuple[int, int]] = None
        self.look()

    def look(self) -> None:
        """Follow the file, if it changed since it was last read."""
        try:
            stat = self.path.stat()
        except FileNotFoundError:
            seen, names = None, frozenset[str]()
        except OSError as error:  # guards bans against a file that cannot be looked at just now
            log.error("bans not read", extra={"why": str(error)})
            return
        else:
            seen = stat.st_mtime_ns, stat.st_size
            if seen == self._seen:
                return
            try:
                data = json.loads(self.path.read_bytes())
                names = frozenset(str(name) for name in data[:BANS_MOST])
            except (OSError, ValueError, TypeError) as error:  # guards service against a file that was spoilt
                log.error("bans not read", extra={"why": str(error)})
                return
        self._seen = seen
        if names != self.names:
            self.names = names
            self.changed(names)

    def set(self, name: str, banned: bool) -> None:
        """Ban or free an endpoint; written before the caller hears yes. Raises `OSError`."""
        self.look()
        names = self.names | {name} if banned else self.names - {name}
        if names == self.names:
            return
        if len(names) > BANS_MOST:
            raise OSError("too many endpoints banned")
        scratch = self.path.with_name(f"bans.{os.getpid()}")
        scratch.write_text(json.dumps(sorted(names)))
        os.replace(scratch, self.path)
        self.look()


class Door:
    """Answers operators' calls; what they mean is for `hooks` to carry out."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        bans: Bans,
        listed: Callable[[str], bool],
        ready: Callable[[], bool],
        drain: Callable[[bool], None],
    ) -> None:
        self.loop, self.bans, self.listed, self.ready, self.drain = loop, bans, listed, ready, drain
        # Where couriers agree on who goes: the status and, with a no, when to come back (ms).
        self.agreed: Optional[Callable[[bool], Coroutine[tuple[int, float]]]] = None
        self.listener = Listener(loop, address, self._serve, CALLERS_MOST, "operator")

    def close(self) -> None:
        self.listener.close()

    def _serve(self, connection: Connection) -> Coroutine[None]:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=CALL_MOST)
        until = self.loop.now() + CALL_MS
        head: Optional[h11.Request] = None
        size = 0
        status, after = 400, 0.0
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    data = yield from connection.receive(until)
                    size += len(data)
                    if not data or size > CALL_MOST:
                        status = 413 if data else 400
                        break
                    http.receive_data(data)
                elif isinstance(event, h11.Request):
                    head = event
                elif isinstance(event, h11.EndOfMessage) and head is not None:
                    path = head.target.decode("latin-1").partition("?")[0]
                    if (
                        self.agreed is not None
                        and head.method == b"POST"
                        and path in ("/healthcheck/fail", "/healthcheck/ok")
                    ):
                        status, after = yield from self.agreed(path.endswith("/fail"))
                    else:
                        status = self.answer(head.method.decode(), path)
                    break
                elif isinstance(event, (h11.ConnectionClosed,)) or event is h11.PAUSED:
                    return
        except h11.RemoteProtocolError:
            status = 400
        except (Broken, Expired):
            return  # guards the table against a caller that said nothing or half: its slot is free again
        reply = (
            f"HTTP/1.1 {status} {_REASONS.get(status, 'No')}\r\n"
            f"{f'Retry-After: {after / 1000.0:.3f}' + chr(13) + chr(10) if after else ''}"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        try:
            yield from connection.send(reply.encode(), self.loop.now() + CALL_MS)
        except (Broken, Expired):
            pass

    def answer(self, method: str, path: str) -> int:
        """The status for one call, once what it asks is done."""
        if path == "/healthcheck":
            if method not in ("GET", "HEAD"):
                return 405
            return 200 if self.ready() else 503
        if path in ("/healthcheck/fail", "/healthcheck/ok"):
            if method != "POST":
                return 405
            self.drain(path.endswith("/fail"))
            log.info("told", extra={"call": path})
            return 200
        found = _ENDPOINT.match(path)
        if found is None:
            return 404
        if method != "POST":
            return 405
        name, what = found[1], found[2]
        if not self.listed(name):
            log.info("no such endpoint", extra={"endpoint": name[:80], "call": what})
            return 404
        try:
            self.bans.set(name, what == "maint")
        except OSError as error:
            log.error("ban not written", extra={"endpoint": name, "why": str(error)})
            return 503
        log.info("told", extra={"call": what, "endpoint": name})
        return 200
