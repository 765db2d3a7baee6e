"""Calls to endpoints by the platform's protocol: HTTP/1.1, parsed by h11, on connections that are kept.

It translates attempts to requests, and says of each answer what it proves on its connection. It must never
decide where or when a message goes, and never send a request a second time on its own.
"""

from __future__ import annotations

import logging
import re
from typing import Optional

from ashvale.exchange import Attempt, Endpoint, Exchange
from ashvale.interface import Outcome, Scarcity
from ashvale.journal import Entry
from ashvale.loop import FOREVER, Broken, Coroutine, Expired, Loop, Unavailable, connect
from ashvale.net.answers import DELIVERED, Answer, verdict_of
from ashvale.net.doubts import Doubt, Doubts, End, LastAnswers, Surplus, read_surplus
from ashvale.net.http_client import HttpClient, OutOfTurn, Reply, wait_ms
from ashvale.net.pool import Carrier, NoConnection, Stopped

LINGER_MS = 250.0  # the rest of an answer that is settled may trickle in for this long
REST_MS = 80.0  # the rest of a refusal has this long to come, or the answer is spoilt
PROBE_MS = 1500.0  # a probe is answered within this, or it has failed
LOAD_MOST = 1024  # characters of a load report that are looked at
RATE_MOST = 1e6  # calls a second that a load report may tell
_LOAD = re.compile(r"(?<![^\s,])(\w{1,40})=(\d{1,12}(?:\.\d{1,12})?)(?![^\s,])")
log = logging.getLogger(__name__)


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


