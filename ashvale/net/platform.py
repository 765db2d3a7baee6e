"""The server for service clients, by the platform's protocol: HTTP/1.1, parsed by h11.

It translates requests to commands, and tells their ends by notices. It must never answer 202 before the
exchange has taken a command.
"""

from __future__ import annotations

import logging
import re
from dataclasses import dataclass
from functools import lru_cache
from typing import Optional

import h11

from ashvale import interface as api
from ashvale.exchange import DELIVERED, FAILED, REFUSED_MS, RETURNED, Command, Exchange, Refusal
from ashvale.journal import Entry
from ashvale.journal_follower import OWED
from ashvale.loop import (
    FOREVER,
    Address,
    Broken,
    Connection,
    Coroutine,
    Expired,
    Listener,
    Loop,
)
from ashvale.net.http_client import BODY_MOST, HEAD_MOST
from ashvale.net.notices import Notices
from ashvale.net.request_room import FIELDS_MOST, RequestRoom, too_many_fields

REQUEST_MS = 2000.0  # a service client has this long for one request, and to begin with its first
IDLE_MS = 75000.0  # and may leave its connection idle for this long
PAST_MOST = 2048  # ids of messages that are over, kept to know them again
LAST_REQUEST_MS = 3100.0  # after SIGTERM a request that is not whole by then is answered as it is
SETTLE_MS = 400.0  # and a new connection that says nothing for so long is ended
_ID = re.compile(rb"[!-~]{1,200}\Z")
_DEST = re.compile(r"(?:^|[;,\s])dest=(\d{1,9})(?:$|[;,\s])")
_TIMEOUT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z")
log = logging.getLogger(__name__)


class Refused(Exception):
    """A request that is answered with an error status."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


def timeout_ms(text: str) -> Optional[float]:
    """`480m` is 480 milliseconds, `480u` as many microseconds."""
    found = _TIMEOUT.match(text.strip())
    return None if found is None else float(found[1]) / (1000.0 if found[2] == "u" else 1.0)


def destination(text: str) -> Optional[str]:
    found = _DEST.search(text)
    return None if found is None else str(int(found[1]))


@dataclass
class Request:
    """One request of a service client, read whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    read_at: float
    began: float = 0.0  # its first byte was there
    abandoned: bool = False  # its client has ended the connection, and hears of nothing that comes of it


