"""The platform's protocol: HTTP/1.1 on both sides, parsed by h11.

It owns the server for service clients, the pool of connections to instances, the watch on discovery and the
notices. It translates: commands and executions to and from HTTP. It must never decide where or when a message
goes, never answer 202 before the exchange has taken a command, and never send a request a second time on its
own.
"""

from __future__ import annotations

import json
import logging
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random
from typing import Any, Optional

import h11

from ashvale import interface as api
from ashvale.config import ConfigError, address, get
from ashvale.exchange import DELIVERED, NACK_MS, RETURNED, Command, Exchange, Execution, Instance, Nack
from ashvale.interface import Outcome
from ashvale.journal import Entry
from ashvale.loop import (
    FOREVER,
    Address,
    Broken,
    Connection,
    Coroutine,
    Expired,
    Listener,
    Loop,
    Signal,
    connect,
    sleep,
)
from ashvale.net.pool import Carrier, Stopped

BODY_MOST, HEAD_MOST = 64 * 1024, 16 * 1024
REQUEST_MS = 2000.0  # a service client has this long for one request, and to begin with its first
IDLE_MS = 75000.0  # and may leave its connection idle for this long
PAST_MOST = 2048  # ids of messages that are over, kept to know them again
LINGER_MS = 250.0  # the rest of an answer that is settled may trickle in for this long
REST_MS = 80.0  # the rest of a refusal has this long to come, or the answer is spoilt
LAST_REQUEST_MS = 3100.0  # after SIGTERM a request that is not whole by then is answered as it is
SETTLE_MS = 400.0  # and a new connection that says nothing for so long is ended
# How long a watch may wait, and discovery's agent to answer. Together less than the 6 s after which what a
# watch that fell silent has missed counts as told.
WATCH_MS, AGENT_MS = 4000.0, 1000.0
NOTICE_MS = 200.0  # the agent answers notices at once; what is late to be told counts as lost
RETRY_MS = (50.0, 1000.0)  # pauses between tries at discovery's agent: first and longest
BUSY_MS = (20.0, 16000.0)  # where it turns lists away: first, for each courier of the fleet, and longest
NOTICES_MOST = 400  # lines in one notice
LOAD_MOST = 1024  # characters of a load report that are looked at
PROBE_MS = 1500.0  # a probe is answered within this, or it has failed
RATE_MOST = 1e6  # calls a second that a list may say a partner takes
_ID = re.compile(rb"[!-~]{1,200}\Z")
_DEST = re.compile(r"(?:^|[;,\s])dest=(\d{1,9})(?:$|[;,\s])")
_LOAD = re.compile(r"(?<![^\s,])(\w{1,40})=(\d{1,12}(?:\.\d{1,12})?)(?![^\s,])")
_TIMEOUT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z")
log = logging.getLogger(__name__)


class Refused(Exception):
    """A request that is answered with an error status."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


# Parsers


def timeout_ms(text: str) -> Optional[float]:
    """`480m` is 480 milliseconds, `480u` as many microseconds."""
    found = _TIMEOUT.match(text.strip())
    return None if found is None else float(found[1]) / (1000.0 if found[2] == "u" else 1.0)


def destination(text: str) -> Optional[str]:
    found = _DEST.search(text)
    return None if found is None else str(int(found[1]))


def wait_ms(headers: dict[bytes, bytes]) -> float:
    """The wait that an answer tells, in milliseconds; 0 if it tells none."""
    for name, unit in ((b"x-come-back-ms", 1.0), (b"retry-after", 1000.0)):
        try:
            value = float(headers[name]) * unit
        except (KeyError, ValueError):
            continue
        if 0.0 < value < 1e9:
            return value
    return 0.0


def load_report(text: str, fields: tuple[str, ...]) -> dict[str, float]:
    """What an endpoint tells of its load, as far as the settings name it: `TEXT x0=0.4, x1=25`.

    Guards pacing against figures that are none: what is garbled, negative, huge or not listed is left out.
    """
    found = dict[str, float]()
    for name, value in _LOAD.findall(text[:LOAD_MOST]):
        if name in fields and 0.0 <= (figure := float(value)) <= RATE_MOST:
            found[name] = figure
    return found


def encode_batch(parts: list[Entry]) -> bytes:
    lines = (f"{e.id} {e.key or '-'} {len(e.body)}\r\n".encode() + e.body + b"\r\n" for e in parts)
    return b"".join(lines)


def decode_batch(body: bytes) -> dict[str, str]:
    """How each message of a batch ended, by id."""
    ends = dict[str, str]()
    for line in body.decode("utf-8", "replace").splitlines():
        id, *words = line.split() or [""]
        # Guards the rule on repeats against an answer that contradicts itself: it proves nothing.
        ends[id] = words[0] if len(words) == 1 and ends.get(id, words[0]) == words[0] else ""
    return {id: end for id, end in ends.items() if end}


def decode_host(data: Any) -> Instance:
    """One line of discovery's list."""
    try:
        where = address(get(data, "dial", str, "", "host"), "dial", "host")
    except ConfigError:  # one line that cannot be used must not cost the others
        where = "0.0.0.0", 0
    state = get(data, "health", str, what="host")
    return Instance(
        name=get(data, "host", str, what="host"),
        dest=str(get(data, "block", int, 0, "host")),
        address=where,
        kind=get(data, "class", str, "", "host"),
        zone=get(data, "site", str, "", "host"),
        ready=state == "SERVING",
        gone=state == "DELETED",
        # Guards pacing against a rate that is none: a negative one, no number, or an endless one.
        rate=share if 0.0 < (share := get(data, "share", float, 0.0, "host")) <= RATE_MOST else 0.0,
        born_ms=get(data, "born_ms", float, 0.0, "host"),
    )