class Pool(Carrier[HttpClient]):
    """Carries attempts to endpoints as calls, and says of each answer what it proves on its connection."""

    def __init__(self, loop: Loop, exchange: Exchange, most_idle: int) -> None:
        super().__init__(loop, exchange, most_idle)
        self.doubts = Doubts(loop, exchange, self._give_back)
        self._marks: dict[str, bool] = {}  # endpoints asked for a connection's end, and whether they mark it
        self._asking: dict[str, Attempt] = {}  # the first that asks an endpoint, until it is known to mark

    def close_idle(self, endpoint: str) -> None:
        super().close_idle(endpoint)
        if endpoint not in self.exchange.endpoints:
            self._marks.pop(endpoint, None)
            self._asking.pop(endpoint, None)
        self.doubts.unwanted(endpoint)

    def halt(self) -> None:
        super().halt()
        self.doubts.halt()

    def _fits(self, client: HttpClient, attempt: Attempt) -> bool:
        if attempt.ordered or (attempt.once and not client.history.proves_refusals):
            return False
        # Guards descriptors: an answer that would have to be watched is asked to be the connection's last.
        return len(self.doubts) < self.most_idle or not self._would_presume(client, attempt)

    def _reuse(self, name: str, attempt: Attempt) -> Optional[HttpClient]:
        """One whose answer proves enough; else one for its last call, whose end proves the answer.

        Where connections are scarce a call may follow on presumed deliveries, if more wait behind it."""
        ends = self._may_end(name, attempt)
        if (client := super()._reuse(name, attempt)) is not None:
            attempt.last = ends and attempt.scarcity is Scarcity.LAST and self._would_presume(client, attempt)
        elif ends and (held := self._idle.get(name)):
            client, _ = held.pop()
            attempt.last = True
        elif (extends := self._extends(attempt)) or ends:
            client = self.doubts.lend(name)
            attempt.last = client is not None and not extends
        if attempt.last and name not in self._marks:
            self._asking[name] = attempt
        return client

    def _may_end(self, name: str, attempt: Attempt) -> bool:
        """Whether a call may ask for its connection's end as proof: the endpoint is to mark its last answer.

        What may not be taken back goes so only where it surely does; of the others one finds that out."""
        if (marks := self._marks.get(name)) is not None:
            return marks
        return attempt.revocable and not self._is_out(self._asking.get(name))

    def _is_out(self, attempt: Optional[Attempt]) -> bool:
        return attempt is not None and id(attempt) in self._tasks

    def _would_presume(self, client: HttpClient, attempt: Attempt) -> bool:
        """Whether a delivery by that connection would not be proven by its answer's place or words."""
        return client.history.seen(DELIVERED) and not self.exchange.takes_several(attempt.endpoint)

    def _extends(self, attempt: Attempt) -> bool:
        """Whether a call may go on a connection with presumed deliveries, and be presumed as well."""
        waits = attempt.scarcity is Scarcity.WAITING
        return attempt.revocable and waits and len(self.doubts) < self.most_idle

    def _is_free(self, client: HttpClient) -> bool:
        """Settle what was presumed before the call, which is over; whether nothing holds the connection."""
        self.doubts.settle(client, None)
        return client not in self.doubts

    def _let_go(self, client: HttpClient) -> None:
        if self._is_free(client):
            super()._let_go(client)

    def _give_back(self, name: str, client: HttpClient) -> None:
        if self._is_free(client):
            super()._give_back(name, client)

    def _converse(self, client: Optional[HttpClient], attempt: Attempt) -> Coroutine[Optional[HttpClient]]:
        reply, endpoint = Reply(attempt=attempt), attempt.endpoint
        outcome, later = Outcome.CONNECT_FAILED, False
        try:
            if client is not None and not (yield from self._ask_on_kept(client, attempt, reply)):
                client = None
            if client is None:
                client = HttpClient((yield from self._connect(attempt)), endpoint.address)
                self._begin(attempt)
                yield from self._ask(client, attempt, reply)
        except Stopped as stopped:
            outcome, later = Outcome.MOOT, isinstance(stopped, NoConnection)
            if client is not None:
                self.doubts.returned(client)
        except Expired:
            outcome = Outcome.TIMEOUT if reply.written else self._too_late(attempt)
        except Broken as error:
            log.debug("attempt broke", extra={"endpoint": endpoint.name, "why": str(error)})
            outcome = Outcome.RESET if reply.written else Outcome.CONNECT_FAILED
        # An answer that is spoilt says nothing, but for a first line with 200 where it concerns one message.
        if client is not None and (reply.whole or (reply.status == DELIVERED and not attempt.named)):
            yield from self._take_answer(client, attempt, reply)
        for entry in attempt.parts:
            wait, spent = wait_ms(reply.headers), _says_spent(attempt, entry, reply)
            if client is not None and spent and not reply.proven:
                client.final_unbound = True
            self.exchange.report(attempt, entry, outcome, wait, no_slot=later, spent=spent)
        if client is not None and reply.proven is False and client not in self.doubts:
            # Guards its messages against a second call beside the first, which may be out and ends here.
            self._note_end(endpoint.name, client, "the answer may be another call's")
            return None
        return client

    def _ask_on_kept(self, client: HttpClient, attempt: Attempt, reply: Reply) -> Coroutine[bool]:
        """Call on a connection that was used before; False where something has come on it out of turn."""
        self._begin(attempt)
        try:
            yield from self._ask(client, attempt, reply)
        except OutOfTurn:
            self._note_end(attempt.endpoint.name, client, self._why_not(client))
            self.doubts.returned(client)
            attempt.reused = attempt.last = False
            return False
        return True

    def _take_answer(self, client: HttpClient, attempt: Attempt, reply: Reply) -> Coroutine[None]:
        """Settle the attempt, and the deliveries presumed before it, by what the answer proves."""
        self._judge(client, attempt, reply)
        if attempt.last and reply.whole and not reply.proven:
            yield from self._conclude(client, attempt, reply)
        elif reply.presumed:
            self._doubt(client, attempt, reply)
        else:
            self.doubts.settle(client, bool(reply.proven))
            self._settle(attempt, reply)

    def _judge(self, client: HttpClient, attempt: Attempt, reply: Reply) -> None:
        """Say once what the answer proves, and presume a delivery that it does not prove."""
        if reply.proven is not None:
            return
        if reply.status == DELIVERED and attempt.named:
            reply.ends = decode_batch(bytes(reply.body))
        ends = reply.ends or {}
        named = {entry.id: ends[entry.id] for entry in attempt.parts if entry.id in ends}
        reply.aligned, seen = client.history.certain, client.history.seen(reply.status)
        attempt.status, reply.proven = reply.status, client.history.read(reply.status, named)
        if not reply.proven:
            client.final_unbound = client.final_unbound or reply.answer.verdict.spent
            _note_doubt(attempt, reply, seen)
        reply.presumed = not reply.proven and reply.status == DELIVERED and not attempt.named
        if reply.presumed:
            self._settle(attempt, reply)

    def _doubt(self, client: HttpClient, attempt: Attempt, reply: Reply) -> None:
        """Watch the connection of a delivery that is presumed; one that broke off shows nothing any more."""
        entry = attempt.parts[0]
        if reply.whole:
            self.doubts.add(client, attempt.endpoint.name, Doubt(entry, attempt.until, reply.aligned))
        else:
            self.exchange.disprove(entry, Outcome.RESET)

    def _conclude(self, client: HttpClient, attempt: Attempt, reply: Reply) -> Coroutine[None]:
        """Learn what the answer to a connection's last call proves, by what marks or follows it."""
        name, first = attempt.endpoint.name, reply.answer
        surplus = Surplus()
        if not first.ends_connection:
            surplus = yield from read_surplus(
                client, attempt.until, lambda found: self._hear_last(attempt, found)
            )
        found = LastAnswers([first, *surplus.answers])
        own = found.marked
        if own is not None:
            self._marks[name] = True
        else:
            self._marks.setdefault(name, False)
        if first is not own:
            extra = {"endpoint": name, "connection": client.connection.number, "end": surplus.end.value}
            log.info("last answer not marked", extra=extra | {"statuses": [a.status for a in found.answers]})
        silent = surplus.end is End.SILENT and surplus.refusal is None
        if own is None and reply.presumed and silent and attempt.revocable:
            return self._doubt(client, attempt, reply)  # as sure as any delivery behind which nothing came
        if any(answer.verdict.spent for answer in found.answers if answer is not own):
            client.final_unbound = True
        self.doubts.settle(client, found.prior_stands if own is not None else False)
        reply.proven = own is not None
        if own is not None and not reply.presumed:
            reply.status, reply.headers = own.status, own.headers
        spent = own is None and client.final_unbound
        self._settle(attempt, reply, spent)
        if reply.presumed:
            self._end_presumed(attempt.parts[0], own, spent)

    def _hear_last(self, attempt: Attempt, found: Answer) -> bool:
        """Whether an answer is marked as the last; a wait that it tells binds, whoever's answer it is."""
        if (wait := wait_ms(found.headers)) > 0:
            self.exchange.hear_wait_in_head(attempt, wait)
        return found.ends_connection

    def _end_presumed(self, entry: Entry, own: Optional[Answer], spent: bool) -> None:
        """Say what became of a delivery that was presumed, by the call's own answer, if that is known."""
        if own is None:
            return self.exchange.disprove(entry, Outcome.RESET, spent=spent)
        verdict = own.verdict
        if verdict.over or verdict.outcome is Outcome.OK:
            self.exchange.confirm(entry)
        else:
            self.exchange.disprove(entry, verdict.outcome, wait_ms(own.headers), spent=verdict.spent)

    def _ask(self, client: HttpClient, attempt: Attempt, reply: Reply) -> Coroutine[None]:
        wait = f"{max(1, round(attempt.until - self.loop.now()))}m"
        reply.on_head = lambda reply: self._first(client, attempt, reply)
        # An answer that names its message proves more than one that does not, on a connection used before.
        used = client.history.seen(DELIVERED) and self.exchange.takes_several(attempt.endpoint)
        attempt.named = len(attempt.parts) > 1 or used
        if attempt.named:
            body = encode_batch(attempt.parts)
            headers = [("Request-Timeout", wait), *self.exchange.trace_headers(attempt)]
            yield from client.ask("POST", "/hook/batch", headers, body, attempt.until, reply)
            return
        entry = attempt.parts[0]
        headers = [("Request-Id", entry.id), ("Request-Timeout", wait)]
        if entry.key:
            headers.insert(1, ("Idempotency-Key", entry.key))
        headers += self.exchange.trace_headers(attempt)
        yield from client.ask("POST", "/hook", headers, entry.body, attempt.until, reply)

    def _first(self, client: HttpClient, attempt: Attempt, reply: Reply) -> float:
        """Guards slots: a delivery is settled by its first line and does not wait for a rest that trickles.

        A refusal is none before it is whole, as a spoilt answer proves nothing; but its wait binds at once.
        """
        if (wait := wait_ms(reply.headers)) > 0:
            self.exchange.hear_wait_in_head(attempt, wait)
        if reply.status != DELIVERED:
            return REST_MS
        if attempt.named:
            return FOREVER
        self._judge(client, attempt, reply)
        if reply.presumed:
            return FOREVER
        self._settle(attempt, reply)
        return LINGER_MS

    def _settle(self, attempt: Attempt, reply: Reply, spent: bool = False) -> None:
        """Report each message of the call by what has come back, and by what that proves.

        `spent`: an answer that may be the call's own says that no further call may be made."""
        wait, busy = wait_ms(reply.headers), reply.answer.line_busy
        load = self._load(reply)
        for entry in attempt.parts:
            end = reply.status if reply.ends is None else reply.ends.get(entry.id, "")
            verdict = verdict_of(end, busy)
            outcome = verdict.outcome
            if outcome is Outcome.FULL and _crowded(attempt, reply, wait):
                outcome = Outcome.CROWDED
            self.exchange.report(
                attempt,
                entry,
                outcome,
                wait,
                verdict.over if reply.proven else "",
                outcome is Outcome.MOOT and busy,
                load,
                not reply.proven,
                spent or verdict.spent,
            )

    def _load(self, reply: Reply, body: bytes = b"") -> dict[str, float]:
        """The load report in an answer's head, or in the body of a probe's answer."""
        if not (fields := self.exchange.settings.report_fields):
            return {}
        return load_report((reply.headers.get(b"server-load") or body).decode("latin-1"), fields)

    def probe(self, endpoint: Endpoint) -> None:
        self.loop.spawn(self._probe(endpoint), "probe")

    def _probe(self, endpoint: Endpoint) -> Coroutine[None]:
        """Ask an endpoint how it is. To its partner that is a call like any other: it keeps to waits."""
        began = self.loop.now()
        call, reply = Attempt(endpoint, began, began + PROBE_MS), Reply()
        outcome, load = Outcome.CONNECT_FAILED, dict[str, float]()
        client: Optional[HttpClient] = None
        try:
            # Guards what is learned of its health against an earlier call's answer: its connection is new.
            limit = min(call.until, began + self.exchange.settings.connect_timeout_ms)
            client = HttpClient((yield from connect(self.loop, endpoint.address, limit)), endpoint.address)
            if not self.exchange.may_go(call):
                outcome = Outcome.MOOT
            else:
                target = "/metrics/load" if self.exchange.settings.report_fields else "/alive"
                yield from client.ask("GET", target, [], b"", call.until, reply)
                outcome = verdict_of(reply.status).outcome
                client.history.read(reply.status)
                load = self._load(reply, bytes(reply.body))
        except Unavailable:
            outcome = Outcome.MOOT
        except (Broken, Expired) as error:
            outcome = Outcome.TIMEOUT if isinstance(error, Expired) else Outcome.RESET
        finally:
            if client is not None:
                self._give_back(endpoint.name, client)
            self.exchange.probed(call, outcome, wait_ms(reply.headers), load)


