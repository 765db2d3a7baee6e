"""What the exchange drives: it follows each message from the door to its one end, and hands what is kept to
the store.

It owns the lives of the messages that are held, and the timelines of the destinations for which some wait. It
must never change, delay or refuse a message: a fault of its own or of the disk ends tracing with one line in
the log and nothing else. Memory is bounded by the settings' `live` and by `DESTS_MOST`.
"""

from __future__ import annotations

import functools
import heapq
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Optional, TypeVar

from ashvale import config
from ashvale import interface as api
from ashvale.interface import Outcome
from ashvale.journal import Entry
from ashvale.trace import codec, context, sampling
from ashvale.trace.codec import Detail, Message, Record, Texts
from ashvale.trace.context import Context
from ashvale.trace.model import ENDS, OUTCOMES, Attempt, End, Kind, Life, Reason, cause
from ashvale.trace.reasons import FOREVER, Timeline, outlook
from ashvale.trace.sampling import Rank
from ashvale.trace.store import Failed, Store

if TYPE_CHECKING:
    from ashvale.exchange import Attempt as Carried
from ashvale.exchange import Command, Exchange

DESTS_MOST = 512  # destinations whose reasons are followed at once
STARVED_MOST = 64  # of those without a slot, looked at again in one turn
TIDY_MS = 30000.0
# While a message's own pause runs, these would not have held it: it was not ready to go.
_YIELDS = frozenset({Reason.TURN, Reason.RING, Reason.NO_SLOT, Reason.PAUSE, Reason.SHED})
log = logging.getLogger(__name__)
F = TypeVar("F", bound=Callable[..., Any])


@dataclass(eq=False, slots=True)
class Live:
    """A message that is being followed."""

    life: Life
    context: Context
    entry: Entry
    dest: int
    aim: float  # wanted by, on the loop's clock
    sampled: bool  # the verdict, as it was when the message was taken
    flags: int = 0
    phase: str = "taken"  # taken, waits, out, telling
    ref: int = -1  # the attempt that is out
    tries: int = 0  # to tell the end
    hold: float = 0.0  # its own pause runs until then
    hold_for: Reason = Reason.RETRY_HOLD
    ordered: bool = False  # an earlier message of its key goes first
    obeyed: float = 0.0


@dataclass(eq=False, slots=True)
class Done:
    """A message that has ended, as it is written."""

    context: Context
    id: str
    names: tuple[str, str, str, str]  # front, class, destination, tenant
    life: Life
    end: End
    start: float  # wall clock
    aim: float  # from the start
    limit: float
    after: float
    flags: int
    why: str = ""  # turned away at the door


def guarded(method: F) -> F:
    """Guards the courier against a fault of its tracing: that ends, and nothing else does."""

    @functools.wraps(method)
    def call(self: Recorder, *args: Any) -> Any:
        if self.store is None:
            return None
        try:
            return method(self, *args)
        except Failed as error:
            self.stop(str(error))
        except Exception:
            log.exception("tracing failed")
            self.stop("a fault of its own")
        return None

    return call  # type: ignore[return-value]


