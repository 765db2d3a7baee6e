"""Deliveries that are presumed: their connections, and what becomes of them by what else comes there.

It owns each connection on which an answer may have been an earlier call's, for as long as a call's own
answer may still come, or lends it to one more call. An endpoint answers in the order of the calls. So while
nothing but 200 has come, each call's own answer is a 200 or still to come, by the call's time-out at the
latest; and an answer that is surely the last call's proves those before it, where each call had only one.

It must never let such a connection go without a word on each of its messages: confirmed, or disproved.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Optional

import h11

from ashvale.exchange import Exchange
from ashvale.interface import Outcome
from ashvale.journal import Entry
from ashvale.loop import Broken, Coroutine, Expired, Loop, Task
from ashvale.net.answers import DELIVERED, Answer, SurplusAnswers
from ashvale.net.http_client import HttpClient, wait_ms

log = logging.getLogger(__name__)


class End(Enum):
    """How a connection was found at the end of a watch."""

    SILENT = "silent"  # open, with nothing more on it
    CLOSED = "closed"  # the endpoint has ended it in good order, perhaps over a call
    LOST = "lost"  # reset, or ended within an answer


@dataclass
class Doubt:
    """A message that is presumed to be delivered."""

    entry: Entry
    until: float  # its call's own answer has to come by then
    aligned: bool  # each call before it on the connection has surely had its own answer


@dataclass(eq=False)
class Chain:
    """The presumed deliveries of one connection, in the order of their calls; all were answered with 200."""

    endpoint: str
    doubts: list[Doubt] = field(default_factory=list)
    wanted: bool = True  # the connection may serve again afterwards
    spoken: bool = False  # something has come on it with no call out
    task: Optional[Task] = None

    def take_settled(self, now: float) -> list[Entry]:
        """Take out the messages whose own answers have to have come by now."""
        settled = [doubt.entry for doubt in self.doubts if doubt.until <= now]
        self.doubts = [doubt for doubt in self.doubts if doubt.until > now]
        return settled


@dataclass
class Surplus:
    """What came on a connection behind the answer to its last call."""

    end: End = End.SILENT
    answers: list[Answer] = field(default_factory=list)

    @property
    def refusal(self) -> Optional[Answer]:
        """The first answer that is no delivery."""
        return next((answer for answer in self.answers if answer.status != DELIVERED), None)


def read_surplus(
    client: HttpClient,
    until: float,
    stops: Callable[[Answer], bool],
    heard: Callable[[], None] = lambda: None,
) -> Coroutine[Surplus]:
    """Read what comes behind the last answer, until the connection ends or the time is up.

    An answer that `stops` says so of ends it too. `heard` is called when something comes.
    """
    found, reader = Surplus(), SurplusAnswers()
    data = client.http.trailing_data[0]
    try:
        while True:
            if data:
                heard()
            for answer in reader.feed(data):
                found.answers.append(answer)
                if stops(answer):
                    return found
            if not (data := (yield from client.connection.receive(until))):
                found.end = End.LOST if reader.partial else End.CLOSED
                return found
    except Expired:
        found.end = End.LOST if reader.partial else End.SILENT
    except (Broken, h11.RemoteProtocolError):
        found.end = End.LOST
    if reader.head is not None and reader.head.verdict.spent:
        client.final_unbound = True
    return found


@dataclass(frozen=True)
class LastAnswers:
    """The answers that came for the last call of a connection."""

    answers: list[Answer]

    @property
    def marked(self) -> Optional[Answer]:
        """The one that is marked as the connection's last: the call's own, wherever it stands.

        Without it no answer is sure. The end of the connection proves none: it may be over the call, and what
        came before it an earlier call's."""
        return next((answer for answer in self.answers if answer.ends_connection), None)

    @property
    def prior_stands(self) -> bool:
        """Whether the delivery before that call is sure, given which answer is the call's own."""
        before = self.answers if self.marked is None else self.answers[: self.answers.index(self.marked)]
        return len(self.answers) == 1 or all(answer.status == DELIVERED for answer in before)


