"""The driver of one courier's part in the fleet: peers over plain HTTP, the disk beside the loop, the log.

It owns the peers' listener, one sending task for each peer, and the order of save, send and tell. It must
never hold the loop or one peer up for another, never send what rests on a save that has not ended, and never
take part with a folder that failed: the courier delivers on without it.

`POST /fleet/1/FLEET` carries xxh64 of the body, seeded by the fleet's name, and an envelope in MessagePack;
the answer is 204, and what is to be said comes back as a call of its own. `GET /fleet/1/FLEET/status` and
`/log` tell what this courier knows; `POST /fleet/1/FLEET/WHAT` has something decided: `put`, and what
`_ORDERS` names for drains and bans. All only for addresses of peers and for the loopback.
"""

from __future__ import annotations

import logging
import os
import subprocess
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, Optional

import h11
import msgspec
import xxhash

from ashvale.fleet.agent import Agent, Effects, Setup
from ashvale.fleet.members import Rhythm, Status
from ashvale.fleet.messages import Envelope, Health
from ashvale.fleet.permits import REASON_MOST, Budget
from ashvale.fleet.record import Role, Timing
from ashvale.fleet.releases import BACK, VERBS, Plan, faults
from ashvale.fleet.state import (
    Ask,
    Begin,
    Call,
    Command,
    Declare,
    Forget,
    Maint,
    Put,
    Result,
    Steer,
    Unban,
)
from ashvale.fleet.store import Spoilt, Store
from ashvale.loop import Broken, Connection, Coroutine, Expired, Listener, Loop, Signal, Task, Timer, lasting
from ashvale.net.background import run_in_thread
from ashvale.net.http_client import Channel

if TYPE_CHECKING:
    from ashvale.config import Fleet
    from ashvale.exchange import Siblings

VERSION = 1
BODY_MOST = 1024 * 1024  # bytes of one message
CALL_MS = 1500.0  # one call between peers may take so long
CALLERS_MOST = 64
WAITING_MOST = 64  # messages that wait for one peer; the oldest go, as the newest say more
INPUTS_MOST = 1024  # what waits while a save is under way
LOCK_MS = 500.0  # how often a folder is asked for that the process before an upgrade still has
LOG_MOST = 200  # entries in one answer
DOOR_MS = 900.0  # a caller at the operator's door waits a second
ASK_AGAIN_MS = 5000.0  # when to come back after a no for which nothing better is known
STEP_LOOK_MS = 100.0  # how often the command of a step is looked after
_ORDERS = ("put", "drain", "ready", "forget", "budget", "ban", "unban", "release", "steer")
_REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Too Large",
    503: "Service Unavailable",
}
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Envelope)
log = logging.getLogger(__name__)


def pack(fleet: str, envelope: Envelope) -> bytes:
    body = bytes(_encode(envelope))
    return xxhash.xxh64_digest(body, _seed(fleet)) + body


def unpack(fleet: str, data: bytes) -> Envelope:
    """Raises `ValueError` on what is no message of this fleet."""
    if len(data) < 8 or xxhash.xxh64_digest(data[8:], _seed(fleet)) != data[:8]:
        raise ValueError("checksum")
    try:
        return _decoder.decode(data[8:])
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def _seed(fleet: str) -> int:
    return xxhash.xxh32_intdigest(fleet.encode())


class Order(msgspec.Struct, forbid_unknown_fields=True):
    """What an operator orders; which of it counts is for the call to say."""

    who: str = ""
    why: str = ""
    courier: str = ""  # this one where none is named
    kind: str = "drain"
    wait: bool = False
    despite: str = ""
    dry: bool = False
    endpoint: str = ""
    ends_ms: float = 0.0
    budget: Optional[Budget] = None
    plan: Optional[Plan] = None
    verb: str = ""
    key: str = ""
    data: str = ""
    expect: int = -1


class Service:
    """What a courier's part in the fleet may do to the courier itself, and ask of it."""

    def drain(self, on: bool) -> None:
        """Send clients away, or take them again."""

    def ban(self, names: frozenset[str]) -> None:
        """Give nothing new to these endpoints, which the fleet has banned."""

    def ready(self) -> bool:
        """Whether it takes messages and knows where to send them, but for a drain."""
        return True

    def by_hand(self) -> list[str]:
        """Endpoints that are banned at this courier's own door."""
        return []

    def health(self) -> tuple[int, int, int]:
        """Ends in this life, how many of them were given up, and what is owed."""
        return 0, 0, 0

    def endpoint(self, name: str) -> Optional[Siblings]:
        """An endpoint's partner and building, and of that partner all listed and the ready ones with their
        buildings; None where it was never listed."""
        return None


