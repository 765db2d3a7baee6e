"""What the answers read on one connection prove of the calls that were written on it. No I/O and no clock.

HTTP/1.1 names no request in an answer: it is bound to the call by its place on the connection alone. But a
network may bring an answer again, at any later moment. The copy then has the place of the next call's answer,
and that call's own answer the place of the one after it. So an answer is proven to be a call's own only where

- every call before it on the connection has surely had its own answer, and
- no answer like it came before on the connection, of which it could be a copy; or
- it names the call's messages, as the answer to several does, in words that were not said of them before.

The first answer on a connection is always proven. One that is not is either presumed (a 200: the connection
is watched for the time in which the call's own answer has to come, which would be a surplus), or it says
nothing sure of whether the call ran.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Optional

import h11

from ashvale import exchange
from ashvale.interface import Outcome

DELIVERED = 200


@dataclass
class AnswerHistory:
    """The answers of one connection, in the order in which they were read."""

    certain: bool = True  # each call so far has surely had its own answer
    _statuses: set[int] = field(default_factory=set)
    _words: set[tuple[str, str]] = field(default_factory=set)  # message ids, with what was said of them

    @property
    def proves_refusals(self) -> bool:
        """True where the next answer, if it says that the call never ran, is surely the call's own."""
        return self.certain and self._statuses <= {DELIVERED}

    def seen(self, status: int) -> bool:
        """Whether an answer with this status came before."""
        return status in self._statuses

    def read(self, status: int, words: Mapping[str, str] | None = None) -> bool:
        """Note the answer that came for a call; return whether it is proven to be that call's own.

        `words` is what the answer to several messages says of those of the call.
        """
        said = set((words or {}).items())
        if said - self._words:
            self.certain = True
        else:
            self.certain = self.certain and status not in self._statuses
        self._statuses.add(status)
        self._words |= said
        return self.certain


@dataclass(frozen=True)
class Verdict:
    """What an answer says of a message, if it is the own one of a call with it."""

    outcome: Outcome
    over: str = ""  # the message's end, where it tells that
    spent: bool = False  # no further call may be made: that holds whoever's answer it is


@dataclass(frozen=True)
class Answer:
    """The head of an answer, whatever call it belongs to."""

    status: int
    headers: dict[bytes, bytes]

    @property
    def ends_connection(self) -> bool:
        """Whether it is marked as the last one of its connection, which a copy of an earlier one never is."""
        return b"close" in self.headers.get(b"connection", b"").lower()

    @property
    def line_busy(self) -> bool:
        """Whether it is marked as that of a busy line."""
        return self.headers.get(b"x-line-busy") == b"1"

    @property
    def verdict(self) -> Verdict:
        """What it says of a message; see `verdict_of`."""
        return verdict_of(self.status, self.line_busy)


class SurplusAnswers:
    """Reads answers that come behind that of the last call."""

    def __init__(self) -> None:
        self._http = self._reader()
        self._answer: Optional[Answer] = None
        self.partial = False
        """True where bytes have come that make no whole answer yet."""

    @staticmethod
    def _reader() -> h11.Connection:
        """A parser that takes what comes for the answer to a request."""
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="POST", target="/", headers=[("Host", "x"), ("Content-Length", "0")]))
        http.send(h11.EndOfMessage())
        return http

    @property
    def head(self) -> Optional[Answer]:
        """The answer whose head has come and whose rest has not."""
        return self._answer

    def feed(self, data: bytes) -> Iterator[Answer]:
        """Take what has come; the answers that are whole with it. Raises `h11.RemoteProtocolError`."""
        if data:
            self.partial = True
            self._http.receive_data(data)
        while (event := self._http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response):
                self._answer = Answer(event.status_code, dict(event.headers))
            elif isinstance(event, h11.EndOfMessage) and self._answer is not None:
                whole, rest = self._answer, self._http.trailing_data[0]
                self._http, self._answer, self.partial = self._reader(), None, bool(rest)
                yield whole
                if rest:
                    self._http.receive_data(rest)
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return


def verdict_of(end: int | str, busy: bool = False) -> Verdict:
    """What a status, or a word of a batch's answer, says of a message; `busy`: of a busy line."""
    if end in (200, "delivered"):
        return Verdict(Outcome.OK)
    if end in (410, "over"):
        return Verdict(Outcome.MOOT, exchange.DELIVERED, spent=True)
    if end in (504, "spent"):
        return Verdict(Outcome.MOOT, spent=True)
    if end == 503 and busy:
        return Verdict(Outcome.MOOT)
    if end in (429, 503, "refused"):
        return Verdict(Outcome.FULL)
    return Verdict(Outcome.ERROR)  # an answer that is not understood proves nothing
