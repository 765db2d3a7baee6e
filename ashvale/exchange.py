"""The exchange: the only place where the service clients' side and the endpoints' side meet.

It owns the messages held, and drives the Controller, its timers and the journal. It knows no wire: fronts
hand it commands and are told how these end, carriers are given attempts and report how those end. It must
never decide where or when anything is sent (that is `ashvale/control.py`), never say that a message is taken
before the journal has it, and never let an attempt begin before the journal says so.

Events are gathered for one tick and handled with one time, so what leaves together can travel in one call.
"""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Optional, Protocol

from ashvale import interface as api
from ashvale.control import Controller
from ashvale.interface import Outcome
from ashvale.journal import Entry, Full, Journal
from ashvale.journal_follower import OWED
from ashvale.loop import Loop

if TYPE_CHECKING:  # loaded only where they are on
    from ashvale.routing.door import Door
    from ashvale.routing.router import Facts

REFUSED_MS = 500.0  # when to come back after a refusal at the door
UNHEARD = float("inf")  # a wait of which the Controller has yet to hear
SERVED_MOST = 4096  # destinations kept in mind
WRITE_AGAIN_MS = 20.0  # pause before the journal is given again what it could not take
HELD_BACK_MS = 100.0  # how often to look whether this process is alone again; and left for an end's notice
NAMED_FROM = 1 << 20  # destinations with names instead of numbers are counted from here
DELIVERED, RETURNED, FAILED = "delivered", "returned", "failed"
_NUMBERS = {outcome: number for number, outcome in enumerate(Outcome, 1)}
_NUMBERS[Outcome.CROWDED] = 10  # 9 stands for an attempt that was out, in the files of traces
_FAILED = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)
log = logging.getLogger(__name__)


def _remember(table: dict[str, None], key: str) -> None:
    """Put `key` last in a table of what was seen, the latest last; the oldest goes beyond SERVED_MOST."""
    table.pop(key, None)
    table[key] = None
    if len(table) > SERVED_MOST:
        del table[next(iter(table))]


def order_number(key: str) -> int:
    """The number by which the module knows an order key, its own for each; 0 for none."""
    return int.from_bytes(key.encode(), "little")


@dataclass(frozen=True)
class Endpoint:
    """An endpoint: who it is, what it serves, and where this courier reaches it."""

    name: str
    dest: str
    address: tuple[str, int]
    kind: str = ""
    zone: str = ""
    ready: bool = True
    gone: bool = False
    rate: float = 0.0
    born_ms: float = 0.0
    carrier: str = "platform"


@dataclass(frozen=True)
class Siblings:
    """An endpoint's destination and zone, and the endpoints of that destination, each with its zone."""

    dest: str
    zone: str
    listed: dict[str, str]
    ready: dict[str, str]


@dataclass(frozen=True)
class Command:
    """A message as a service client hands it in; `deadline` is on the loop's clock."""

    id: str
    front: str
    cls: str
    dest: str
    tenant: str
    key: str
    deadline: float
    body: bytes
    retried: bool = False
    envelope: str = ""
    order: str = ""  # its order key, in a class that keeps its order
    began: float = 0.0  # when the request's first byte was read, on the loop's clock
    traceparent: str = ""  # what the client sent for its trace, as it came
    tracestate: str = ""
    handed: str = ""  # when a front layer had it, likewise


@dataclass(frozen=True)
class Refusal:
    """Not taken: handing the message in again does no harm."""

    after_ms: float
    why: str


@dataclass(eq=False)
class Attempt:
    """One attempt, or several that travel in one call. The carrier reports each part once."""

    endpoint: Endpoint
    sent: float
    until: float
    parts: list[Entry] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)
    open: set[int] = field(default_factory=set)
    by: list[float] = field(default_factory=list)  # part by part, when its last byte has to be handed over
    begun: bool = False  # the journal has it: from then on it may have run
    once: bool = False  # a part of it must not run twice: a refusal counts only where it is surely its own
    ordered: bool = False  # another message waits for its end, which is not to be taken back
    scarcity: api.Scarcity = api.Scarcity.NONE  # of connections to its endpoint
    # What its carrier tells of it, on the loop's clock; nought: it has not come to that.
    reused: bool = False
    named: bool = False  # its answer names its messages
    last: bool = False  # the endpoint is asked to end the connection behind its answer, which proves that
    connection: int = 0  # the number of the connection it went on, for the log
    place: int = 0  # which call on that connection it was, from 1
    status: int = 0  # of the answer that was read for it
    connected: float = 0.0
    written: float = 0.0
    first: float = 0.0

    @property
    def revocable(self) -> bool:
        """Whether its deliveries may be presumed, and taken back where they were none."""
        return not (self.once or self.ordered)


@dataclass(frozen=True)
class Presumed:
    """A message that counts as delivered by an answer that may have been another call's."""

    attempt: Attempt
    entry: Entry
    at: float  # when that answer came


class Front(Protocol):
    """The service clients' side."""

    def ended(self, entry: Entry) -> None:
        """Tell the client how its message ended, then call `Exchange.told`."""

    def keep_ms(self, entry: Entry, state: str, after_ms: float) -> float:
        """How long the outcome is remembered for a client that asks again under the same id."""