def decode_hosts(data: Any) -> tuple[int, bool, list[Instance]]:
    """Discovery's answer: version, whether the list is whole, and its lines."""
    hosts = get(data, "hosts", list, what="list")
    return (
        get(data, "seq", int, what="list"),
        get(data, "whole", bool, what="list"),
        [decode_host(host) for host in hosts],
    )


# The service clients' side


@dataclass
class Request:
    """One request of a service client, read whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    read_at: float
    began: float = 0.0  # its first byte was there


class Server:
    """Takes commands from service clients, and tells their ends by notices."""

    def __init__(self, loop: Loop, exchange: Exchange, address: Address, most: int, notices: Notices) -> None:
        self.loop, self.exchange, self.notices = loop, exchange, notices
        self.closing = False
        self.draining = False  # operators send clients away: /up says no and no connection is kept
        self._last = FOREVER  # no request is waited for beyond this
        self._past: dict[str, str] = {}
        self.listener = Listener(loop, address, self._serve, most, "platform", reuse_port=True)

    def ended(self, entry: Entry) -> None:
        # Guards a message that is over against a second life under its id, as another client may send it.
        self._past[entry.id] = entry.state
        if len(self._past) > PAST_MOST:
            del self._past[next(iter(self._past))]
        if entry.state in (RETURNED, "failed"):
            self.notices.add(entry)
        else:
            self.exchange.told(entry)

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

    def last_call(self) -> None:
        """The process is to end: every answer ends its connection, and no request is waited for too long."""
        self.closing = True
        self._last = self.loop.now() + LAST_REQUEST_MS

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
                status, headers, taken = self._answer(request)
            except Refused as refused:
                status = refused.status
                log.info("malformed", extra={"status": status, "why": refused.why})
            try:
                yield from self._reply(connection, http, status, headers)
            except (Broken, Expired):
                if taken is not None:
                    self.exchange.withdraw(taken)
                raise
            if taken is not None:
                self.exchange.answered(taken)
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    def _request(
        self, connection: Connection, http: h11.Connection, used: bool
    ) -> Coroutine[Optional[Request]]:
        """Read one request; None at the end of the connection."""
        head: Optional[h11.Request] = None
        began = self.loop.now()
        body, until = bytearray(), began + (IDLE_MS if used else REQUEST_MS)
        while True:
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
                body += event.data
                if len(body) > BODY_MOST:
                    raise Refused(413, "body too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
                return Request(
                    head.method.decode(),
                    head.target.decode().partition("?")[0],
                    headers,
                    bytes(body),
                    self.loop.now(),
                    began,
                )
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return None

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
        if not self.exchange.serves(command.dest):
            self.exchange.refuse(command, "no such destination")
            if self.exchange.listed:
                raise Refused(404, f"no destination {command.dest}")
            return 503, [("Retry-After", f"{NACK_MS / 1000.0:.3f}")], None
        result = self.exchange.take(command)
        if isinstance(result, Nack):
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


class Channel:
    """Requests to discovery's agent, one at a time, on a connection that is kept."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop, self.address = loop, address
        self._open: Optional[HttpClient] = None
        self._busy: Optional[HttpClient] = None

    def move(self, address: Address) -> None:
        """The agent is elsewhere from now on; a request under way ends as `Broken`."""
        if address != self.address:
            self.address = address
            for client in (self._open, self._busy):
                if client is not None:
                    client.connection.close()

    def ask(self, method: str, target: str, body: bytes, until: float) -> Coroutine[tuple[int, bytes]]:
        client, self._open = self._open, None
        if client is None or not client.connection.quiet() or client.connection.stale:
            if client is not None:
                client.connection.close()
            where = self.address
            client = HttpClient((yield from connect(self.loop, where, until)), where)
            if where != self.address:  # moved on meanwhile
                client.connection.close()
        self._busy = client
        try:
            reply = Reply(most=64 * BODY_MOST)
            yield from client.ask(method, target, [], body, until, reply)
            if client.reusable:
                self._open = client
            return reply.status, bytes(reply.body)
        finally:
            self._busy = None
            if self._open is not client:
                client.connection.close()


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
        pause, most = RETRY_MS[0], NOTICES_MOST
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
                pause, most = RETRY_MS[0], NOTICES_MOST
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


