"""What every carrier of attempts shares: their tasks, and the connections kept for the next one.

It owns the idle connections to endpoints and closes them in time. It must never decide which endpoint is
called, never have two attempts on one connection at once, and never let an attempt end unreported.
"""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections import defaultdict
from typing import Generic, Optional, Protocol, TypeVar

from ashvale.exchange import Attempt, Endpoint, Exchange
from ashvale.interface import Outcome
from ashvale.loop import Connection, Coroutine, Loop, Task, Unavailable, connect, sleep

EARLY_MS = 750.0  # a connection is given up this long before its endpoint would close it
SWEEP_MS = 250.0
log = logging.getLogger(__name__)


class Stopped(Exception):
    """The attempt is not to be written any more, and never ran: a wait was told, or a window has closed."""


class NoConnection(Stopped):
    """This machine could make no connection for the attempt; that says nothing of the endpoint."""


class Client(Protocol):
    """The requesting side of a connection, whatever it speaks."""

    connection: Connection
    calls: int

    @property
    def reusable(self) -> bool: ...

    @property
    def unread(self) -> int:
        """Bytes that have come with no call out."""


C = TypeVar("C", bound=Client)


class Carrier(ABC, Generic[C]):
    """Runs attempts, each on a connection of its own for as long as it lasts."""

    def __init__(self, loop: Loop, exchange: Exchange, most_idle: int) -> None:
        self.loop, self.exchange, self.most_idle = loop, exchange, most_idle
        self._idle: defaultdict[str, list[tuple[C, float]]] = defaultdict(list)
        self._tasks: dict[int, Task] = {}
        self._made: dict[int, Connection] = {}

    @abstractmethod
    def _converse(self, client: Optional[C], attempt: Attempt) -> Coroutine[Optional[C]]:
        """Carry out one attempt and report each part; return what may be used again."""

    def _drop(self, client: C) -> None:
        """End a connection on which nothing is under way."""
        client.connection.close()

    @staticmethod
    def _note_end(endpoint: str, client: C, why: str) -> None:
        """Log why a connection is not kept; what came on it with no call out is worth an operator's look."""
        level = logging.WARNING if client.unread else logging.DEBUG
        log.log(
            level,
            "connection dropped",
            extra={
                "endpoint": endpoint,
                "connection": client.connection.number,
                "calls": client.calls,
                "why": why,
                "unread": client.unread,
            },
        )

    def execute(self, attempt: Attempt) -> None:
        self._tasks[id(attempt)] = self.loop.spawn(self._run(attempt), "attempt")

    def cancel(self, attempt: Attempt) -> None:
        if task := self._tasks.pop(id(attempt), None):
            self._report_all(attempt, Outcome.CANCELLED)
            task.cancel()

    def close_idle(self, endpoint: str) -> None:
        for client, _ in self._idle.pop(endpoint, []):
            self._note_end(endpoint, client, "not wanted any more")
            self._drop(client)

    def probe(self, endpoint: Endpoint) -> None:
        """Ask an endpoint how it is, where its protocol has a way; nothing is known of it then."""
        self.exchange.probed(Attempt(endpoint, self.loop.now(), self.loop.now()), Outcome.MOOT)

    def halt(self) -> None:
        """End every attempt and connection; nothing is reported any more."""
        for task in list(self._tasks.values()):
            task.cancel()
        for name in list(self._idle):
            self.close_idle(name)

    def sweep(self) -> Coroutine[None]:
        """Close what has idled too long or is of no more use."""
        while True:
            yield from sleep(self.loop, SWEEP_MS)
            for name, held in list(self._idle.items()):
                for client, since in held:
                    if not self._usable(client, since):
                        self._note_end(name, client, self._why_not(client))
                        self._drop(client)
                self._idle[name] = [pair for pair in held if not pair[0].connection.closed]
                if not self._idle[name]:
                    del self._idle[name]

    def _run(self, attempt: Attempt) -> Coroutine[None]:
        name = attempt.endpoint.name
        held: Optional[C] = None
        client: Optional[C] = None
        try:
            held = self._reuse(name, attempt)
            attempt.reused = held is not None
            client = yield from self._converse(held, attempt)
        finally:
            self._tasks.pop(id(attempt), None)
            self._report_all(attempt, Outcome.RESET)  # guards the messages against a fault of ours
            made = self._made.pop(id(attempt), None)
            if client is not None:
                self._give_back(name, client)
            if made is not None and (client is None or made is not client.connection):
                made.close()
            if held is not None and held is not client:
                self._let_go(held)

    def _let_go(self, client: C) -> None:
        """An attempt has no more use for a connection, and it is not kept."""
        client.connection.close()

    def _check(self, attempt: Attempt) -> None:
        """To be called before anything is said of a message."""
        if not self.exchange.may_write(attempt):
            raise Stopped

    def _begin(self, attempt: Attempt) -> None:
        """To be called right before a message is written."""
        if not self.exchange.begin(attempt):
            raise Stopped

    def _too_late(self, attempt: Attempt) -> Outcome:
        """How an attempt ended whose time ran out before its last byte was handed over: it never ran.

        Where its windows closed first that says nothing of the endpoint, which is not held to be out.
        """
        return Outcome.CONNECT_FAILED if self.exchange.may_write(attempt) else Outcome.MOOT

    def _connect(self, attempt: Attempt) -> Coroutine[Connection]:
        limit = min(
            attempt.until, self.loop.now() + self.exchange.settings.connect_timeout_ms, max(attempt.by)
        )
        # Guards a message whose window is nearly over against waiting for a connection of no use to it.
        ends = [
            self.loop.call_at(by, lambda: self.exchange.may_write(attempt))
            for by in sorted(set(attempt.by))
            if by < limit
        ]
        try:
            connection = yield from connect(self.loop, attempt.endpoint.address, limit)
        except Unavailable as error:
            log.info("no connection", extra={"endpoint": attempt.endpoint.name, "why": str(error)})
            raise NoConnection from error
        finally:
            for end in ends:
                end.cancel()
        self._made[id(attempt)] = connection
        attempt.connected = self.loop.now()
        return connection

    def _report_all(self, attempt: Attempt, outcome: Outcome) -> None:
        """Report every part that has not been reported yet."""
        for entry in attempt.parts:
            self.exchange.report(attempt, entry, outcome)

    def _usable(self, client: C, since: float) -> bool:
        keep = self.exchange.settings.keepalive_ms - EARLY_MS
        # Guards against a call on a connection that was just closed, or spoken on, and it is not yet told.
        still = client.connection.quiet() and not client.connection.stale
        return still and self.loop.now() - since < keep

    def _fits(self, client: C, attempt: Attempt) -> bool:
        """Whether an answer on that connection would prove of the attempt what has to be proven of it."""
        return True

    def _reuse(self, name: str, attempt: Attempt) -> Optional[C]:
        """The connection used last of those that fit, so that the others may grow old."""
        held = self._idle.get(name, [])
        for at in range(len(held) - 1, -1, -1):
            client, since = held[at]
            if not self._usable(client, since):
                del held[at]
                self._note_end(name, client, self._why_not(client))
                client.connection.close()
            elif self._fits(client, attempt):
                del held[at]
                return client
        return None

    @staticmethod
    def _why_not(client: C) -> str:
        """Why an idle connection is of no more use."""
        connection = client.connection
        if client.unread:
            return "answer out of turn"
        if connection.fault is not None:
            return str(connection.fault)
        return "ended by the endpoint" if connection.ended else "idle for too long"

    def _give_back(self, name: str, client: C) -> None:
        if client.reusable and sum(map(len, self._idle.values())) < self.most_idle:
            self._idle[name].append((client, self.loop.now()))
        else:
            why = "answer out of turn" if client.unread else "not to be used again"
            self._note_end(name, client, "enough are kept" if client.reusable else why)
            client.connection.close()