class Peer:
    """Messages on their way to one peer, one call at a time."""

    def __init__(self, loop: Loop, address: tuple[str, int], target: str) -> None:
        self.loop, self.target = loop, target
        self.channel = Channel(loop, address, keep=True)
        self.waiting: deque[bytes] = deque(maxlen=WAITING_MOST)
        self.more = Signal()
        self.refused = 0
        self.said = ""

    def add(self, data: bytes) -> None:
        self.waiting.append(data)
        self.more.fire()

    def run(self) -> Coroutine[None]:
        while True:
            while not self.waiting:
                yield self.more, float("inf")
            data = self.waiting.popleft()
            try:
                status, body = yield from self.channel.ask(
                    "POST", self.target, data, self.loop.now() + CALL_MS
                )
            except (Broken, Expired):
                continue  # who needs it asks again
            if status != 204:
                self.refused += 1
                if (said := f"{status} {body[:200].decode('utf-8', 'replace')}") != self.said:
                    log.error("peer refuses", extra={"peer": self.channel.address, "why": said})
                self.said = said if status != 204 else ""


class Node:
    """One courier's part in the fleet, on a loop."""

    def __init__(
        self,
        loop: Loop,
        told: Fleet,
        state: Path,
        service: Optional[Service] = None,
        random: Optional[Random] = None,
    ) -> None:
        self.loop, self.told, self.service = loop, told, service or Service()
        self._drained, self._bans = False, frozenset[str]()
        self.folder = state / "fleet"
        self.random = random or Random(os.urandom(16))
        self.life = os.urandom(8).hex()
        self.setup = Setup(
            told.name,
            told.courier,
            tuple(p.name for p in told.peers if p.name != told.courier),
            tuple(p.name for p in told.peers if p.votes),
            Timing(told.election_ms, told.beat_ms, told.drift),
            Rhythm(told.every_ms, 0.8 * told.every_ms, told.suspect_ms),
            told.follow_ms,
            tuple((p.name, p.building) for p in told.peers if p.building),
        )
        self.store: Optional[Store] = None
        self.agent: Optional[Agent] = None
        self.why = "not begun"  # why it takes no part
        self._inputs: deque[Callable[[Agent], Effects]] = deque()
        self._saving = False
        self._timer: Optional[Timer] = None
        self._answers: dict[str, Callable[[Result], None]] = {}
        self._numbers = 0
        target = f"/fleet/{VERSION}/{told.name}"
        self.peers = {p.name: Peer(loop, p.address, target) for p in told.peers if p.name != told.courier}
        self._trusted = {p.address[0] for p in told.peers} | {"127.0.0.1", "::1"}
        self.listener: Optional[Listener] = None
        self.ended = False
        self.tasks: list[Task] = [
            loop.spawn(lasting(loop, peer.run, "fleet peer"), "fleet peer") for peer in self.peers.values()
        ]
        self._begin()

    def _begin(self) -> None:
        """Take the address and the folder, and take part.

        What another process still has is asked for again: guards an upgrade, in which the process before this
        one takes part to its end.
        """
        if self.ended:
            return
        try:
            self.store = self.store or Store(self.folder, self.told.name, self.told.courier)
        except OSError as error:  # another process has it, or the system lacked something just now
            if str(error) != self.why and not isinstance(error, BlockingIOError):
                log.error("folder not opened, trying again", extra={"why": str(error)})
            self.why = str(error)
            self.loop.call_at(self.loop.now() + LOCK_MS, self._begin)
            return
        except Spoilt as error:
            self.why = str(error)
            log.error("takes no part in the fleet", extra={"why": self.why})
        try:
            self.listener = Listener(self.loop, self.told.listen, self._serve, CALLERS_MOST, "fleet")
        except OSError as error:
            log.error("no place for peers to call", extra={"why": str(error)})
            self.loop.call_at(self.loop.now() + LOCK_MS, self._begin)
            return
        if self.store is None:  # it tells whoever asks why it takes no part
            return
        self.agent = Agent(
            self.setup, self.store.saved, self.store.kept, self.life, self.random, self.loop.now()
        )
        self.agent.version = self.told.version
        self.why = ""
        # Guards banned endpoints against what a start finds owed: the folder's bans hold from the first.
        self._keep_bans(self.agent)
        log.info(
            "takes part in the fleet",
            extra={
                "fleet": self.told.name,
                "courier": self.told.courier,
                "incarnation": self.agent.kept.incarnation,
                "voters": ",".join(self.agent.record.voters),
            },
        )
        self._input(lambda agent: agent.tick(self.loop.now()))

    # Save, send, tell

    def _input(self, step: Callable[[Agent], Effects]) -> bool:
        if self.agent is None or self.why or len(self._inputs) >= INPUTS_MOST:
            return False
        self._inputs.append(step)
        self._pump()
        return True

    def _pump(self) -> None:
        while self._inputs and not self._saving and self.agent is not None and not self.why:
            agent, store = self.agent, self.store
            assert store is not None
            agent.minute, agent.ready = int(time.time()) // 60 % 1440, self.service.ready()
            agent.health = Health(*self.service.health())
            fx = self._inputs.popleft()(agent)
            if not fx.saves:
                self._carry_out(agent, fx)
                continue
            self._save(agent, store, fx)
        self._arm()

    def _save(self, agent: Agent, store: Store, fx: Effects) -> None:
        """Write beside the loop, so that a slow disk holds no message up; then go on."""
        data, whole = store.plan(agent, fx)
        self._saving = True

        def saved(outcome: None | Exception) -> None:
            self._saving = False
            if self.ended:
                store.close()
            elif isinstance(outcome, Exception):
                self.why = f"not saved: {outcome}"
                log.error("takes no part in the fleet any more", extra={"why": self.why})
                self._unanswered(self.why)
            else:
                self._carry_out(agent, fx)
                self._pump()

        run_in_thread(self.loop, lambda: store.write(data, whole), saved)

    def _carry_out(self, agent: Agent, fx: Effects) -> None:
        # First the courier itself: what is said to others rests on it.
        if (drained := agent.out > 0) is not self._drained:
            self._drained = drained
            log.info("out of service" if drained else "in service again", extra={"permit": agent.out})
            self.service.drain(drained)
        self._keep_bans(agent)
        for event, fields in fx.changes:
            log.info(event, extra=fields)
        if agent.stopped:
            self._unanswered(agent.stopped)
        if fx.step[0]:
            self._run_step(agent, *fx.step)
        for name, body in fx.sends:
            if (peer := self.peers.get(name)) is not None:
                peer.add(pack(self.told.name, agent.envelope(name, body)))
        for id, result in fx.results:
            if (answer := self._answers.pop(id, None)) is not None:
                answer(result)

    def _keep_bans(self, agent: Agent) -> None:
        """Have the courier keep to the bans that the record holds now."""
        if (bans := agent.bans()) != self._bans:
            self._bans = bans
            self.service.ban(bans)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.agent is not None and not self._saving and not self.why and (due := self.agent.due) < 1e17:
            self._timer = self.loop.call_at(
                max(due, self.loop.now() + 1.0),
                lambda: self._input(lambda agent: agent.tick(self.loop.now())),
            )

    # What a courier asks

    def request(self, command: Command, answer: Callable[[Result], None]) -> None:
        """Have a command decided; `answer` is called once, in time, whatever comes."""
        self._answers[command.id] = answer
        if not self._input(lambda agent: agent.request(command, self.loop.now())):
            self._answers.pop(command.id)(Result(False, 0, self.why or "too much under way"))

    def _unanswered(self, why: str) -> None:
        """Whoever waits is told that it is not known: guards callers against a record that has ended here."""
        answers, self._answers = self._answers, {}
        for answer in answers.values():
            answer(Result(False, 0, f"unknown: {why}"))

    def holds(self, lease: str) -> int:
        """The number of a lease that may be used right now, or 0."""
        return self.agent.holds(lease, self.loop.now()) if self.agent is not None and not self.why else 0

    def id(self) -> str:
        self._numbers += 1
        return f"{self.told.courier}-{self.life}-{self._numbers}"

    def status(self) -> dict[str, Any]:
        """All that this courier knows, for `ashvale fleet status`."""
        agent, now = self.agent, self.loop.now()
        told: dict[str, Any] = {
            "fleet": self.told.name,
            "courier": self.told.courier,
            "life": self.life,
            "part": not self.why,
            "why": self.why,
        }
        if agent is None:
            return told
        record = agent.record
        told |= {
            "incarnation": agent.kept.incarnation,
            "lost": agent.kept.lost,
            "why": self.why or agent.stopped,
            "leader": record.leader,
            "role": record.role.value,
            "term": record.term,
            "commit": record.commit,
            "last": record.last,
            "applied": agent.state.applied,
            "voters": list(record.voters),
            "votes": agent.kept.lost is False and record.may_vote,
            "majority": record.leads_until(now) > now if record.role is Role.LEADER else bool(record.leader),
            "members": [
                {
                    "name": self.told.courier,
                    "status": Status(agent.members.own.status).name.lower(),
                    "incarnation": agent.kept.incarnation,
                    "since_ms": 0,
                },
                *(
                    {
                        "name": name,
                        "status": m.status.name.lower(),
                        "incarnation": m.view.incarnation,
                        "since_ms": round(now - m.since),
                    }
                    for name, m in sorted(agent.members.members.items())
                ),
            ],
            "leases": {
                name: {"holder": lease.holder, "number": lease.number, "ttl_ms": lease.ttl}
                for name, lease in sorted(agent.state.leases.items())
            },
            "keys": {
                key: {"data": value.data, "index": value.index}
                for key, value in sorted(agent.state.keys.items())[:LOG_MOST]
            },
        }
        return told | self._service_status(agent, now)

    def _service_status(self, agent: Agent, now: float) -> dict[str, Any]:
        """Who is out and why, who waits, which endpoints are banned and who is known to keep to that."""
        state, leads = agent.state, agent.record.role is Role.LEADER
        known = agent.confirmed_bans() if leads else {}
        names = [self.told.courier, *self.setup.peers]
        leader = next((p.address for p in self.told.peers if p.name == agent.record.leader), ("", 0))
        return {
            "leader_at": f"{leader[0]}:{leader[1]}",
            "out": agent.out,
            "ready": self.service.ready(),
            "budget": msgspec.to_builtins(state.budget),
            "permits": {name: msgspec.to_builtins(permit) for name, permit in sorted(state.permits.items())},
            "queue": [msgspec.to_builtins(waiting) for waiting in state.queue],
            "counted_out": sorted({*agent.outs(), *state.permits}),
            "release": msgspec.to_builtins(state.rollout),
            "past": msgspec.to_builtins(state.past),
            "health": {name: [h.ends, h.given_up, h.owed] for name, (_, h) in sorted(agent.told.items())}
            if leads
            else {self.told.courier: list(self.service.health())},
            "version": self.told.version,
            "by_hand": self.service.by_hand(),
            "bans": {
                name: msgspec.to_builtins(ban)
                | (
                    {
                        "confirmed": sorted(n for n in names if known.get(n, 0) >= ban.number),
                        "missing": sorted(n for n in names if known.get(n, 0) < ban.number),
                    }
                    if leads
                    else {}
                )
                for name, ban in sorted(state.bans.items())
            },
        }

    def entries(self) -> list[dict[str, Any]]:
        """The latest decided entries."""
        if self.agent is None:
            return []
        record = self.agent.record
        decided = [e for e in record.log if e.index <= record.commit][-LOG_MOST:]
        return [
            {"index": e.index, "term": e.term, "kind": e.kind, "data": e.data.decode("utf-8", "replace")}
            for e in decided
        ]

    # The peers' door

    def _serve(self, connection: Connection) -> Coroutine[None]:
        try:
            host = connection.sock.getpeername()[0]
        except OSError:
            return
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        while True:
            status, body = 400, b""
            try:
                found = yield from self._request(connection, http)
                if found is None:
                    return
                method, path, data = found
                status, body = self._answer(host, method, path, data)
                if body is None:
                    status, body = yield from self._decided(path.rpartition("/")[2], data)
            except h11.RemoteProtocolError as error:
                status, body = error.error_status_hint, b""
            except _TooLarge:
                status = 413
            head = h11.Response(
                status_code=status,
                reason=_REASONS.get(status, "No"),
                headers=[("Content-Length", str(len(body)))]
                + ([("Connection", "close")] if status >= 400 else []),
            )
            out = (http.send(head) or b"") + (http.send(h11.Data(data=body)) or b"" if body else b"")
            out += http.send(h11.EndOfMessage()) or b""
            yield from connection.send(out, self.loop.now() + CALL_MS)
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    def _request(
        self, connection: Connection, http: h11.Connection
    ) -> Coroutine[Optional[tuple[str, str, bytes]]]:
        """One request, whole and bounded; None at the end. A peer may rest between two."""
        assert self.listener is not None
        head: Optional[h11.Request] = None
        body, until = bytearray(), self.loop.now() + 30_000.0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if head is None:
                    self.listener.rest(connection, True)
                try:
                    data = yield from connection.receive(until)
                finally:
                    self.listener.wake(connection)
                if head is None:
                    until = self.loop.now() + CALL_MS
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_MOST:
                    raise _TooLarge
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return head.method.decode(), head.target.decode("latin-1"), bytes(body)
            else:
                return None

    def _answer(self, host: str, method: str, path: str, data: bytes) -> tuple[int, Any]:
        """Status and body; None for a body that is yet to be decided."""
        if host not in self._trusted:
            return 403, b"not an address of this fleet"
        words = path.split("/")
        if len(words) < 4 or words[1] != "fleet":
            return 404, b"no such path"
        if words[2] != str(VERSION):
            return 409, f"version {VERSION} is spoken here".encode()
        if words[3] != self.told.name:
            return 409, f"this is fleet {self.told.name}".encode()
        what = "/".join(words[4:])
        if method == "GET" and what in ("status", "log"):
            return 200, msgspec.json.encode(self.status() if what == "status" else self.entries())
        if method == "POST" and what in _ORDERS:
            return 200, None
        if method != "POST" or what:
            return 404, b"no such call"
        try:
            envelope = unpack(self.told.name, data)
        except ValueError as error:
            log.warning("message not understood", extra={"from": host, "why": str(error)[:200]})
            return 400, str(error)[:200].encode()
        if envelope.sender not in self.peers:
            return 403, f"no peer is called {envelope.sender}".encode()[:200]
        if not self._input(lambda agent: agent.receive(envelope, self.loop.now())):
            return 503, (self.why or "too much under way").encode()[:500]
        return 204, b""

    def _decided(self, what: str, data: bytes) -> Coroutine[tuple[int, bytes]]:
        try:
            order = msgspec.json.decode(data, type=Order)
            command = self._command(what, order)
        except (msgspec.MsgspecError, ValueError) as error:
            return 400, str(error)[:200].encode()
        if order.dry and isinstance(command, Begin) and self.agent is not None:
            names = {self.told.courier, *self.setup.peers}
            wrong = faults(command.plan, names, self.agent.state.budget)
            if (now := self.agent.state.rollout) is not None:
                wrong.append(f"release '{now.plan.name}' is under way")
            dry = Result(not wrong, 0, "; ".join(wrong))
            return (409 if wrong else 200), msgspec.json.encode(dry)
        if order.dry and isinstance(command, Ask) and self.agent is not None:
            no = self.agent.may_go(command.courier, self.loop.now())
            dry = Result(no is None, 0, no.why if no else "", no.after_ms if no else 0.0)
            return (200 if no is None else 409), msgspec.json.encode(dry)
        if isinstance(command, Call) and command.courier == self.told.courier:
            self.come_back()
        result = yield from self.decide(command, float("inf"))
        return (200 if result.ok else 409), msgspec.json.encode(result)

    def _command(self, what: str, order: Order) -> Command:
        """What an order comes to. Raises `ValueError`, by the faulty key."""
        names = [self.told.courier, *self.setup.peers]
        courier = order.courier or self.told.courier
        if order.dry and what not in ("drain", "release"):  # guards a rehearsal against being carried out
            raise ValueError("'dry' is for drains and releases alone")
        if what == "put":
            if not order.key:
                raise ValueError("'key' is missing")
            return Put(self.id(), order.key, order.data, order.expect, order.who)
        for key in ("who", "why") if what in ("drain", "ban", "budget", "forget", "release") else ("who",):
            if not (text := str(getattr(order, key))).strip() or len(text) > REASON_MOST:
                raise ValueError(f"'{key}' is missing, or longer than {REASON_MOST} characters")
        if len(order.despite) > REASON_MOST:
            raise ValueError(f"'despite' is longer than {REASON_MOST} characters")
        if what in ("drain", "ready", "forget") and courier not in names:
            raise ValueError(f"'courier' is '{courier}', which no courier is called")
        if what == "drain":
            if order.kind not in ("drain", "restart"):
                raise ValueError(f"'kind' is '{order.kind}', 'drain' or 'restart' was expected")
            own = self.agent.kept.incarnation if self.agent is not None and courier == names[0] else 0
            return Ask(self.id(), courier, order.kind, order.who, order.why, order.wait, order.despite, own)
        if what == "ready":
            return Call(self.id(), courier, order.who)
        if what == "forget":
            return Forget(self.id(), courier, order.who, order.why)
        if what == "release":
            if order.plan is None:
                raise ValueError("'plan' is missing")
            return Begin(self.id(), order.plan, order.who, order.why)
        if what == "steer":
            if order.verb not in VERBS:
                raise ValueError(f"'verb' is '{order.verb[:40]}', which is no order to a release")
            return Steer(self.id(), order.verb, order.who, order.why, order.courier)
        if what == "unban":
            return Unban(self.id(), order.endpoint, order.who)
        if what == "budget":
            if order.budget is None:
                raise ValueError("'budget' is missing")
            return Declare(self.id(), order.budget, order.who, order.why)
        if (found := self.service.endpoint(order.endpoint)) is None:
            raise ValueError(f"'endpoint' is '{order.endpoint[:80]}', which was never listed")
        return Maint(
            self.id(),
            order.endpoint,
            found.dest,
            order.who,
            order.why,
            found.zone,
            order.ends_ms,
            order.despite,
            found.listed,
            found.ready,
        )

    def decide(self, command: Command, until: float) -> Coroutine[Result]:
        """Have a command decided; after `until` it is told as unknown."""
        found: list[Result] = []
        done = Signal()

        def answer(result: Result) -> None:
            found.append(result)
            done.fire()

        self.request(command, answer)
        while not found:
            if self.loop.now() >= until:
                return Result(False, 0, "unknown: not decided in time")
            try:
                yield done, until
            except Expired:
                pass
        return found[0]

    # Steps of releases

    def _run_step(self, agent: Agent, step: str, way: str, release: str, permit: int) -> None:
        """Run the operator's own command, in a session of its own: it may end this very process."""
        run, back = self.told.steps.get(step, ((), ()))
        words = back if way == BACK else run
        log.info("step begins", extra={"step": step, "way": way, "release": release})
        if not words:
            agent.step_ended = f"no command for step '{step}', {way}, in the file of {self.told.courier}"
            return
        try:
            process = subprocess.Popen(
                words,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
                env={
                    **os.environ,
                    "ASHVALE_STEP": step,
                    "ASHVALE_WAY": way,
                    "ASHVALE_RELEASE": release,
                    "ASHVALE_PID": str(os.getpid()),
                    "ASHVALE_PERMIT": str(permit),
                },
            )
        except OSError as error:
            agent.step_ended = f"step '{step}' cannot be run: {error}"
            return

        def look() -> None:
            if (code := process.poll()) is None:
                self.loop.call_at(self.loop.now() + STEP_LOOK_MS, look)
                return
            log.info("step ended", extra={"step": step, "way": way, "code": code})
            agent.step_ended = f"step '{step}' ended with {code}" if code else ""

        look()

    # This courier in and out of service

    def come_back(self) -> None:
        """An operator calls this courier back into service: at once, whoever may know of it."""
        if not self._input(lambda agent: agent.come_back(self.loop.now())):
            self.service.drain(False)  # guards service against a record that cannot be written any more

    def _called_back(self) -> None:
        """Have the record say that this courier was called back at its door, for nobody who waits for it."""
        self.request(Call(self.id(), self.told.courier, "door"), lambda _result: None)

    def asked_to_drain(self, on: bool) -> Coroutine[tuple[int, float]]:
        """At the operator's door: a status and, with a no, when to come back (ms). Out of service goes who
        holds a permit; coming back needs nobody's leave."""
        if not on:
            self.come_back()
            self._called_back()
            return 200, 0.0
        own = self.agent.kept.incarnation if self.agent is not None else 0
        ask = Ask(self.id(), self.told.courier, "drain", "door", "asked at the operator's door", life=own)
        result = yield from self.decide(ask, self.loop.now() + DOOR_MS)
        if result.ok:
            return 200, 0.0
        log.info("no permit", extra={"why": result.why})
        if result.why.startswith("unknown"):  # guards a caller that was told no against a late yes
            self._called_back()
        return 503, result.after_ms or ASK_AGAIN_MS

    def leave(self) -> None:
        """Tell others that this courier goes by its own will."""
        self._input(lambda agent: agent.leave(self.loop.now()))

    def close(self) -> None:
        """End without a word, as a kill would."""
        self.why, self.ended = self.why or "ended", True
        if self._timer is not None:
            self._timer.cancel()
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
            for connection in list(self.listener.open):
                connection.close()
        if self.store is not None and not self._saving:
            self.store.close()


class _TooLarge(Exception):
    pass