def _says_spent(attempt: Attempt, entry: Entry, reply: Reply) -> bool:
    """Whether what has come of an answer, whole or not, says that no further call may be made."""
    if reply.status != DELIVERED or not attempt.named:
        return verdict_of(reply.status).spent
    lines = bytes(reply.body[: reply.body.rfind(b"\n") + 1])
    return verdict_of(decode_batch(lines).get(entry.id, "")).spent


def _note_doubt(attempt: Attempt, reply: Reply, seen: bool) -> None:
    """Log an answer that its connection does not prove to be the call's own, and why it does not."""
    log.log(
        logging.DEBUG if reply.status == DELIVERED else logging.INFO,
        "answer not proven",
        extra={
            "ids": [entry.id for entry in attempt.parts],
            "endpoint": attempt.endpoint.name,
            "connection": attempt.connection,
            "place": attempt.place,
            "status": reply.status,
            "why": "one like it came before" if seen else "an earlier answer may have been a copy",
        },
    )


def _crowded(attempt: Attempt, reply: Reply, wait: float) -> bool:
    """Tell a full connection table from a limit: it turns a new connection away and ends it, with no wait.

    Guards pacing: forty couriers' idle connections fill a short table, and each would take that for a limit.
    """
    ends = reply.answer.ends_connection
    return reply.status == 503 and ends and wait <= 0.0 and not attempt.reused