class Server:
    """Takes commands from service clients, and tells their ends by notices."""

    def __init__(self, loop: Loop, exchange: Exchange, address: Address, most: int, notices: Notices) -> None:
        self.loop, self.exchange, self.notices = loop, exchange, notices
        self.closing = False
        self.draining = False  # operators send clients away: /up says no and no connection is kept
        self._last = FOREVER  # no request is waited for beyond this
        self._past: dict[str, str] = {}
        self._room = RequestRoom()
        self.listener = Listener(loop, address, self._serve, most, "platform", reuse_port=True)

    def ended(self, entry: Entry) -> None:
        self._remember(entry.id, entry.state)
        if entry.state in (RETURNED, FAILED):
            self.notices.add(entry)
        else:
            self.exchange.told(entry)

    def _remember(self, id: str, state: str) -> None:
        """Guards a message that is over against a second life under its id, as any client may send it."""
        self._past[id] = state
        if len(self._past) > PAST_MOST:
            del self._past[next(iter(self._past))]

    def _withdraw(self, entry: Entry) -> None:
        """Its client has left before it heard; what may have run by then is not taken on again."""
        if entry.attempts:
            self._remember(entry.id, FAILED)
        self.exchange.withdraw(entry)

    def keep_ms(self, entry: Entry, state: str, after_ms: float) -> float:
        return 0.0  # an id is never used again here

    def drain(self, on: bool) -> None:
        """Operators' drain: say no on /up, end what rests and every connection after its answer; or not."""
        self.draining = on
        if on:
            self.listener.dismiss_resting(0.0, 0.0)

    @property
    def ready(self) -> bool:
        return not (self.closing or self.draining)

    def last_call(self, since: Optional[float] = None) -> None:
        """The process was told to end: answers end connections, and no request is waited for too long."""
        self.closing = True
        self._last = (self.loop.now() if since is None else since) + LAST_REQUEST_MS

    def leave(self) -> None:
        """Accept no more, and end the connections on which no request is under way."""
        self.listener.close()
        self.closing = True
        self.listener.dismiss_resting(SETTLE_MS, 0.0)

    @property
    def left(self) -> bool:
        """True when no service client is connected any more; ends those that rest."""
        self.listener.dismiss_resting(SETTLE_MS, 0.0)
        return not self.listener.open

    def _serve(self, connection: Connection) -> Coroutine[None]:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
        used = False
        while True:
            taken: Optional[Entry] = None
            status, headers = 200, list[tuple[str, str]]()
            try:
                request = yield from self._request(connection, http, used)
                used = True
                if request is None:
                    return
                status, headers, taken = self._answer_or_refuse(request)
            except Refused as refused:
                status = refused.status
                log.info("malformed", extra={"status": status, "why": refused.why})
            try:
                yield from self._reply(connection, http, status, headers)
            except (Broken, Expired) as error:
                log.info("answer not told", extra={"status": status, "why": str(error)})
                if taken is not None:
                    self._withdraw(taken)
                raise
            if taken is not None:
                self.exchange.answered(taken)
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()
            if http.trailing_data[0] or len(connection.inbound):
                yield from connection.let_others_run()

    def _request(
        self, connection: Connection, http: h11.Connection, used: bool
    ) -> Coroutine[Optional[Request]]:
        """Read one request; None at the end of the connection."""
        body = bytearray()
        try:
            return (yield from self._read_request(connection, http, used, body))
        finally:
            self._room.held -= len(body)

    def _read_request(
        self, connection: Connection, http: h11.Connection, used: bool, body: bytearray
    ) -> Coroutine[Optional[Request]]:
        """Read one request; `body` counts in the room until the caller takes it out."""
        head: Optional[h11.Request] = None
        began = self.loop.now()
        until = began + (IDLE_MS if used else REQUEST_MS)
        while True:
            if head is None and too_many_fields(http.trailing_data[0]):
                raise Refused(431, f"more than {FIELDS_MOST} header fields")
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as error:
                raise Refused(error.error_status_hint, str(error)) from None
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    yield from connection.send(
                        http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"", until
                    )
                idle = head is None and not http.trailing_data[0]
                if idle:
                    self.listener.rest(connection, used)
                try:
                    data = yield from connection.receive(min(until, self._last))
                except Broken as error:
                    if not idle:
                        log.info("request cut off", extra={"why": str(error)})
                    raise
                except Expired:
                    if idle:
                        raise
                    # Guards a request whose last byte crosses the end of our patience: it has its answer.
                    raise Refused(503 if self.closing else 408, "the request has no end") from None
                finally:
                    self.listener.wake(connection)
                if idle:
                    began = self.loop.now()
                    until = began + REQUEST_MS
                try:
                    http.receive_data(data)
                except h11.RemoteProtocolError as error:
                    raise Refused(400, str(error)) from None
            elif isinstance(event, h11.Request):
                head, fields = event, dict(event.headers)
                if b"content-length" in fields and b"transfer-encoding" in fields:
                    # Guards against a request hidden in the body of another: two ways to find its end.
                    raise Refused(400, "Content-Length beside Transfer-Encoding")
                if int(fields.get(b"content-length", 0)) > BODY_MOST:
                    raise Refused(413, "body too large")
            elif isinstance(event, h11.Data):
                if len(body) + len(event.data) > BODY_MOST:
                    raise Refused(413, "body too large")
                if not self._room.may_hold(len(body), len(event.data), self.listener.most):
                    raise Refused(503, "too much of other requests is being read")
                body += event.data
                self._room.held += len(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
                return Request(
                    head.method.decode(),
                    head.target.decode().partition("?")[0],
                    headers,
                    bytes(body),
                    self.loop.now(),
                    began,
                    connection.abandoned,
                )
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return None

    def _answer_or_refuse(self, request: Request) -> tuple[int, list[tuple[str, str]], Optional[Entry]]:
        """`_answer`; a fault of ours is a refusal with nothing taken on, so that the client hears."""
        id = request.headers.get("request-id", "")
        known = self.exchange.find("platform", id)
        try:
            return self._answer(request)
        except Refused:
            raise
        except Exception:
            log.exception("request failed", extra={"id": id[:200]})
            if known is None and (taken := self.exchange.find("platform", id)) is not None:
                self.exchange.withdraw(taken)
            return 503, [("Retry-After", f"{REFUSED_MS / 1000.0:.3f}")], None

    def _answer(self, request: Request) -> tuple[int, list[tuple[str, str]], Optional[Entry]]:
        if request.path == "/up":
            if request.method not in ("GET", "HEAD"):
                raise Refused(405, f"{request.method} /up")
            return (200 if self.ready else 503), [], None
        name, keyed, order = request.path[1:].partition("/")
        cls = self.exchange.message_class(name)
        if cls is None or (keyed and not cls.in_order) or "/" in order:
            raise Refused(404, f"no class {request.path[:80]}")
        if request.method != "POST":
            raise Refused(405, f"{request.method} {request.path}")
        if cls.in_order and not _ID.match(order.encode("latin-1")):
            raise Refused(400, "the path names no key, and the class keeps its order")
        command = self._command(request, name, order)
        if self.exchange.find("platform", command.id) is not None:
            return 202, [], None  # held already, and not this request's to withdraw
        if (state := self._past.get(command.id)) is not None:
            return (202 if state == DELIVERED else 409), [], None
        if (state := self.exchange.state_beside("platform", command.id)) is not None:
            return (202 if state in (OWED, DELIVERED) else 409), [], None
        if not self.exchange.serves(command.dest):
            self.exchange.refuse(command, "no such destination")
            if self.exchange.listed:
                raise Refused(404, f"no destination {command.dest}")
            return 503, [("Retry-After", f"{REFUSED_MS / 1000.0:.3f}")], None
        if request.abandoned:
            self.exchange.refuse(command, "its client has left")
            return 503, [("Retry-After", f"{REFUSED_MS / 1000.0:.3f}")], None
        result = self.exchange.take(command)
        if isinstance(result, Refusal):
            return 503, [("Retry-After", f"{result.after_ms / 1000.0:.3f}")], None
        return 202, [], result

    def _command(self, request: Request, name: str, order: str) -> Command:
        headers = request.headers
        cls = self.exchange.message_class(name)
        id, key = headers.get("request-id", ""), headers.get("idempotency-key", "")
        timeout = timeout_ms(headers.get("request-timeout", ""))
        dest = destination(headers.get("x-consignee", ""))
        if not _ID.match(id.encode("latin-1")):
            raise Refused(400, "Request-Id is missing or malformed")
        if timeout is None:
            raise Refused(400, "Request-Timeout is missing or malformed")
        if dest is None:
            raise Refused(400, "X-Consignee names no destination")
        if not self.exchange.knows(name, tenant := headers.get("tenant", "")):
            raise Refused(400, "Tenant is missing or unknown")
        needs_key = cls is not None and cls.effect is api.Effect.KEYED
        if (needs_key or key) and not _ID.match(key.encode("latin-1")):
            raise Refused(400, "Idempotency-Key is missing or malformed")
        return Command(
            id,
            "platform",
            name,
            dest,
            tenant,
            key,
            request.read_at + timeout,
            request.body,
            "client-retry" in headers,
            order=order,
            began=request.began,
            traceparent=headers.get("traceparent", ""),
            tracestate=headers.get("tracestate", ""),
            handed=headers.get("x-request-start", ""),
        )

    def _reply(
        self, connection: Connection, http: h11.Connection, status: int, headers: list[tuple[str, str]]
    ) -> Coroutine[None]:
        # Guards new clients where each keeps a connection of its own: resting ones go too late to make room.
        close = self.closing or self.draining or self.listener.crowded
        # Guards a request that has come behind this one: it was read, so it is answered too.
        close = close and connection.quiet() and not http.trailing_data[0]
        close = close or http.their_state is not h11.DONE or status in (400, 413, 431)
        data = http.send(response(status, close, tuple(headers))) or b""
        until = self.loop.now() + REQUEST_MS
        yield from connection.send(data + (http.send(h11.EndOfMessage()) or b""), until)


@lru_cache(maxsize=64)  # nearly all answers are one of a few, and checking their headers takes time
def response(status: int, close: bool, headers: tuple[tuple[str, str], ...]) -> h11.Response:
    more = [("Content-Length", "0"), *([("Connection", "close")] if close else [])]
    return h11.Response(status_code=status, headers=[*headers, *more])