class Recorder:
    """One courier's tracing. `random` gives so many random bytes."""

    def __init__(
        self, exchange: Exchange, setup: config.Trace, name: str, random: Callable[[int], bytes]
    ) -> None:
        self.exchange, self.loop, self.random = exchange, exchange.loop, random
        self.store: Optional[Store] = None
        self._live: dict[int, Live] = {}
        self._waiting: dict[int, int] = {}  # messages that wait, by destination
        self._lines: dict[int, Timeline] = {}
        self._due: list[tuple[float, int]] = []  # when a foreseen reason is over
        self._starved: dict[int, None] = {}
        self._ordered: dict[int, Live] = {}
        self._outcomes: dict[int, Outcome] = {}  # of this turn's attempts that leave a message waiting
        self._tidy_at = 0.0
        self.name = "".join(c if c.isalnum() or c in "-_." else "_" for c in name).strip(".") or "courier"
        self.setup = setup
        self.begin(setup)

    def begin(self, setup: config.Trace) -> None:
        """Write to the folder of these settings from now on; with others than before, begin it anew."""
        if self.store is not None and (setup.folder, setup.budget, setup.age_ms) == (
            self.setup.folder,
            self.setup.budget,
            self.setup.age_ms,
        ):
            self.setup = setup
            return
        self.close()
        self.setup = setup
        self._slowest = sampling.Slowest[Done](setup.slowest)
        self._details = sampling.Details()
        try:
            self.store = Store(setup.folder / self.name, setup.budget, setup.age_ms, self._wall())
        except Failed as error:
            log.error("tracing stays off", extra={"why": str(error)})
            return
        log.info("tracing", extra={"share": setup.share, "budget": setup.budget, "folder": setup.folder.name})

    def stop(self, why: str) -> None:
        """Go without traces from now on."""
        log.error("tracing stopped", extra={"why": why})
        if self.store is not None:
            self.store.close()
        self.store = None
        for table in (
            self._live,
            self._waiting,
            self._lines,
            self._due,
            self._starved,
            self._ordered,
            self._outcomes,
        ):
            table.clear()

    def close(self) -> None:
        """Write down what is kept so far, and end; what is held goes on in the next life."""
        if self.store is None:
            return
        try:
            for done in self._slowest.take():
                self._sample(done, codec.SLOW)
            self.store.flush()
        except Failed as error:
            log.error("tracing stopped", extra={"why": str(error)})
        self.store.close()
        self.store = None

    def _wall(self) -> float:
        return self.exchange.wall(self.loop.now())

    # The door

    @guarded
    def identify(self, command: Command) -> str:
        """The trace of a message that is about to be taken, as its journal entry keeps it."""
        found = context.join(command.traceparent, command.tracestate, self.random(16))
        ours = sampling.chosen(found.trace_id, self.setup.share)
        made = Context(found.trace_id, found.parent, found.sampled or ours, found.state)
        wall = self._wall()
        began = self.exchange.wall(command.began) if command.began else wall
        handed = context.hand_in(command.handed, began, self._limit(command.cls)) if command.handed else None
        # The journal's text: wall-clock begin at the door, time in the front layer, the verdict, the context.
        return f"{began:.1f} {began - handed if handed else -1.0:.1f} {int(ours)} {made.pack()}"

    def _limit(self, cls: str) -> float:
        known = self.exchange.message_class(cls)
        return known.deadline_ms if known else 60000.0

    @guarded
    def taken(self, entry: Entry, command: Command, began: float) -> None:
        """The journal has the message; writing it began at `began`."""
        if len(self._live) >= self.setup.live:
            assert self.store is not None
            self.store.miss("untraced", 1, self._wall(), self._wall())
            return
        live = self._followed(entry)
        if live is None:
            return
        live.life.advance(min(began, self.loop.now()), Kind.DOOR)
        live.life.advance(self.loop.now(), Kind.JOURNAL)
        self._live[entry.number] = live

    def _followed(self, entry: Entry) -> Optional[Live]:
        """Begin to follow an entry, with the part of its life that lies before the door's work."""
        parts = entry.trace.split(" ", 3)
        found = Context.unpack(parts[3]) if len(parts) == 4 else None
        if found is None:
            return None
        at, before = self.exchange.local(float(parts[0])), float(parts[1])
        known = self.exchange.message_class(entry.cls)
        deadline = self.exchange.local(entry.deadline)
        aim = deadline - known.deadline_ms + known.aim_ms if known else deadline
        life = Life(min(self.loop.now(), at - max(0.0, before)))
        live = Live(life, found, entry, self.exchange.dest_number(entry.dest), aim, parts[2] == "1")
        if before < 0:
            live.flags |= codec.FRONT_UNKNOWN
        if at > self.loop.now() + 1.0:
            live.flags |= codec.CLOCK_STEPPED
        life.advance(min(at, self.loop.now()), Kind.FRONT)
        return live

    @guarded
    def answered(self, entry: Entry) -> None:
        live = self._live.get(entry.number)
        if live is not None and live.phase == "taken":
            live.life.advance(self.loop.now(), Kind.ANSWER)

    @guarded
    def refused(self, command: Command, why: str) -> None:
        """Turned away at the door: a short trace of its own."""
        entry = Entry(
            0,
            command.id,
            command.front,
            command.cls,
            command.dest,
            command.tenant,
            command.key,
            self.exchange.wall(command.deadline),
            b"",
            trace=self.identify(command) or "",
        )
        live = self._followed(entry)
        if live is not None:
            live.life.end(self.loop.now(), Kind.DOOR)
            self._finish(live, End.REFUSED, why)

    # Waiting

    @guarded
    def turned(self, events: Iterable[api.Event], now: float) -> None:
        """The Controller has handled these events, and what they brought has begun."""
        concerned: dict[int, None] = {}
        controller, freed = self.exchange.controller, False
        for event in events:
            if isinstance(event, api.NewMessage):
                self._joins(event.message, now)
                concerned[event.destination] = None
            elif isinstance(event, api.Settled):
                freed = True
                if e := controller.endpoints.get(event.target):
                    concerned[e.dest] = None
                if event.message in self._outcomes:
                    self._paused(event.message, self._outcomes.pop(event.message), now)
            elif isinstance(event, api.ListKnown):
                concerned.update(dict.fromkeys(line.destination for line in event.lines))
            elif isinstance(event, (api.Closing, api.Configured)):
                concerned.update(dict.fromkeys(self._lines))
        while self._due and self._due[0][0] <= now:
            concerned[heapq.heappop(self._due)[1]] = None
        if freed and self._starved:
            again = list(self._starved)[:STARVED_MOST]
            concerned.update(dict.fromkeys(again))
        if self._ordered:
            self._in_order(now)
        for dest in concerned:
            self._look(dest, now)
        if now >= self._tidy_at:
            self._tidy_at = now + TIDY_MS
            self._tidy()

    def moved(self, entry: Entry, now: float) -> None:
        """A message that waits has gone over to another destination of its pool."""
        live = self._live.get(entry.number)
        if live is None:
            return
        if live.phase == "waits":
            self._no_longer_waits(live, now)
            live.phase = "taken"
        live.dest = self.exchange.dest_number(entry.dest)

    def _joins(self, number: int, now: float) -> None:
        live = self._live.get(number)
        if live is not None and live.phase == "taken":
            self._waits(live)
            m = self.exchange.controller.messages.get(number)
            if m is not None and m.key:
                live.ordered = True
                self._ordered[number] = live

    def _waits(self, live: Live) -> None:
        live.phase, live.ref = "waits", -1
        self._waiting[live.dest] = self._waiting.get(live.dest, 0) + 1

    def _paused(self, number: int, outcome: Outcome, now: float) -> None:
        """A message that waits again after an attempt may have a pause of its own."""
        live, m = self._live.get(number), self.exchange.controller.messages.get(number)
        if live is not None and m is not None and m.not_before > now:
            kinds = {e.kind for e in self.exchange.controller.dests[m.dest].endpoints}
            full = outcome is Outcome.CONNECT_FAILED and kinds & self.exchange.controller.crowded
            live.hold, live.hold_for = m.not_before, Reason.TABLE_FULL if full else Reason.RETRY_HOLD

    def _in_order(self, now: float) -> None:
        """Close the stretches of those that an earlier message of their key kept waiting."""
        controller = self.exchange.controller
        for number, live in list(self._ordered.items()):
            m = controller.messages.get(number)
            if m is None or number not in self._live:
                del self._ordered[number]
                continue
            first = controller.turns.get(m.key, [m])[0] is m and controller.rests.get(m.key, 0.0) <= now
            if live.phase == "waits" and live.ordered:
                live.life.advance(now, Kind.WAIT, Reason.ORDER)
            elif live.phase == "waits" and not first:
                self._waited(live, now)
            live.ordered = not first

    def _look(self, dest: int, now: float) -> None:
        """Keep the timeline of a destination for which messages wait; forget any other's."""
        if not self._waiting.get(dest):
            self._lines.pop(dest, None)
            self._starved.pop(dest, None)
            return
        line = self._lines.get(dest)
        if line is None:
            line = self._lines[dest] = Timeline()
            if len(self._lines) > DESTS_MOST:
                del self._lines[next(iter(self._lines))]
        first = line.look(
            now,
            outlook(
                self.exchange.controller, dest, now, lambda e: self.exchange.told_wait(e.target.decode())
            ),
        )
        if first < FOREVER:
            heapq.heappush(self._due, (first, dest))
            if len(self._due) > 8 * DESTS_MOST:  # most are overtaken by later looks
                latest = {d: at for at, d in sorted(self._due, reverse=True)}
                self._due = [(at, d) for d, at in latest.items()]
                heapq.heapify(self._due)
        if line.now is Reason.NO_SLOT:
            self._starved[dest] = None
        else:
            self._starved.pop(dest, None)

    def _waited(self, live: Live, until: float) -> None:
        """Add the stretches of waiting up to a time, each with its reason."""
        line, life = self._lines.get(live.dest), live.life
        before = len(life.spans)
        told = 0.0
        for end, reason in line.stretch(life.at, until) if line else [(until, Reason.TURN)]:
            if live.hold > life.at and reason in _YIELDS:
                life.advance(min(end, live.hold), Kind.WAIT, live.hold_for)
            if reason is Reason.TOLD_WAIT:
                told += end - life.at
            life.advance(end, Kind.WAIT, reason)
        live.obeyed = told if len(life.spans) >= before else 0.0

    def _no_longer_waits(self, live: Live, now: float) -> None:
        if live.phase == "waits":
            self._waited(live, now)
            if (left := self._waiting.get(live.dest, 1) - 1) > 0:
                self._waiting[live.dest] = left
            else:
                self._waiting.pop(live.dest, None)
        elif live.phase == "taken":
            live.life.advance(now, Kind.WAIT, Reason.TURN)
        elif live.phase == "out":
            live.life.advance(now, Kind.ATTEMPT, Reason.NONE, live.ref)

    # Attempts

    @guarded
    def begins(self, carried: Carried) -> None:
        """The carried is about to be written down."""
        now = self.loop.now()
        for entry in carried.parts:
            if live := self._live.get(entry.number):
                self._no_longer_waits(live, now)
                live.phase = "begins"

    @guarded
    def begun(self, carried: Carried) -> None:
        """The journal has it, and its carrier is about to have it."""
        now = self.loop.now()
        for entry, number in zip(carried.parts, carried.numbers, strict=True):
            if live := self._live.get(entry.number):
                live.life.advance(now, Kind.JOURNAL)
                live.ref = live.life.begin_attempt(
                    Attempt(number + 1, carried.endpoint.name, members=len(carried.parts), obeyed=live.obeyed)
                )
                live.phase, live.obeyed = "out", 0.0

    @guarded
    def settled(self, carried: Carried, entry: Entry, outcome: Outcome, wait_ms: float, ended: float) -> None:
        """One part of an carried ended at that time, and the journal has it."""
        live = self._live.get(entry.number)
        if live is None:
            return
        life = live.life
        if live.phase == "out":
            began = life.at
            life.advance(ended, Kind.ATTEMPT, Reason.NONE, live.ref)
            if live.ref >= 0:
                attempt = life.attempts[live.ref]
                attempt.outcome, attempt.told = outcome.value, wait_ms
                attempt.reused = carried.reused
                attempt.connected, attempt.written, attempt.first = (
                    at - began if at else -1.0 for at in (carried.connected, carried.written, carried.first)
                )
        life.advance(self.loop.now(), Kind.JOURNAL)
        live.hold = 0.0
        self._waits(live)
        self._outcomes[entry.number] = outcome

    def headers(self, carried: Carried) -> list[tuple[str, str]]:
        """What the call tells of its messages' traces."""
        try:
            return self._headers(carried)
        except Exception:  # guards the call: it goes without
            log.exception("trace not told")
            return []

    def _headers(self, carried: Carried) -> list[tuple[str, str]]:
        members = []
        for entry, number in zip(carried.parts, carried.numbers, strict=True):
            live = self._live.get(entry.number)
            found = live.context if live else Context.unpack(entry.trace.split(" ", 3)[-1])
            if found is None:
                return []
            members.append((found, number + 1))
        if len(members) > 1:
            return context.batch_headers(members)
        found, number = members[0]
        told = [("traceparent", found.header(number))]
        return told + ([("tracestate", found.state)] if found.state else [])

    # The end

    @guarded
    def decided(self, entry: Entry) -> None:
        """The message's end is written down; now it is to be told."""
        if live := self._live.get(entry.number):
            self._no_longer_waits(live, self.loop.now())
            live.phase = "telling"
            self._outcomes.pop(entry.number, None)

    @guarded
    def untold(self, entry: Entry) -> None:
        """A try to tell the end came to nothing."""
        if live := self._live.get(entry.number):
            live.life.advance(self.loop.now(), Kind.NOTICE, Reason.NONE, live.tries)
            live.tries += 1

    @guarded
    def withdrawn(self, entry: Entry) -> None:
        if live := self._live.pop(entry.number, None):
            self._no_longer_waits(live, self.loop.now())
            self._outcomes.pop(entry.number, None)
            live.life.ended = True
            self._finish(live, End.WITHDRAWN)

    @guarded
    def ended(self, entry: Entry) -> None:
        """The client or the platform knows the end."""
        if live := self._live.pop(entry.number, None):
            live.life.advance(self.loop.now(), Kind.NOTICE, Reason.NONE, live.tries)
            live.life.ended = True
            self._finish(live, ENDS.get(entry.state, End.OPEN))

    # Restarts

    @guarded
    def resumed(self, entry: Entry) -> None:
        """An earlier life left the message: its spans are put together from what the journal kept."""
        if not entry.trace or len(self._live) >= self.setup.live:
            return
        live = self._followed(entry)
        if live is None:
            return
        now, life = self.loop.now(), live.life
        live.flags |= codec.RESUMED
        for line in entry.history:
            at, endpoint, outcome, end, told = line
            begun, until = self.exchange.local(float(at)), self.exchange.local(float(end))
            if max(begun, until) > now + 1.0:
                live.flags |= codec.CLOCK_STEPPED
            life.advance(min(begun, now), *self._before(life, endpoint))
            if endpoint:
                number = sum(1 for a in life.attempts) + 1
                place = life.begin_attempt(
                    Attempt(
                        number,
                        str(endpoint),
                        OUTCOMES[outcome] if 0 < outcome < len(OUTCOMES) else "out",
                        told=float(told),
                        earlier=True,
                    )
                )
                life.advance(min(until, now), Kind.ATTEMPT, Reason.NONE, place)
                if outcome == 0:
                    live.ref = place
            else:
                life.advance(min(until, now), Kind.DOWN)
                live.ref = -1
        life.advance(now, Kind.DOWN)
        live.phase, live.ref = ("telling", -1) if entry.state else ("taken", -1)
        self._live[entry.number] = live

    @staticmethod
    def _before(life: Life, endpoint: str) -> tuple[Kind, Reason, int]:
        """What lay between the last thing that the journal kept and the next."""
        last = life.attempts[-1] if life.attempts else None
        if not endpoint and last is not None and last.outcome == "out":
            return Kind.ATTEMPT, Reason.NONE, len(life.attempts) - 1  # out until the process ended
        return Kind.WAIT, Reason.EARLIER, -1

    # What is kept

    def _finish(self, live: Live, end: End, why: str = "") -> None:
        entry, life = live.entry, live.life
        late = life.at - live.aim if end is End.DELIVERED else 0.0
        done = Done(
            live.context,
            entry.id,
            (entry.front, entry.cls, entry.dest, entry.tenant),
            life,
            end,
            self.exchange.wall(life.start),
            live.aim - life.start,
            self.exchange.local(entry.deadline) - life.start,
            entry.after_ms,
            live.flags,
            why,
        )
        rank = sampling.rank(end, late, live.sampled)
        if life.shed and self.store is not None:
            self.store.miss("spans", life.shed, done.start, done.start + life.total)
        if rank is Rank.KEPT:
            self._keep(done)
        elif rank is Rank.SAMPLE:
            self._sample(done, codec.SAMPLED)
        else:
            for slow in self._slowest.offer(entry.dest, life.total, done.start + life.total, done):
                self._sample(slow, codec.SLOW)

    def _sample(self, done: Done, why: int) -> None:
        done.flags |= why
        assert self.store is not None
        self.store.put(
            Rank.SAMPLE,
            done.start + done.life.total,
            lambda texts: [self._message(done, texts, 0), self._detail(done)],
        )

    def _keep(self, done: Done) -> None:
        assert self.store is not None
        life, wall = done.life, done.start + done.life.total
        at = cause(life.spans)
        found: Optional[sampling.Cause] = None
        if at is not None:
            span = life.spans[at]
            endpoint = life.attempts[span.ref].endpoint if span.kind is Kind.ATTEMPT and span.ref >= 0 else ""
            found = sampling.Cause(done.names[2], span.kind, span.reason, endpoint)
            if life.attempts and self._details.allowed(found, wall, self.setup.details):
                self.store.put(Rank.DETAIL, wall, lambda texts: [self._detail(done)])

        def make(texts: Texts) -> list[Record]:
            number = texts.cause(found.dest, found.kind, found.reason, found.endpoint) if found else 0
            return [self._message(done, texts, number)]

        self.store.put(Rank.KEPT, wall, make)

    @staticmethod
    def _message(done: Done, texts: Texts, cause_number: int) -> Message:
        front, cls, dest, tenant = map(texts.number, done.names)
        return Message(
            bytes.fromhex(done.context.trace_id),
            codec.short(done.id),
            front,
            cls,
            dest,
            tenant,
            int(done.end),
            cause_number,
            round(done.start, 1),
            round(done.aim),
            round(done.limit),
            round(done.after),
            codec.pack_spans(done.life.spans),
            codec.pack_attempts(done.life.attempts, texts),
            bytes.fromhex(done.context.parent),
            done.flags,
            done.life.shed,
            texts.number(done.why) + 1 if done.why else 0,
        )

    @staticmethod
    def _detail(done: Done) -> Detail:
        return Detail(
            bytes.fromhex(done.context.trace_id), codec.short(done.id), codec.pack_detail(done.life.attempts)
        )

    def _tidy(self) -> None:
        assert self.store is not None
        wall = self._wall()
        for slow in self._slowest.turn(wall):
            self._sample(slow, codec.SLOW)
        self.store.tidy(wall)