class Doubts:
    """The connections with presumed deliveries, each watched or lent to one more call."""

    def __init__(self, loop: Loop, exchange: Exchange, give_back: Callable[[str, HttpClient], None]) -> None:
        self.loop, self.exchange, self._give_back = loop, exchange, give_back
        self._watched: dict[HttpClient, Chain] = {}
        self._lent: dict[HttpClient, Chain] = {}

    def __len__(self) -> int:
        return len(self._watched) + len(self._lent)

    def __contains__(self, client: HttpClient) -> bool:
        return client in self._watched

    def add(self, client: HttpClient, endpoint: str, doubt: Doubt) -> None:
        """Listen on a connection, lent for this call or not, until its calls' own answers would have come."""
        chain = self._lent.pop(client, None) or Chain(endpoint)
        chain.doubts.append(doubt)
        self._begin_watch(client, chain)

    def unwanted(self, endpoint: str) -> None:
        """Connections to an endpoint are not to be kept beyond their doubt."""
        for chain in self._watched.values():
            chain.wanted = chain.wanted and chain.endpoint != endpoint

    def lend(self, endpoint: str) -> Optional[HttpClient]:
        """A connection for one more call: the one that has rested longest."""
        for client, chain in self._watched.items():
            silent = not chain.spoken and client.connection.quiet()
            if chain.endpoint == endpoint and silent and client.reusable:
                if chain.task is not None:
                    chain.task.cancel()
                del self._watched[client]
                self._lent[client] = chain
                self._confirm_settled(chain)
                return client
        return None

    def returned(self, client: HttpClient) -> None:
        """The call was not written after all; its connection is watched again."""
        if chain := self._lent.pop(client, None):
            self._begin_watch(client, chain)

    def settle(self, client: HttpClient, stands: Optional[bool]) -> None:
        """The call on a lent connection is over: the deliveries before it stand, or may never have been.

        None where nothing came that says so: those stand whose own answers had to come by now. An answer
        that was read for the call may have been that of one before it, and forbids further calls of that."""
        if (chain := self._lent.pop(client, None)) is None:
            return
        if stands is None:
            self._confirm_settled(chain)
        for doubt in chain.doubts:
            if stands:
                self.exchange.confirm(doubt.entry)
            else:
                self.exchange.disprove(doubt.entry, Outcome.RESET, spent=client.final_unbound)

    def halt(self) -> None:
        """End all of it with no word, as a kill would."""
        for client, chain in [*self._watched.items(), *self._lent.items()]:
            if chain.task is not None:
                chain.task.cancel()
            client.connection.close()
        self._watched, self._lent = {}, {}

    def _begin_watch(self, client: HttpClient, chain: Chain) -> None:
        self._watched[client] = chain
        chain.task = self.loop.spawn(self._watch(client, chain), "watch")

    def _confirm_settled(self, chain: Chain) -> None:
        for entry in chain.take_settled(self.loop.now()):
            self.exchange.confirm(entry)

    def _watch(self, client: HttpClient, chain: Chain) -> Coroutine[None]:
        def heard() -> None:
            chain.spoken = True

        surplus = Surplus()
        while chain.doubts and surplus.end is End.SILENT and surplus.refusal is None:
            until = min(doubt.until for doubt in chain.doubts)
            surplus = yield from read_surplus(client, until, _no_delivery, heard)
            if surplus.answers or surplus.end is not End.SILENT:
                self._note(client, chain, surplus)
            if surplus.refusal is None and surplus.end is End.SILENT:
                self._confirm_settled(chain)
        self._watched.pop(client, None)
        if surplus.refusal is not None:
            self._take_back(client, chain, surplus.refusal)
        for doubt in chain.doubts:
            self.exchange.disprove(doubt.entry, Outcome.RESET, spent=client.final_unbound)
        if chain.wanted and not chain.spoken and client.reusable:
            self._give_back(chain.endpoint, client)
        else:
            client.connection.close()

    @staticmethod
    def _note(client: HttpClient, chain: Chain, surplus: Surplus) -> None:
        log.warning(
            "answer out of turn",
            extra={
                "ids": [doubt.entry.id for doubt in chain.doubts],
                "endpoint": chain.endpoint,
                "connection": client.connection.number,
                "statuses": [answer.status for answer in surplus.answers],
                "end": surplus.end.value,
            },
        )

    def _take_back(self, client: HttpClient, chain: Chain, answer: Answer) -> None:
        """A call's own answer has come, and is no delivery: what was read for it was the copy of another."""
        doubts, chain.doubts = chain.doubts, []
        proven = len(doubts) == 1 and doubts[0].aligned and not client.history.seen(answer.status)
        verdict, wait = answer.verdict, wait_ms(answer.headers)
        for doubt in doubts:
            if verdict.over and proven:
                self.exchange.confirm(doubt.entry)
            else:
                self.exchange.disprove(doubt.entry, verdict.outcome, wait, not proven, verdict.spent)


def _no_delivery(answer: Answer) -> bool:
    return answer.status != DELIVERED
