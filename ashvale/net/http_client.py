"""The requesting side of HTTP/1.1, parsed by h11: one connection's requests, and what their answers say.

It knows neither messages nor the exchange. It never sends a request a second time on its own.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Optional

import h11

from ashvale.loop import (
    FOREVER,
    Address,
    Broken,
    Connection,
    Coroutine,
    Expired,
    Loop,
    connect,
)
from ashvale.net.answers import Answer, AnswerHistory

if TYPE_CHECKING:
    from ashvale.exchange import Attempt

BODY_MOST, HEAD_MOST = 64 * 1024, 16 * 1024
CONNECT_MS = 1000.0  # a connection to discovery's agent comes up within this, or another is tried


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
    attempt: Optional[Attempt] = None  # is told when things happened
    proven: Optional[bool] = None  # whether it is surely the request's own answer, once that was judged
    aligned: bool = False  # each call before it on the connection has surely had its own answer
    presumed: bool = False  # it says that the message is delivered, and is not proven
    ends: Optional[dict[str, str]] = None  # how it says that each of several messages ended, by id

    @property
    def answer(self) -> Answer:
        """Its head."""
        return Answer(self.status, self.headers)


class OutOfTurn(Exception):
    """Something came on a connection that rested, right before a request: nothing of that was written."""


class HttpClient:
    """The requesting side of one connection."""

    def __init__(self, connection: Connection, address: Address) -> None:
        self.connection, self.host = connection, f"{address[0]}:{address[1]}"
        self.calls = 0  # written on this connection
        self.final_unbound = False  # an answer that forbids further calls has come, and may be any call's
        self.history = AnswerHistory()
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
        """One request and its answer; `reply` tells how far it came, whatever happens.

        Raises `OutOfTurn` where the connection is of no more use, with nothing written."""
        if self.calls and not (self.connection.quiet() and not self.connection.stale):
            raise OutOfTurn
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        headers = [("Host", self.host), *headers]
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        if reply.attempt is not None and reply.attempt.last:
            headers.append(("Connection", "close"))
        data = [self.http.send(h11.Request(method=method, target=target, headers=headers))]
        data.append(self.http.send(h11.Data(data=body)) if body else b"")
        data.append(self.http.send(h11.EndOfMessage()))
        self.calls += 1
        if reply.attempt is not None:
            reply.attempt.connection, reply.attempt.place = self.connection.number, self.calls
        by = reply.attempt.by if reply.attempt is not None else []
        yield from self.connection.send(b"".join(part or b"" for part in data), min([until, *by]))
        reply.written = True
        if reply.attempt is not None:
            reply.attempt.written = self.connection.loop.now()
        start = b""
        while True:
            try:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if reply.status and not reply.partial:
                        reply.partial = True
                        until = min(until, self.connection.loop.now() + reply.on_head(reply))
                    received = yield from self.connection.receive(until)
                    if reply.attempt is not None and not reply.attempt.first and received:
                        reply.attempt.first = self.connection.loop.now()
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
        """Guards an end whose answer broke off after its first line: that line already says it."""
        line = re.match(rb"HTTP/1\.[01] (200|410|504)(?:[ \r][^\n]*)?\n", start)
        if line is not None and not reply.status:
            reply.status = int(line[1])

    @property
    def reusable(self) -> bool:
        # Guards the next request against what came behind an answer: it would be read as its own answer.
        done = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        return done and not self.http.trailing_data[0] and not self.connection.stale

    @property
    def unread(self) -> int:
        """Bytes that have come behind the last answer."""
        done = self.http.their_state is h11.DONE
        return len(self.connection.inbound) + (len(self.http.trailing_data[0]) if done else 0)


class Channel:
    """Requests to discovery's agent or to a peer, one at a time.

    Each has a connection of its own, as nothing else binds the answer to it. With `keep` a connection is kept
    for the next one: for peers, whose answers say nothing that anything rests on.
    """

    def __init__(self, loop: Loop, address: Address, keep: bool = False) -> None:
        self.loop, self.address, self.keep = loop, address, keep
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
        """The status and body of the answer."""
        client = self._kept()
        if client is None:
            where = self.address
            # Guards a long poll, and a move to another agent, against a machine that does not answer at all.
            by = min(until, self.loop.now() + CONNECT_MS)
            client = HttpClient((yield from connect(self.loop, where, by)), where)
            if where != self.address:  # moved on meanwhile
                client.connection.close()
        self._busy = client
        try:
            reply = Reply(most=64 * BODY_MOST)
            headers = [] if self.keep else [("Connection", "close")]
            try:
                yield from client.ask(method, target, headers, body, until, reply)
            except OutOfTurn:
                raise Broken("spoken to out of turn") from None
            if client.reusable and self.keep:
                self._open = client
            return reply.status, bytes(reply.body)
        finally:
            self._busy = None
            if self._open is not client:
                client.connection.close()

    def _kept(self) -> Optional[HttpClient]:
        """The connection kept from the request before, if it is still of use."""
        client, self._open = self._open, None
        if client is None or (client.connection.quiet() and not client.connection.stale):
            return client
        client.connection.close()
        return None