# The instances' side


@dataclass
class Reply:
    """What has come back so far of one request."""

    written: bool = False
    whole: bool = False
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    most: int = BODY_MOST
    # Where the rest is still to come: how long it may take. It is given the reply, as one that held it would
    # make a ring of references, and calls with their messages would wait for the collector.
    on_head: Callable[[Reply], float] = lambda _reply: FOREVER
    partial: bool = False  # that was asked
    execution: Optional[Execution] = None  # is told when things happened


class HttpClient:
    """The requesting side of one connection."""

    def __init__(self, connection: Connection, address: Address) -> None:
        self.connection, self.host = connection, f"{address[0]}:{address[1]}"
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_MOST)

    def ask(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        until: float,
        reply: Reply,
    ) -> Coroutine[None]:
        """One request and its answer; `reply` tells how far it came, whatever happens."""
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        headers = [("Host", self.host), *headers]
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        data = [self.http.send(h11.Request(method=method, target=target, headers=headers))]
        data.append(self.http.send(h11.Data(data=body)) if body else b"")
        data.append(self.http.send(h11.EndOfMessage()))
        by = reply.execution.by if reply.execution is not None else []
        yield from self.connection.send(b"".join(part or b"" for part in data), min([until, *by]))
        reply.written = True
        if reply.execution is not None:
            reply.execution.written = self.connection.loop.now()
        start = b""
        while True:
            try:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if reply.status and not reply.partial:
                        reply.partial = True
                        until = min(until, self.connection.loop.now() + reply.on_head(reply))
                    received = yield from self.connection.receive(until)
                    if reply.execution is not None and not reply.execution.first and received:
                        reply.execution.first = self.connection.loop.now()
                    start = start if reply.status else (start + received)[:64]
                    self.http.receive_data(received)
            except h11.RemoteProtocolError as error:
                self._first_line(start, reply)
                raise Broken(f"no HTTP answer: {error}") from None
            except (Broken, Expired):
                self._first_line(start, reply)
                raise
            if isinstance(event, h11.Response):
                reply.status, reply.headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.InformationalResponse):
                if self.connection.loop.now() >= until:  # guards against announcements that never end
                    raise Expired("no answer but announcements")
            elif isinstance(event, h11.Data):
                reply.body += event.data
                if len(reply.body) > reply.most:
                    raise Broken("the answer is too large")
            elif isinstance(event, h11.EndOfMessage):
                reply.whole = True
                return
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise Broken("no answer")

    @staticmethod
    def _first_line(start: bytes, reply: Reply) -> None:
        """Guards a delivery whose answer broke off after its first line: that line already says it."""
        if not reply.status and re.match(rb"HTTP/1\.[01] 200[ \r][^\n]*\n|HTTP/1\.[01] 200\r?\n", start):
            reply.status = 200

    @property
    def reusable(self) -> bool:
        # Guards the next request against what came behind an answer: it would be read as its own answer.
        done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        return done and not self.http.trailing_data[0] and not self.connection.stale