class Carrier(Protocol):
    """The endpoints' side."""

    def execute(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> None: ...

    def close_idle(self, endpoint: str) -> None: ...

    def probe(self, endpoint: Endpoint) -> None:
        """Ask it how it is, then call `Exchange.probed`."""

    def halt(self) -> None: ...


class Tracer(Protocol):
    """What is told of each message's way, where traces are on; it must never raise."""

    def identify(self, command: Command) -> str: ...

    def taken(self, entry: Entry, command: Command, began: float) -> None: ...

    def refused(self, command: Command, why: str) -> None: ...

    def begins(self, attempt: Attempt) -> None: ...

    def begun(self, attempt: Attempt) -> None: ...

    def settled(
        self, attempt: Attempt, entry: Entry, outcome: Outcome, wait_ms: float, ended: float
    ) -> None: ...

    def headers(self, attempt: Attempt) -> list[tuple[str, str]]: ...

    def turned(self, events: Iterable[api.Event], now: float) -> None: ...

    def moved(self, entry: Entry, now: float) -> None: ...

    def resumed(self, entry: Entry) -> None: ...

    def answered(self, entry: Entry) -> None: ...

    def untold(self, entry: Entry) -> None: ...

    def withdrawn(self, entry: Entry) -> None: ...

    def decided(self, entry: Entry) -> None: ...

    def ended(self, entry: Entry) -> None: ...


class Exchange:
    """Holds what was taken on until its end has been told."""

    def __init__(self, loop: Loop, settings: api.Settings, seed: int, journal: Journal) -> None:
        self.loop, self.journal = loop, journal
        self.controller = Controller(settings, seed)
        self.fronts: dict[str, Front] = {}
        self.carriers: dict[str, Carrier] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self._use(settings)
        self._named: dict[str, int] = {}
        self._silent: dict[str, tuple[float, float]] = {}  # told waits, by route: told at, until
        self._left: set[str] = set()  # endpoints that the last whole list left out
        self.tell_wait: Callable[[str, float], None] = lambda _route, _until: None  # to who runs beside us
        self.listed = False  # a whole list was told in this life of the process
        self.banned: frozenset[str] = frozenset()  # endpoints that operators took out of service, a fact
        self.ever: dict[str, None] = {}  # names of endpoints ever listed, the latest last; bounded
        self._served: dict[str, None] = {}  # destinations that were ever listed, the latest last
        self._owed: dict[int, Entry] = {}  # no end decided yet
        self._ids: dict[tuple[str, str], Entry] = {}  # by front and id, as long as they are remembered
        self._out: dict[int, Attempt] = {}  # by message
        self._presumed: dict[int, Presumed] = {}  # likewise; owed until that is confirmed or disproved
        self._telling: dict[str, int] = {}  # order keys of which an end is still to be heard, and how many
        self._behind: dict[str, list[Attempt]] = {}  # attempts that wait for that
        self._held_back: dict[int, Entry] = {}  # ordered messages of which the module hears once we are alone
        self._untold: dict[int, Entry] = {}  # ends that are told once the journal has them
        self._writes_again = False  # a timer runs that gives the journal what it lacks
        self._events: list[api.Event] = []
        self._due = self.halted = False
        self.ends = self.given_up = 0  # ends that were decided in this life, and those that are no delivery
        self.tracer: Optional[Tracer] = None
        self.doors: dict[str, Door] = {}  # by front: routes, limits and pools, where a set has any
        self._steer = False  # a partner of a pool has opened or shut
        self._wall = loop.wall() - loop.now()

    def _use(self, settings: api.Settings) -> None:
        self.settings = settings
        self._classes = {c.name: number for number, c in enumerate(settings.classes)}
        self._tenants = {t.name: number for number, t in enumerate(settings.tenants)}
        self._kinds = {k.name: number for number, k in enumerate(settings.kinds)}
        self._zones = {name: number for number, name in enumerate(settings.zones)}

    def configure(self, settings: api.Settings) -> None:
        """Put other settings in force. What was taken on stays owed, under the class it came with."""
        self._turn()  # guards the events gathered so far: the numbers in them are of the old settings
        self._use(settings)
        self._post(api.Configured(settings), at_once=True)

    # Clocks and names

    def wall(self, at: float) -> float:
        """The wall-clock time of a time on the loop's clock."""
        return at + self._wall

    def local(self, wall: float) -> float:
        return wall - self._wall

    def knows(self, cls: str, tenant: str) -> bool:
        return cls in self._classes and (tenant in self._tenants or not self._tenants)

    def message_class(self, name: str) -> Optional[api.MessageClass]:
        return self.settings.classes[self._classes[name]] if name in self._classes else None

    def serves(self, dest: str) -> bool:
        """Tell whether a destination was ever listed: its endpoints may come and go."""
        return dest in self._served

    def _dest(self, name: str) -> int:
        return int(name) if name.isdigit() else self._named.setdefault(name, NAMED_FROM + len(self._named))

    # The service clients' side

    def resume(self, entries: Optional[list[Entry]] = None) -> None:
        """Take up what an earlier life left, or `entries` adopted from the process before an upgrade.

        Call once fronts and carriers are in place."""
        now = self.loop.now()
        found = self.journal.entries.values() if entries is None else [*entries, *self._held_back.values()]
        for entry in sorted(found, key=lambda entry: entry.taken):  # each key in the order of taking, by both
            if self._held_back.pop(entry.number, None) is not None:
                self._post(self._new(entry))
                continue
            if entry.front not in self.fronts:  # stays written down for a start with that front
                log.error("front no longer configured", extra={"id": entry.id, "front": entry.front})
                continue
            self._ids[entry.front, entry.id] = entry
            entry.resumed = True
            if self.tracer is not None:
                self.tracer.resumed(entry)
            if entry.state:
                self._occupy_key(entry)
                self._tell(entry)
            elif entry.cls not in self._classes:
                log.error("class no longer configured", extra={"id": entry.id, "cls": entry.cls})
                self._decide(entry, FAILED)
            else:
                self._hold(entry)
        log.info(
            "journal read",
            extra={
                "held": len(self._owed),
                "entries": len(self.journal.entries),
                "ms": round(self.loop.now() - now, 1),
            },
        )

    def find(self, front: str, id: str) -> Optional[Entry]:
        """The message with that id, while it is held or its outcome is remembered."""
        return self._ids.get((front, id))

    def state_beside(self, front: str, id: str) -> Optional[str]:
        """How a message ended that another process here took on: `OWED` if it has not, None for none."""
        return self.journal.state_beside(front, id)

    def take(self, command: Command) -> Entry | Refusal:
        """Write the message down and hold it, or refuse it at the door."""
        if (known := self.find(command.front, command.id)) is not None:
            return known  # guards against a second life for a command that a client sent once more
        if self.journal.divided and self.state_beside(command.front, command.id) == OWED:
            return self.refuse(command, "another process of this courier has it")
        if command.cls not in self._classes:  # the settings changed since its front looked it up
            return self.refuse(command, "no such class any more")
        if len(self._owed) - len(self._presumed) >= self.settings.max_open:
            return self.refuse(command, "too many messages held")
        door, route = self.doors.get(command.front), None
        if door is not None:
            facts, now = self._facts(command), self.loop.now()
            route = door.route(facts)
            if (no := door.admit(facts, route, command.deadline - now, now)) is not None:
                return self.refuse(command, no.why, no.after_ms)
            command = replace(command, dest=door.assign(command.id, route, command.dest, now))
        entry = Entry(
            0,
            command.id,
            command.front,
            command.cls,
            command.dest,
            command.tenant,
            command.key,
            self.wall(command.deadline),
            command.body,
            command.retried,
            command.envelope,
            order=command.order,
            taken=self.wall(self.loop.now()) if command.order else 0.0,
        )
        began = self.loop.now()
        if self.tracer is not None:
            entry.trace = self.tracer.identify(command) or ""
        try:
            self.journal.take(entry)
        except Full as error:
            log.warning("no room", extra={"id": command.id, "why": str(error)})
            return self.refuse(command, "no room")
        if door is not None:
            door.hold(entry.number, entry.id, route, entry.tenant, entry.dest, False, self.loop.now())
        if self.tracer is not None:
            self.tracer.taken(entry, command, began)
        self._ids[entry.front, entry.id] = entry
        log.debug("taken", extra={"id": entry.id, "number": entry.number, "dest": entry.dest})
        self._hold(entry)
        return entry

    def refuse(self, command: Command, why: str, after_ms: float = REFUSED_MS) -> Refusal:
        """Refuse at the door what could not be taken on."""
        log.debug("refused", extra={"id": command.id, "why": why, "after": after_ms})
        if self.tracer is not None:
            self.tracer.refused(command, why)
        return Refusal(after_ms, why)

    def _facts(self, message: Command | Entry) -> Facts:
        """What routes know of a message; mail tells its sender and its first recipient."""
        from ashvale.routing.router import Facts

        envelope = json.loads(message.envelope) if message.envelope else {}
        clock = time.localtime(self.wall(self.loop.now()) / 1000.0)
        return Facts(
            message.cls.rpartition("/")[2],
            message.tenant,
            message.dest,
            envelope.get("from", ""),
            (envelope.get("to") or [""])[0],
            clock.tm_hour * 60 + clock.tm_min,
        )

    def guard(self, front: str, door: Optional[Door]) -> None:
        """Put other routes and limits in force; what is held counts under them from the start."""
        self.doors.pop(front, None)
        now = self.loop.now()
        if door is not None:
            self.doors[front] = door
            self._listed()
            for entry in self._owed.values():
                if entry.front == front:  # a first try that the process' own end cut off is no retry
                    route, again = door.route(self._facts(entry)), entry.attempts > 1
                    door.hold(entry.number, entry.id, route, entry.tenant, entry.dest, again, now)
                if attempt := self._out.get(entry.number):  # it is out already, and counts as such
                    door.went(entry.number, attempt.sent)
        self.controller.limits = api.Unlimited()
        if self.doors:
            from ashvale.routing.door import Doors

            self.controller.limits = Doors(self.doors.values())

    def _listed(self) -> None:
        """Tell the doors which destinations have a ready endpoint."""
        ready = {
            i.dest for i in self.endpoints.values() if i.ready and not i.gone and i.name not in self._left
        }
        for door in self.doors.values():
            door.listed({i.dest for i in self.endpoints.values()}, ready)
        self._steer = True

    def _judge(self, attempt: Attempt, outcome: Outcome, over: str, wait_ms: float, now: float) -> None:
        """Tell the doors how a partner did: pools steer by it."""
        ok = True if outcome is Outcome.OK or over else False if outcome in _FAILED else None
        for door in self.doors.values():
            changed = door.judge(attempt.endpoint.dest, ok, attempt.sent, wait_ms, now)
            self._steer = self._steer or changed

    def _steering(self) -> None:
        """Let messages go over to other partners of their pools, where a second effect is ruled out.

        Only what the Controller holds without a call out moves, and it hears of leaving before it hears of
        coming. One with a key stays: its partner alone knows the key.
        """
        self._steer, now = False, self.loop.now()
        for door in self.doors.values():
            for number, chosen in door.moves(now):
                entry = self._owed.get(number)
                cls = self.message_class(entry.cls) if entry is not None else None
                if entry is None or cls is None or cls.effect is api.Effect.KEYED:
                    continue
                if number in self._presumed:
                    continue
                if cls.effect is api.Effect.UNSAFE and entry.ran_at is not None:
                    continue
                log.debug("over to another", extra={"id": entry.id, "dest": entry.dest, "to": chosen})
                door.moved(number, chosen, now)
                entry.dest = chosen
                if self.tracer is not None:
                    self.tracer.moved(entry, now)
                self._process([api.Withdrawn(number), self._new(entry)])

    def answered(self, entry: Entry) -> None:
        """The client has been told that its message was taken."""
        if self.tracer is not None:
            self.tracer.answered(entry)

    def untold(self, entry: Entry) -> None:
        """One try to tell the end of a message came to nothing."""
        if self.tracer is not None:
            self.tracer.untold(entry)

    def trace_headers(self, attempt: Attempt) -> list[tuple[str, str]]:
        """What a carrier's call tells of its messages' traces; nothing where tracing is off."""
        return self.tracer.headers(attempt) if self.tracer is not None else []

    def _hold(self, entry: Entry) -> None:
        self._owed[entry.number] = entry
        entry.sends = entry.attempts
        if entry.order and not self._alone:
            # Guards the order of a key in an upgrade: the other process may hold an earlier message of it.
            if not self._held_back:
                self.loop.call_at(self.loop.now() + HELD_BACK_MS, self._look_for_other_process)
            self._held_back[entry.number] = entry
            self.loop.call_at(self.local(entry.deadline) - HELD_BACK_MS, lambda: self._end_held_back(entry))
            return
        ended_badly = entry.resumed and entry.attempts > (entry.ran_at is not None)
        self._post(self._new(entry, failed=ended_badly))

    @property
    def _alone(self) -> bool:
        """True where no other process of this courier runs on its folder."""
        return self.journal.alone

    def _look_for_other_process(self) -> None:
        """The other process may have ended without leaving anything to be taken over."""
        if self.halted or not self._held_back:
            return
        if self._alone:
            self.resume([])
        else:
            self.loop.call_at(self.loop.now() + HELD_BACK_MS, self._look_for_other_process)

    def _end_held_back(self, entry: Entry) -> None:
        """The other process has outlasted a message, which never ran."""
        if not self.halted and self._held_back.pop(entry.number, None) is not None:
            self._decide(entry, RETURNED, REFUSED_MS)

    def _new(
        self, entry: Entry, failed: bool = False, taken_back: Optional[api.TakenBack] = None
    ) -> api.NewMessage:
        """`failed`: so did the last attempt, though its end was told otherwise, or to an earlier process."""
        ran_at = None if entry.ran_at is None else self.local(entry.ran_at)
        return api.NewMessage(
            entry.number,
            self._classes[entry.cls],
            self._dest(entry.dest),
            self.local(entry.deadline),
            self._tenants.get(entry.tenant, 0),
            order_number(entry.order),
            entry.retried,
            entry.sends,
            ran_at,
            entry.ran_zone,
            entry.resumed and not entry.attempts,
            entry.spent,
            failed,
            taken_back,
        )

    def withdraw(self, entry: Entry) -> None:
        """The client never heard that its message was taken: it counts for nothing."""
        if self._owed.pop(entry.number, None):
            self._held_back.pop(entry.number, None)
            self._presumed.pop(entry.number, None)
            self._released(entry)
            log.info("withdrawn", extra={"id": entry.id, "number": entry.number})
            self._post(api.Withdrawn(entry.number))
            # Guards the turn against sending what is no longer held: this event overtakes the others.
            self._events.insert(0, self._events.pop())
            if self.tracer is not None:
                self.tracer.withdrawn(entry)
            self.told(entry)

    def _released(self, entry: Entry) -> None:
        if door := self.doors.get(entry.front):
            door.release([entry.number], self.loop.now())

    def told(self, entry: Entry) -> None:
        """The client knows the end; forget the message, or remember its outcome as long as was decided."""
        if self.halted:
            return
        if self.tracer is not None:
            self.tracer.ended(entry)
        if entry.order and entry.state:  # not one that is withdrawn
            self._heard_of(entry.order)
        if entry.keep_until > self.wall(self.loop.now()):
            self.journal.shorten(entry)
            self.loop.call_at(self.local(entry.keep_until) + 1.0, lambda: self.told(entry))
        else:
            if self._ids.get((entry.front, entry.id)) is entry:
                del self._ids[entry.front, entry.id]
            try:
                self.journal.ended(entry)
            except Full as error:
                log.error("end not written", extra={"id": entry.id, "why": str(error)})
                self._write_later()

    # The endpoints' side

    def endpoints_known(self, how: api.ListKind, endpoints: Iterable[Endpoint], version: int = 0) -> None:
        """News of the list: the whole of one carrier's endpoints, or what changed."""
        lines, told = [], list(endpoints)
        self.listed = self.listed or how is api.ListKind.FULL
        if how is not api.ListKind.DELTA:
            # Guards one carrier's endpoints against another's whole list, which says nothing of them.
            carriers = {endpoint.carrier for endpoint in told} or {"platform"}
            told += [i for i in self.endpoints.values() if i.carrier not in carriers]
            # What two whole lists leave out is forgotten; one is not enough, as the Controller has yet to
            # hear of it and may still name it. Nor are two that come in one turn, for the same reason.
            names = {i.name for i in told}
            if not any(isinstance(event, api.ListKnown) for event in self._events):
                used = names | {e.endpoint.name for e in self._out.values()}
                self.endpoints = {n: i for n, i in self.endpoints.items() if n in used or n not in self._left}
            self._left = self.endpoints.keys() - names
        else:
            self._left -= {endpoint.name for endpoint in told}
        replaced = self._replaced(told)
        told = [e for e in told if e.name not in replaced] + [
            replace(e, gone=True) for e in replaced.values()
        ]
        for endpoint in told:
            known = self.endpoints.get(endpoint.name)
            gone = endpoint.gone
            endpoint = replace(known, gone=True) if gone and known else endpoint
            ready = endpoint.ready and endpoint.name not in self.banned  # a ban drains, whatever is listed
            readiness = (
                api.Readiness.GONE if gone else api.Readiness.READY if ready else api.Readiness.DRAINING
            )
            _remember(self.ever, endpoint.name)
            if known and known.address != endpoint.address:
                self.carriers[known.carrier].close_idle(known.name)
            self.endpoints[endpoint.name] = endpoint
            _remember(self._served, endpoint.dest)
            lines.append(
                api.Listing(
                    endpoint.name.encode(),
                    self._dest(endpoint.dest),
                    self._kinds.get(endpoint.kind, 0),
                    self._zones.get(endpoint.zone, 0),
                    readiness,
                    endpoint.rate,
                    endpoint.born_ms,
                    self._silent.get(self._route(endpoint), (0.0, 0.0))[1],
                )
            )
        if self.doors:
            self._listed()
        self._post(api.ListKnown(how, version, tuple(lines)), at_once=True)

    def _replaced(self, told: list[Endpoint]) -> dict[str, Endpoint]:
        """Endpoints that are gone whatever is listed: one of another destination is at their address now.

        By name, out of those `told` and those known before. The later one of an address was started later; of
        two that were started at one time it is the one that is told of that address for the first time. Mail
        names the destination in each session, so its endpoints may share an address.
        """
        known = {e.name: e.address for e in self.endpoints.values()}
        news = {e.name: e for e in told if known.get(e.name) != e.address and e.carrier == "platform"}
        if not news:
            return {}
        listed = [e for e in [*self._told_now(), *told] if e.carrier == "platform"]
        older = [e for e in listed if e.name not in news]
        latest: dict[tuple[str, int], Endpoint] = {}
        for endpoint in [*older, *news.values()]:
            held = latest.get(endpoint.address)
            if not endpoint.gone and (held is None or endpoint.born_ms >= held.born_ms):
                latest[endpoint.address] = endpoint
        as_told = {endpoint.name: endpoint for endpoint in older} | news
        return {
            name: endpoint
            for name, endpoint in as_told.items()
            if endpoint.address[1] and not endpoint.gone and latest[endpoint.address].dest != endpoint.dest
        }

    def ban(self, names: frozenset[str]) -> None:
        """Operators' bans as they now stand: those whose state changes are told to the module anew."""
        changed, self.banned = names ^ self.banned, names
        again = [endpoint for endpoint in self._told_now() if endpoint.name in changed]
        if again:
            self.endpoints_known(api.ListKind.DELTA, again)

    def siblings(self, name: str) -> Optional[Siblings]:
        """An endpoint among those of its destination; None for one that the list does not name."""
        now = {endpoint.name: endpoint for endpoint in self._told_now()}
        if (found := now.get(name)) is None:
            return None
        listed = {each.name: each.zone for each in now.values() if each.dest == found.dest}
        ready = {n: zone for n, zone in listed.items() if now[n].ready and n not in self.banned}
        return Siblings(found.dest, found.zone, listed, ready)

    @property
    def health(self) -> tuple[int, int, int]:
        """Ends in this life, how many of them were given up, and messages that are owed now."""
        return self.ends, self.given_up, len(self._owed)

    def _told_now(self) -> list[Endpoint]:
        """The endpoints that the list names as it stands; the others must not be told anew as if it did."""
        return [i for i in self.endpoints.values() if not i.gone and i.name not in self._left]

    def hear_wait(self, route: str, until: float) -> None:
        """A wait that the other process of this courier was told; to the partners both are one."""
        if until > max(self.loop.now(), self._silent.get(route, (0.0, 0.0))[1]):
            self._silent[route] = UNHEARD, until
            self.endpoints_known(api.ListKind.DELTA, [i for i in self._told_now() if self._route(i) == route])

    def _forget(self, gone: Iterable[str]) -> None:
        """The Controller has heard that they are gone: nothing refers to them but what is out."""
        for name in gone:
            if (endpoint := self.endpoints.get(name)) and endpoint.gone:  # not listed again meanwhile
                del self.endpoints[name]
                self.carriers[endpoint.carrier].close_idle(name)

    def report(
        self,
        attempt: Attempt,
        entry: Entry,
        outcome: Outcome,
        wait_ms: float = 0.0,
        over: str = "",
        no_slot: bool = False,
        load: Optional[dict[str, float]] = None,
        unproven: bool = False,
        spent: bool = False,
    ) -> None:
        """One part of an attempt has ended; `over` is the message's end where the endpoint tells it.

        `unproven`: the answer may have been another call's, so the attempt may have run whatever it says; a
        delivery is presumed then, until the carrier confirms or disproves it. `spent`: the answer, proven or
        not, says that no further attempt may be made.
        """
        if self.halted or entry.number not in attempt.open:
            return
        attempt.open.discard(entry.number)
        self._out.pop(entry.number, None)
        number = attempt.numbers[attempt.parts.index(entry)]
        finished = outcome is Outcome.OK or bool(over) or entry.number not in self._owed
        ended = self.loop.now()
        if outcome is Outcome.OK and unproven and entry.number in self._owed:
            self._presumed[entry.number] = Presumed(attempt, entry, ended)
        else:
            if spent and not finished:
                self._note_spent(entry)
            self._record(attempt, entry, outcome, ended, wait_ms, unproven)
            if outcome is Outcome.OK or over:
                self._decide(entry, over or DELIVERED)
        now = self.loop.now()
        took = now - attempt.sent
        if wait_ms > 0:
            route = self._route(attempt.endpoint)
            # Guards the wait against what the Controller sends before it hears of it, in the same turn even.
            self._silent[route] = UNHEARD, max(now + wait_ms, self._silent.get(route, (0.0, 0.0))[1])
            self.tell_wait(route, self._silent[route][1])
        self._judge(attempt, outcome, over, wait_ms, now)
        log.debug(
            "attempt",
            extra={
                "id": entry.id,
                "attempt": number,
                "endpoint": attempt.endpoint.name,
                "outcome": outcome.value,
                "took": round(took),
                "wait": wait_ms,
                "connection": attempt.connection,
                "place": attempt.place,
                "status": attempt.status,
                "proven": not unproven,
                "spent": spent,
            },
        )
        self._post(
            api.Settled(
                entry.number,
                number,
                attempt.endpoint.name.encode(),
                outcome,
                took,
                finished,
                wait_ms,
                no_slot,
                load or {},
                unproven,
                spent,
            )
        )

    def _record(
        self,
        attempt: Attempt,
        entry: Entry,
        outcome: Outcome,
        ended: float,
        wait_ms: float,
        unproven: bool = False,
    ) -> None:
        """Write down how a part of an attempt ended, and tell the tracer."""
        if attempt.begun:
            self._journal_outcome(entry, outcome, ended, wait_ms, unproven)
        if self.tracer is not None:
            self.tracer.settled(attempt, entry, outcome, wait_ms, ended)

    def _note_spent(self, entry: Entry) -> None:
        """Write down that no further attempt may be made, so that a restart makes none either."""
        try:
            self.journal.spent(entry)
        except Full as error:
            log.error("outcome not written", extra={"id": entry.id, "why": str(error)})
            self._write_later()

    def confirm(self, entry: Entry) -> None:
        """A presumed delivery stands: nothing else has come for its call."""
        if not self.halted and (presumed := self._presumed.pop(entry.number, None)):
            self._record(presumed.attempt, entry, Outcome.OK, presumed.at, 0.0)
            self._decide(entry, DELIVERED)

    def disprove(
        self,
        entry: Entry,
        outcome: Outcome,
        wait_ms: float = 0.0,
        unproven: bool = False,
        spent: bool = False,
    ) -> None:
        """A presumed delivery was none, as the call's own answer or its loss shows: the message goes on.

        The decisions have it anew, with the attempts made; what the answer tells of a wait binds."""
        if self.halted or (presumed := self._presumed.pop(entry.number, None)) is None:
            return
        log.warning(
            "delivery taken back",
            extra={"id": entry.id, "endpoint": presumed.attempt.endpoint.name, "outcome": outcome.value},
        )
        if spent:
            self._note_spent(entry)
        self._record(presumed.attempt, entry, outcome, self.loop.now(), wait_ms, unproven)
        if wait_ms > 0:
            self.hear_wait_in_head(presumed.attempt, wait_ms)
        if entry.cls in self._classes:
            attempt = presumed.attempt
            taken_back = api.TakenBack(attempt.endpoint.name.encode(), attempt.sent)
            self._post(self._new(entry, failed=True, taken_back=taken_back))
        else:
            self._decide(entry, FAILED)

    def probed(
        self, call: Attempt, outcome: Outcome, wait_ms: float = 0.0, load: Optional[dict[str, float]] = None
    ) -> None:
        """A probe has ended; a wait that its answer tells binds like any other."""
        if not self.halted:
            if wait_ms > 0:
                self.hear_wait_in_head(call, wait_ms)
            took = self.loop.now() - call.sent
            self._post(api.Probed(call.endpoint.name.encode(), outcome, took, load or {}))

    def begin(self, attempt: Attempt) -> bool:
        """Tell whether an attempt may be written, and if so write down first that it begins.

        Carriers ask right before they write. What a kill cuts off before this was never tried, and after it
        may have run.
        """
        if not self.may_write(attempt):
            return False
        if not attempt.begun:
            try:
                self.journal.started(
                    attempt.parts,
                    self.wall(self.loop.now()),
                    self._zones.get(attempt.endpoint.zone, 0),
                    attempt.endpoint.name,
                )
            except Full as error:  # an attempt that the journal does not know must not begin
                log.error("attempt not begun", extra={"why": str(error)})
                # Guards its attempts against a full disk: it goes again after a pause, not in the next turn.
                for entry in list(attempt.parts):
                    self.report(attempt, entry, Outcome.MOOT, no_slot=True)
                return False
            attempt.begun = True
        return True

    def may_write(self, attempt: Attempt) -> bool:
        """Tell whether an attempt may still be written; parts that may not leave it, as never run.

        Guards three rules where a connection takes long to come up: on waits, as what the Controller sent
        before it heard of one would arrive in the midst of it; on drains, as the endpoint may have left the
        list, or another may have its address; and on repeats, as a window that held when the Controller chose
        may have closed (under a cut a connection comes up at the system's second try, a second later). A
        message that was withdrawn meanwhile is not called with either: its id may have been taken on anew.
        """
        if not self.may_go(attempt):
            return False
        now = self.loop.now()
        due = [now >= by or self._is_over(e) for e, by in zip(attempt.parts, attempt.by, strict=True)]
        for at in [at for at, drop in enumerate(due) if drop][::-1]:
            self.report(attempt, attempt.parts[at], Outcome.MOOT)
            for parts in (attempt.parts, attempt.numbers, attempt.by):
                del parts[at]
        return bool(attempt.parts)

    def _is_over(self, entry: Entry) -> bool:
        """Whether nothing is owed for a message any more, as its client left before it heard."""
        return entry.number not in self._owed

    def takes_several(self, endpoint: Endpoint) -> bool:
        """Whether calls to an endpoint may carry several messages, whose answers name them."""
        return self._kind(endpoint).per_call > 1

    def _kind(self, endpoint: Endpoint) -> api.Kind:
        """What the settings say of endpoints of its kind."""
        return self.settings.kinds[self._kinds.get(endpoint.kind, 0)]

    def may_go(self, attempt: Attempt) -> bool:
        """Tell whether anything may be said to the endpoint now: told waits, and what the list names."""
        told, until = self._silent.get(self._route(attempt.endpoint), (0.0, 0.0))
        waits = attempt.sent <= told and self.loop.now() < until
        return not waits and self._still_listed(attempt.endpoint)

    def _still_listed(self, endpoint: Endpoint) -> bool:
        """Tell whether the list still names an endpoint as ready, and under the address that is held here."""
        known = self.endpoints.get(endpoint.name)
        listed = known is not None and known.ready and not known.gone and known.name not in self._left
        return (
            known is not None
            and listed
            and known.address == endpoint.address
            and known.dest == endpoint.dest
            and (known.name not in self.banned)
        )

    def hear_wait_in_head(self, attempt: Attempt, wait_ms: float) -> None:
        """A wait that an answer tells whose end is still to come: it binds all the same, from now on."""
        route, until = self._route(attempt.endpoint), self.loop.now() + wait_ms
        self.hear_wait(route, until)
        self.tell_wait(route, until)

    def _heard(self, endpoint: str, now: float) -> None:
        """The Controller knows of a wait that an endpoint told, and sends no more by itself."""
        if (known := self.endpoints.get(endpoint)) and (route := self._route(known)) in self._silent:
            self._silent[route] = now, self._silent[route][1]

    def told_wait(self, endpoint: str) -> float:
        """Until when the wait runs that an endpoint's destination, or route apart, told; 0 if none."""
        known = self.endpoints.get(endpoint)
        return self._silent.get(self._route(known), (0.0, 0.0))[1] if known else 0.0

    def dest_number(self, name: str) -> int:
        """The number by which the Controller knows a destination."""
        return self._dest(name)

    def _route(self, endpoint: Endpoint) -> str:
        """What shares a wait: a destination, or one endpoint where its kind has routes apart."""
        apart = self._kind(endpoint).routes_apart
        return f"endpoint {endpoint.name}" if apart else f"destination {endpoint.dest}"

    def _journal_outcome(
        self, entry: Entry, outcome: Outcome, at: float, wait_ms: float, unproven: bool
    ) -> None:
        never_ran = outcome.never_ran and not unproven
        try:
            self.journal.outcome(entry, never_ran, self.wall(at), _NUMBERS[outcome], wait_ms)
        except Full as error:  # until it is, a restart takes it that the attempt may have run
            log.error("outcome not written", extra={"id": entry.id, "why": str(error)})
            self._write_later()

    # Turns

    def _post(self, event: api.Event, at_once: bool = False) -> None:
        self._events.append(event)
        if not self._due:
            self._due = True
            wait = 0.0 if at_once else self.settings.tick_ms
            self.loop.call_at(self.loop.now() + wait, self._turn)

    def _turn(self) -> None:
        """Handle the gathered events, then let the attempts begin that they brought."""
        if self.halted:
            return
        events = self._events
        self._events, self._due = [], False
        self._process(events)
        if self._steer:
            self._steering()

    def _process(self, events: list[api.Event]) -> None:
        now = self.loop.now()
        sends: dict[str, list[Attempt]] = {}
        for event in events:
            if isinstance(event, api.NewMessage) and event.message not in self._owed:
                continue  # withdrawn before its turn
            try:
                for action in self.controller.handle(event, now):
                    self._carry_out(action, now, sends)
            except Exception:  # guards the other messages against a fault that one event brings to light
                log.exception("event failed", extra={"kind": type(event).__name__})
            if isinstance(event, api.Settled) and event.wait_ms > 0:
                self._heard(event.target.decode(), now)
            if isinstance(event, api.ListKnown):
                for line in event.lines:
                    if line.silent_until > now and line.silent_until >= self.told_wait(line.target.decode()):
                        self._heard(line.target.decode(), now)
                self._forget(
                    line.target.decode() for line in event.lines if line.readiness is api.Readiness.GONE
                )
        for attempts in sends.values():
            for attempt in attempts:
                self._begin(attempt)
        if self.tracer is not None:
            self.tracer.turned(events, now)

    def _carry_out(self, action: api.Action, now: float, sends: dict[str, list[Attempt]]) -> None:
        if isinstance(action, api.Send):
            self._join(action, now, sends)
        elif isinstance(action, (api.Refuse, api.Fail)):
            if entry := self._owed.get(action.message):
                after = action.backoff_ms if isinstance(action, api.Refuse) else 0.0
                self._decide(entry, RETURNED if isinstance(action, api.Refuse) else FAILED, after)
        elif isinstance(action, api.Wake):
            token = action.token
            self.loop.call_at(now + action.after_ms, lambda: self._post(api.Timer(token), at_once=True))
        elif isinstance(action, api.Cancel):
            if attempt := self._out.get(action.message):
                self.carriers[attempt.endpoint.carrier].cancel(attempt)
        elif isinstance(action, api.Probe):
            probed = self.endpoints[action.target.decode()]
            self.carriers[probed.carrier].probe(probed)
        elif isinstance(action, api.CloseIdle):
            if endpoint := self.endpoints.get(action.target.decode()):
                self.carriers[endpoint.carrier].close_idle(endpoint.name)
        elif isinstance(action, api.Log):
            log.info(action.text)
        elif isinstance(action, api.HealthChanged):
            self._log_health(action)

    def _log_health(self, changed: api.HealthChanged) -> None:
        """Say what an endpoint is held to be, by which call, and what it was before for how long."""
        name = changed.target.decode()
        endpoint = self.endpoints.get(name)
        log.info(
            "endpoint health",
            extra={
                "dest": endpoint.dest if endpoint is not None else "",
                "endpoint": name,
                "health": changed.health.value,
                "outcome": changed.outcome.value,
                "after_ms": round(changed.for_ms),
            },
        )

    def _join(self, action: api.Send, now: float, sends: dict[str, list[Attempt]]) -> None:
        """Messages that leave in one turn for one endpoint share a call, as many as its kind allows."""
        endpoint, entry = self.endpoints[action.target.decode()], self._owed[action.message]
        calls = sends.setdefault(endpoint.name, [])
        most = self._kind(endpoint).per_call
        if not calls or len(calls[-1].parts) >= most:
            calls.append(Attempt(endpoint, now, action.until))
        attempt = calls[-1]
        attempt.parts.append(entry)
        attempt.numbers.append(entry.sends)
        entry.sends += 1
        attempt.by.append(action.by)
        attempt.open.add(entry.number)
        attempt.until = min(attempt.until, action.until)
        attempt.scarcity = action.scarcity
        cls = self.message_class(entry.cls)
        attempt.once = attempt.once or cls is None or cls.effect is api.Effect.UNSAFE
        attempt.ordered = attempt.ordered or bool(entry.order)

    def _begin(self, attempt: Attempt) -> None:
        if key := next((e.order for e in attempt.parts if e.order in self._telling), ""):
            # Guards the order of a key: a message that ends by a notice is over when that has been heard.
            self._behind.setdefault(key, []).append(attempt)
            self.loop.call_at(attempt.until, lambda: self._too_long_behind(attempt, key))
            return
        for entry in attempt.parts:
            self._out[entry.number] = attempt
        if self.tracer is not None:
            self.tracer.begins(attempt)
            self.tracer.begun(attempt)
        self.carriers[attempt.endpoint.carrier].execute(attempt)

    def _too_long_behind(self, attempt: Attempt, key: str) -> None:
        """Nobody has heard of the end before it in all its time: it never ran."""
        if attempt in self._behind.get(key, ()):
            self._behind[key].remove(attempt)
            for entry in attempt.parts:
                self.report(attempt, entry, Outcome.MOOT)

    def _heard_of(self, key: str) -> None:
        """The end of a message with this order key has been heard; what waits for that begins."""
        left = self._telling.pop(key, 0) - 1
        if left > 0:
            self._telling[key] = left
            return
        for attempt in self._behind.pop(key, ()):
            self._begin(attempt)

    # Ends

    def _decide(self, entry: Entry, state: str, after_ms: float = 0.0) -> None:
        """The one end of a message."""
        if self._owed.pop(entry.number, None) is None and entry.state:
            return
        self._released(entry)
        self.ends, self.given_up = self.ends + 1, self.given_up + (state != DELIVERED)
        keep_ms = self.fronts[entry.front].keep_ms(entry, state, after_ms)
        keep_until = self.wall(self.loop.now()) + keep_ms if keep_ms > 0 else 0.0
        written = True
        try:
            self.journal.decided(entry, state, after_ms, keep_until)
        except Full as error:
            log.error("end not written", extra={"id": entry.id, "state": state, "why": str(error)})
            written = False
            self._write_later()
        log.debug("ended", extra={"id": entry.id, "state": state, "after": after_ms})
        if self.tracer is not None:
            self.tracer.decided(entry)
        self._occupy_key(entry)
        if written or state == DELIVERED or self._cannot_wait(entry):
            self._tell(entry)
        else:  # guards a message whose client heard that it is over against a restart that sends it again
            self._untold[entry.number] = entry

    def _occupy_key(self, entry: Entry) -> None:
        """From the decision on until the end has been heard, nothing else begins under its order key."""
        if entry.order:
            self._telling[entry.order] = self._telling.get(entry.order, 0) + 1

    def _tell(self, entry: Entry) -> None:
        self.fronts[entry.front].ended(entry)

    def _cannot_wait(self, entry: Entry) -> bool:
        """Whether a message's time is up before the journal could be asked again."""
        return self.loop.now() + WRITE_AGAIN_MS >= self.local(entry.deadline)

    def _write_later(self) -> None:
        if not self._writes_again:
            self._writes_again = True
            self.loop.call_at(self.loop.now() + WRITE_AGAIN_MS, self._write_again)

    def _write_again(self) -> None:
        """Give the journal what it lacks, and tell the ends that it has by now, or that cannot wait."""
        self._writes_again = False
        if self.halted:
            return
        written = True
        try:
            self.journal.catch_up()
        except Full:
            written = False
            self._write_later()
        for entry in list(self._untold.values()):
            if written or self._cannot_wait(entry):
                del self._untold[entry.number]
                self._tell(entry)

    # The end of the process

    def close_at(self, at: float) -> None:
        """Begin no attempt at that time or later."""
        self._post(api.Closing(at), at_once=True)

    def halt(self) -> None:
        """Do nothing any more, whatever comes: the journal is left as a kill would leave it."""
        self.halted = True
        self.journal.close()
        for carrier in self.carriers.values():
            carrier.halt()

    @property
    def _at_rest(self) -> bool:
        """True when no attempt is out and nobody waits to hear of an end, whatever is in doubt."""
        ended = any(e.state and not e.keep_until for e in self.journal.entries.values())
        return not (self._out or self._events or ended)

    @property
    def quiet(self) -> bool:
        """True when no attempt is out or in doubt and nobody waits to hear of an end; messages may wait."""
        return self._at_rest and not self._presumed

    @property
    def only_presumed(self) -> bool:
        """True when nothing is owed but messages that are presumed to be delivered."""
        return self._at_rest and len(self._owed) == len(self._presumed)

    @property
    def idle(self) -> bool:
        """True when nobody is owed anything."""
        return not (self._owed or self._out or any(not e.keep_until for e in self.journal.entries.values()))