class Pool(Carrier[HttpClient]):
    """Carries executions to instances as calls."""

    def _converse(
        self, client: Optional[HttpClient], execution: Execution
    ) -> Coroutine[Optional[HttpClient]]:
        reply, instance = Reply(execution=execution), execution.instance
        outcome = Outcome.CONNECT_FAILED
        try:
            if client is None:
                client = HttpClient((yield from self._connect(execution)), instance.address)
            self._begin(execution)
            yield from self._ask(client, execution, reply)
        except Stopped:
            outcome = Outcome.MOOT
        except Expired:
            outcome = Outcome.TIMEOUT if reply.written else self._too_late(execution)
        except Broken as error:
            log.debug("execution broke", extra={"instance": instance.name, "why": str(error)})
            outcome = Outcome.RESET if reply.written else Outcome.CONNECT_FAILED
        # An answer that is spoilt says nothing, but for a first line with 200 where it concerns one message.
        if reply.whole or (reply.status == 200 and len(execution.parts) == 1):
            self._settle(execution, reply)
        for entry in execution.parts:
            self.exchange.report(execution, entry, outcome, wait_ms(reply.headers))
        return client

    def _ask(self, client: HttpClient, execution: Execution, reply: Reply) -> Coroutine[None]:
        wait = f"{max(1, round(execution.until - self.loop.now()))}m"
        reply.on_head = lambda reply: self._first(execution, reply)
        if len(execution.parts) > 1:
            body = encode_batch(execution.parts)
            headers = [("Request-Timeout", wait), *self.exchange.trace_headers(execution)]
            yield from client.ask("POST", "/hook/batch", headers, body, execution.until, reply)
            return
        entry = execution.parts[0]
        headers = [("Request-Id", entry.id), ("Request-Timeout", wait)]
        if entry.key:
            headers.insert(1, ("Idempotency-Key", entry.key))
        headers += self.exchange.trace_headers(execution)
        yield from client.ask("POST", "/hook", headers, entry.body, execution.until, reply)

    def _first(self, execution: Execution, reply: Reply) -> float:
        """Guards slots: a delivery is settled by its first line and does not wait for a rest that trickles.

        A refusal is none before it is whole, as a spoilt answer proves nothing; but its wait binds at once.
        """
        if (wait := wait_ms(reply.headers)) > 0:
            self.exchange.hush(execution, wait)
        if reply.status != 200:
            return REST_MS
        if len(execution.parts) > 1:
            return FOREVER
        self._settle(execution, reply)
        return LINGER_MS

    def _settle(self, execution: Execution, reply: Reply) -> None:
        """Report each message of the call by what has come back."""
        wait, busy = wait_ms(reply.headers), reply.headers.get(b"x-line-busy") == b"1"
        load = self._load(reply)
        ends = decode_batch(bytes(reply.body)) if reply.status == 200 and len(execution.parts) > 1 else None
        for entry in execution.parts:
            end = reply.status if ends is None else ends.get(entry.id, "")
            outcome, over = outcome_of(end, busy)
            if outcome is Outcome.FULL and _crowded(execution, reply, wait):
                outcome = Outcome.CROWDED
            self.exchange.report(
                execution, entry, outcome, wait, over, outcome is Outcome.MOOT and busy, load
            )

    def _load(self, reply: Reply, body: bytes = b"") -> dict[str, float]:
        """The load report in an answer's head, or in the body of a probe's answer."""
        if not (fields := self.exchange.settings.report_fields):
            return {}
        return load_report((reply.headers.get(b"server-load") or body).decode("latin-1"), fields)

    def probe(self, instance: Instance) -> None:
        self.loop.spawn(self._probe(instance), "probe")

    def _probe(self, instance: Instance) -> Coroutine[None]:
        """Ask an instance how it is. To its partner that is a call like any other: it keeps to waits."""
        began = self.loop.now()
        call, reply = Execution(instance, began, began + PROBE_MS), Reply()
        outcome, load = Outcome.CONNECT_FAILED, dict[str, float]()
        client: Optional[HttpClient] = None
        try:
            if (client := self._reuse(instance.name)) is None:
                limit = min(call.until, began + self.exchange.settings.connect_timeout_ms)
                client = HttpClient(
                    (yield from connect(self.loop, instance.address, limit)), instance.address
                )
            if not self.exchange.may_go(call):
                outcome = Outcome.MOOT
            else:
                target = "/metrics/load" if self.exchange.settings.report_fields else "/alive"
                yield from client.ask("GET", target, [], b"", call.until, reply)
                outcome, _ = outcome_of(reply.status)
                load = self._load(reply, bytes(reply.body))
        except (Broken, Expired) as error:
            outcome = Outcome.TIMEOUT if isinstance(error, Expired) else Outcome.RESET
        finally:
            if client is not None:
                self._give_back(instance.name, client)
            self.exchange.probed(call, outcome, wait_ms(reply.headers), load)


def _crowded(execution: Execution, reply: Reply, wait: float) -> bool:
    """Tell a full connection table from a limit: it turns a new connection away and ends it, with no wait.

    Guards pacing: forty couriers' idle connections fill a short table, and each would take that for a limit.
    """
    ends = b"close" in reply.headers.get(b"connection", b"").lower()
    return reply.status == 503 and ends and wait <= 0.0 and not execution.reused


def outcome_of(end: int | str, busy: bool = False) -> tuple[Outcome, str]:
    """What a status, or a word of a batch's answer, says of a message; and its end where it is over."""
    if end in (200, "delivered"):
        return Outcome.OK, ""
    if end in (410, "over"):
        return Outcome.MOOT, DELIVERED
    if end in (504, "spent") or (end == 503 and busy):
        return Outcome.MOOT, ""
    if end in (429, 503, "refused"):
        return Outcome.FULL, ""
    return Outcome.ERROR, ""  # an answer that is not understood proves nothing


# Discovery


def list_pause(tries: int, busy: bool, couriers: int, random: Random) -> float:
    """How long to leave discovery alone after so many failed tries in a row.

    Guards a list service that turns requests away against a fleet that asks again in lockstep: the pause is
    spread, doubles, and begins as long as the fleet is large. Silence costs nobody: its pauses stay short.
    """
    first, most = (BUSY_MS[0] * max(1, couriers), BUSY_MS[1]) if busy else RETRY_MS
    return min(most, first * 2.0 ** min(tries, 16)) * random.uniform(0.5, 1.5)


class Discovery:
    """Follows discovery's list for as long as the courier runs."""

    def __init__(self, loop: Loop, exchange: Exchange, address: Address, random: Random) -> None:
        self.loop, self.exchange, self.random = loop, exchange, random
        self.channel = Channel(loop, address)
        self._afresh = False
        self._known: Optional[int] = None  # the version that changes are asked for

    def move(self, address: Address) -> None:
        """Follow another agent; what the old one has told stays until the new one has told its whole list."""
        self.channel.move(address)
        self._afresh = True

    def known(self, data: Any) -> None:
        """Start with the list as the courier last had it."""
        if data:
            seq, _, hosts = decode_hosts(data)
            self.exchange.instances_known(api.ListKind.CACHED, hosts, seq)
            self._known = seq

    def run(self) -> Coroutine[None]:
        tries = 0
        while True:
            if self._afresh:
                self._known, tries, self._afresh = None, 0, False
            seq, wait, target = self._known, 0.0, "/discovery/hosts"
            if seq is not None:
                wait = WATCH_MS
                target += f"?since={seq}&timeout_ms={WATCH_MS:.0f}"
            until = self.loop.now() + wait + AGENT_MS
            status = 0
            try:
                status, body = yield from self.channel.ask("GET", target, b"", until)
                if self._afresh:
                    raise Broken("the agent is elsewhere")
                if status != 200:
                    raise Broken(f"status {status}")
                version, whole, hosts = decode_hosts(json.loads(body))
                if seq is not None and version < seq:
                    raise ConfigError(f"list: version {version} came after {seq}")
                self._known = version
            except (Broken, Expired, ConfigError, ValueError) as error:
                log.warning("discovery silent", extra={"why": str(error), "since": seq})
                if not isinstance(error, (Broken, Expired)) or status in (400, 404, 410):
                    self._known = None  # guards against a change that was not understood: ask for all of it
                tries = 0 if isinstance(error, Expired) else tries  # silence has been waited for already
                if not self._afresh:
                    busy = status in (429, 503)
                    couriers = self.exchange.settings.forwarders
                    yield from sleep(self.loop, list_pause(tries, busy, couriers, self.random))
                tries += 1
                continue
            tries = 0
            if whole or hosts:
                kind = api.ListKind.FULL if whole else api.ListKind.DELTA
                self.exchange.instances_known(kind, hosts, self._known)
