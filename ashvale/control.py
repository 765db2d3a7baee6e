"""Types, events and actions are in ashvale/interface.py; this module holds every decision.

Calls to a destination, or route apart, are paced by a ring of recent send times: one goes when the oldest is
older than a window plus a latency-derived margin. N is told or learned; under one it stretches the window.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict, deque
from collections.abc import Iterable

from ashvale import interface as api
from ashvale.interface import Effect, Outcome, Readiness
from ashvale.pacing import LOSSY_MS, MISHAP_MS, OVERDUE, RATE_MS, SHUT_MS, WINDOW_MS, failing, gate, overdue
from ashvale.repeats import ADVICE_MS, may_refuse, repeat_by
from ashvale.slow_start import SlowStart
from ashvale.state import MARKS, SAMPLES, Call, Destination, Endpoint, Lane, Message, Recovery
from ashvale.tenants import TenantShares

MARGIN_MS = (30.0, 40.0, 50.0)  # least, first and largest margin
CLEAN_WINDOWS = 8  # clean windows after which a learned ring is open again
LEAST = (3.0, 0.35)  # N's floor: a share of so many calls, and this much of a listed part of many
LOOSE = 2.0  # where many share a limit N starts so many roots of its part over it
SPREAD_MS = (15.0, 500.0)  # returns after a refusal are spread: by each forwarder, and at most while N is one
PATIENCE = (6.0, 20.0)  # time-out of a first attempt and of an unsafe one, likewise
TRIAL_MS = (80.0, 2000.0)  # least pause before a trial call: by each forwarder, and at most
LOW, RISE = 0.5, 0.4  # under this share of its listed part N doubles; under one less, in vast fleets
LANE_SHARE = 0.75  # part of the slots that one lane may hold
LEFT = 0.25  # N does not grow while less than this share of a limit is reported left
EDGE_MS = 80.0  # left of its time when a message is answered
RENEW_MS = 300.0  # first pause before a failed message is tried again; doubles. The list: three at most


class Controller:
    """The decisions of one forwarder. Deterministic: same events, times and seed give the same actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.s, self.random, self.actions = settings, random.Random(seed), list[api.Action]()
        self.endpoints: dict[api.Target, Endpoint] = {}
        self.dests: defaultdict[int, Destination] = defaultdict(Destination)
        self.messages: dict[int, Message] = {}
        self.turns: dict[int, list[Message]] = {}
        self.rests: dict[int, float] = {}
        self.attempts: dict[tuple[int, int], Call] = {}
        self.due: list[tuple[float, int, int, int]] = []  # time, running number, destination, message or -1
        self.dirty: dict[int, None] = {}  # destinations that the event at hand concerns
        self.starved: dict[int, None] = {}  # destinations that wait for a slot
        self.crowded: set[api.Kind] = set()  # kinds of destination whose connection tables were seen full
        self.calls_out, self.held, self.count, self.token, self.wake_at, self.calm_at = 0, 0, 0, 0, 1e18, 0.0
        self.renew_at = 0.0 if settings.must_subscribe else 1e18
        self.shares, self.closing_at = TenantShares(settings), 1e18
        self.slow_start = SlowStart(settings, self.random)
        self._count_forwarders(settings.forwarders)
        self.limits: api.CallLimits = api.Unlimited()  # an operator's

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Take one event and return the actions to carry out, in order."""
        self.actions = []
        if now - self.wake_at > 20 * self.s.tick_ms:  # calls are judged after a late batch is all read
            self.calm_at = now + self.s.tick_ms
        if isinstance(event, api.NewMessage):
            self._accept(event, now)
        elif isinstance(event, api.Settled):
            self._settled(event, now)
        elif isinstance(event, api.ListKnown):
            self._listed(event, now)
        elif isinstance(event, api.Probed) and (e := self.endpoints.get(event.target)):
            e.probing, self.dirty[e.dest] = False, None
            self._told(e.lane, event.report.get("x1", 0.0))
            self.slow_start.settled(Call(e, e.last_sent), self.dests[e.dest], event.outcome, now)
            if event.outcome is Outcome.OK:
                self._succeeded(e, e.last_sent, now)
        elif isinstance(event, (api.Withdrawn, api.Started)) and event.message in self.messages:
            self._finish(self.messages[event.message], now)
        elif isinstance(event, api.Timer) and event.token == self.token:
            self.wake_at = 1e18
        elif isinstance(event, api.Closing):
            self.closing_at = event.at
        elif isinstance(event, api.Configured):
            self._configured(event.settings)
        self._come_due(now)
        if now >= self.calm_at:
            self._dispatch(now)
        self._sleep(now)
        return self.actions

    def _configured(self, settings: api.Settings) -> None:
        """Go on with other settings; all that was learned of destinations stays."""
        self.s, kinds = settings, {kind.name: kind for kind in settings.kinds}
        self.shares.configure(settings)
        self._count_forwarders(settings.forwarders)
        for e in self.endpoints.values():
            e.kind, self.dirty[e.dest] = kinds.get(e.kind.name, e.kind), None

    def _count_forwarders(self, count: int) -> None:  # the more, the less a refusal says of one's own sends
        self.slow_start.configure(self.s)
        self.first_ms, self.least = min(TRIAL_MS[1], TRIAL_MS[0] * count), min(1.0, LEAST[0] / count)
        self.many, self.vast = (max(0.0, 1.0 - few / count) for few in (4.0, 20.0))

    def _later(self, at: float, dest: int, message: int = -1) -> None:
        """Look at a destination, or at a message, when this time comes."""
        self.count += 1
        if at < 1e17:
            heapq.heappush(self.due, (at, self.count, dest, message))

    def _come_due(self, now: float) -> None:
        if now >= self.renew_at:
            self.renew_at = 1e18
            self.actions.append(api.Subscribe())
        while self.due and self.due[0][0] <= now:
            _, _, dest, number = heapq.heappop(self.due)
            if number < 0:
                self.dirty[dest], self.dests[dest].look_at = None, 1e18
            elif m := self.messages.get(number):
                self._expire(m, now)

    def _sleep(self, now: float) -> None:
        """Ask to be woken when the next thing comes due."""
        due = min(self.renew_at, self.due[0][0] if self.due else 1e18, self.calm_at if self.dirty else 1e18)
        if due < self.wake_at and due < 1e17:
            self.token, self.wake_at = (self.token + 1) & 0xFFFFFFFF, due
            self.actions.append(api.Wake(max(due - now, 1.0), self.token))

    def _listed(self, event: api.ListKnown, now: float) -> None:
        """Follow the list; renew a failed subscription after a jittered pause."""
        if event.how is api.ListKind.FAILED:
            self.renew_at = now + RENEW_MS * self.random.uniform(0.5, 3.0)
            return
        for endpoint in self.endpoints.values():
            endpoint.ready = endpoint.ready and event.how is api.ListKind.DELTA
        for line in (x for x in event.lines if x.target in self.endpoints or x.readiness is Readiness.READY):
            endpoint = self._known(line, now) or self._add(line, now)
            endpoint.ready, self.dirty[line.destination] = line.readiness is Readiness.READY, None
            if self.s.listed_rates and line.rate > 0 and endpoint.lane.total <= 0:
                self._told(endpoint.lane, line.rate)
            endpoint.lane.blocked_until = max(endpoint.lane.blocked_until, line.silent_until)
            if line.silent_until - now > SHUT_MS and endpoint.out_since is None:  # another process was told
                self.slow_start.told_shut(endpoint, self.dests[line.destination], line.silent_until, now)
                self._shut(endpoint.lane, now, line.silent_until, now)
            for m in list(self.dests[line.destination].queue) if line.silent_until > now else ():
                self._expire(m, now)
        for e in [e for e in self.endpoints.values() if not (e.ready or e.calls)]:
            del self.endpoints[e.target]
            self.slow_start.left(e, self.dests[e.dest], now)

    def _known(self, line: api.Listing, now: float) -> Endpoint | None:
        """The endpoint that a line of the list is about; one of another destination is another endpoint."""
        endpoint = self.endpoints.get(line.target)
        if endpoint is None or endpoint.dest == line.destination:
            return endpoint
        self.slow_start.left(endpoint, self.dests[endpoint.dest], now)
        return None

    def _add(self, line: api.Listing, now: float) -> Endpoint:
        """Meet an endpoint for the first time; routes apart get a lane each."""
        kind = self.s.kinds[line.kind] if line.kind < len(self.s.kinds) else api.Kind("")
        dest, fees = self.dests[line.destination], self.s.zone_fees if kind.routes_apart else ()
        usual = min((c.aim_ms for c in self.s.classes), default=1000.0) / 4
        new = kind.routes_apart or not dest.endpoints
        lane = Lane(usual, MARGIN_MS[1], deque(maxlen=SAMPLES)) if new else dest.endpoints[0].lane
        lane.least = 1 + int(2.5 * self.many)  # guards one of many against waiting for turns that nobody uses
        lane.recovery = dest.routes.pop(line.target, Recovery()) if kind.routes_apart else dest.recovery
        lane.blocked_until = max(lane.blocked_until, lane.recovery.blocked_until)
        fee = fees[line.zone] if line.zone < len(fees) else 0.0
        e = Endpoint(line.target, line.zone, line.destination, kind, fee, lane, deque(maxlen=MARKS))
        self.endpoints[line.target] = e
        # Guards fail-back: a newcomer shares the trouble of its kin, or of those that left.
        if kin := [x for x in lane.endpoints if x.ready]:
            e.ramp_from, e.out_since = kin[-1].ramp_from, kin[-1].out_since
        else:
            self.slow_start.inherit(e, now)
        dest.endpoints.append(e)
        lane.endpoints.append(e)
        self._next_trial(e, now)
        return e

    def _accept(self, event: api.NewMessage, now: float) -> None:
        cls, key = self.s.classes[event.message_class], event.order_key
        worth = cls.worth * self.shares.weigh(event.tenant, now)
        aim = event.deadline - cls.deadline_ms + cls.aim_ms
        m = Message(event.message, cls.in_order and key, event.destination, cls, worth, aim, event.deadline)
        self.dests[m.dest].queue.append(m)
        self.dests[m.dest].arrivals.append(now)
        self.messages[m.id], self.held, self.dirty[m.dest] = m, self.held + 1, None
        self._later(m.deadline - EDGE_MS, m.dest, m.id)
        if m.key:
            self.turns.setdefault(m.key, []).append(m)
        m.attempts, m.kept, m.halves = event.attempts, event.kept, not self.s.fades_linear
        m.spent = event.spent
        m.maybe_ran = None if event.ran_at is None else (event.ran_at, event.ran_zone)  # in an earlier life
        self._later(repeat_by(m), m.dest, m.id)
        if event.failed and (e := self.slow_start.taken_back(self.dests[m.dest], event.taken_back, now)):
            self._went_out(e, now, e.lane.recovery.failing_since, self.many, Outcome.RESET)
        self.rests |= {m.key: now + self.s.order_settle_ms} if m.key and m.maybe_ran else {}  # it may run yet
        self._expire(m, now, self.limits.line(m.id, now))
        self._thin(m.dest, now)
        if self.held >= self.s.max_open and not m.kept:  # make room for the next message
            self._give_up_least(self.messages.values(), now)

    def _give_up(self, m: Message, now: float) -> None:
        """Answer at once: refused with advice where that is allowed, failed otherwise."""
        back = min(max(ADVICE_MS, self.dests[m.dest].shut_until() - now), self.s.max_backoff_ms)
        refusal = api.Refuse(m.id, back * self.s.may_advise)
        self.actions.append(refusal if may_refuse(m) else api.Fail(m.id))
        self._finish(m, now)

    def _finish(self, m: Message, now: float) -> None:
        """The message is over: nothing is sent for it any more. Its attempts out are still followed."""
        if not m.done:
            m.done, self.held = True, self.held - 1
            self.dests[m.dest].queue = [x for x in self.dests[m.dest].queue if x is not m]
        if not m.out and self.messages.pop(m.id, m) and m.key and m in self.turns.get(m.key, ()):
            self.turns[m.key].remove(m)
            if self.turns[m.key]:  # the next of this key may be bound elsewhere, and may have to rest
                self._later(max(now, self.rests.get(m.key, now)), self.turns[m.key][0].dest)
            else:
                del self.turns[m.key]

    def _give_up_least(self, among: Iterable[Message], now: float) -> None:
        """Give up at once, of what may be refused, the one that earns least when its queue has drained."""
        waiting = [m for m in among if not (m.out or m.done or m.kept) and may_refuse(m)]
        waiting = [m for m in waiting if now >= m.ends_from]
        drained = {dest: now + self._drain(dest, now) for dest in {m.dest for m in waiting}}
        if waiting:
            self._give_up(min(waiting, key=lambda m: m.worth_at(drained[m.dest])), now)

    def _thin(self, dest: int, now: float) -> None:
        """Guards clients against a queue that its limit cannot drain: give up at once what earns least."""
        queue, lanes = self.dests[dest].queue, [e.lane for e in self.dests[dest].endpoints if e.ready]
        if not (queue and lanes) or (n := lanes[0].n) is None:
            return
        n = max(n, self.many * self._part(lanes[0]))  # what a passing refusal took comes back
        left = max(m.deadline for m in queue) - max(now, self.dests[dest].shut_until())
        room = max(1.0, n * left / WINDOW_MS) * self.dests[dest].endpoints[0].kind.per_call
        if len(queue) > room:
            self._give_up_least(queue, now)

    def _drain(self, dest: int, now: float) -> float:
        """Return about how long this destination's queue takes; at least a second."""
        queue, unknown = self.dests[dest].queue, 1e9 if self.limits.binding else 1.0
        size = next((e.lane.n for e in self.dests[dest].endpoints if e.lane.n), unknown)
        line = self.limits.line(queue[-1].id, now) if queue else 0.0
        return max(1000.0, len(queue) * WINDOW_MS / size, line)

    def _expire(self, m: Message, now: float, line: float = 0.0) -> None:
        """Guards clients against silence: what cannot go in time any more, or at all, is answered now."""
        start = max(now + line, m.not_before, self.dests[m.dest].shut_until())
        late = start >= m.deadline - EDGE_MS or m.attempts >= self.s.max_attempts or m.spent
        if m.out or m.done or not (late or start >= repeat_by(m)):
            return
        if now < m.ends_from:
            return self._later(m.ends_from, m.dest, m.id)
        self._give_up(m, now)

    def _may_send(self, m: Message, e: Endpoint, now: float) -> bool:
        """The guard of every send: rules two, three, five and six for this message and endpoint."""
        held = max(m.not_before, e.lane.blocked_until) > now or m.attempts >= self.s.max_attempts or m.spent
        if now >= self.closing_at or held or m.done or m.out or not e.ready or now >= repeat_by(m):
            return False
        if m.maybe_ran and m.cls.effect is Effect.KEYED and m.cls.group != "all" and e.zone != m.maybe_ran[1]:
            return False
        if m.key and (self.turns[m.key][0] is not m or now < self.rests.get(m.key, 0.0)):
            return False
        # Guards unsafe messages against calls that may hang; where nothing may be probed they try it.
        healthy = e.out_since is None and not overdue(e, now)
        return (m.cls.effect is not Effect.UNSAFE or healthy or not self.s.may_probe) and self._let(m, now)

    def _let(self, m: Message, now: float) -> bool:
        """Ask the operator's limits, and look again when they have room."""
        if (wait := self.limits.wait(m.id, now)) <= 0.0:
            return True
        if wait > 1e17:  # the end of any call may make room
            self.starved[m.dest] = None
        elif now + wait < self.dests[m.dest].look_at:
            self.dests[m.dest].look_at = now + wait
            self._later(now + wait, m.dest)
        return False

    def _pace(self, e: Endpoint, grown: float, now: float) -> float:
        """Return the pause between calls to a cold endpoint."""
        return len(e.lane.endpoints) * self.slow_start.pace(e.lane, self.dests[e.dest], grown, now)

    def _opens(self, e: Endpoint, now: float) -> float:
        """Return when health lets the next call go to this endpoint; past times mean now."""
        return max(self._endpoint_opens(e, now), self.slow_start.opens(e.lane.recovery, now))

    def _endpoint_opens(self, e: Endpoint, now: float) -> float:
        late = overdue(e, now)
        if e.out_since is None and late >= 2:
            self._went_out(e, now, e.calls[0].sent, self.many, Outcome.TIMEOUT)
        if e.out_since is not None or e.rests_until > now:
            out = e.out_since is not None and not self.slow_start.out(e.lane.recovery, now)
            return max(e.rests_until, e.trial_at if out else 0.0)
        if len(e.calls) > late > 0:  # wait for what is out, until all of it is overdue
            return look if (look := e.calls[-1].sent + OVERDUE * e.lane.usual + 1.0) > now else 1e18
        grown = 1.0 if self.many else min(1.0, (now - e.ramp_from) / self.s.warm_up_ms)
        return e.last_sent + self._pace(e, grown, now) if grown < 1.0 else 0.0

    def _dispatch(self, now: float) -> None:
        """Send what may go from the destinations concerned, the message first that loses most by waiting."""
        picks = {dest: self._pick(self.dests[dest], now) for dest in self.dirty}
        while best := max(filter(None, picks.values()), key=lambda pick: pick[0], default=None):
            if self._let(best[1], now):  # a send elsewhere may have used up a limit that both share
                self._send(*best[1:], now)
            # Guards CPU in a jam: a send changes no other destination's pick, unless it took the last slot.
            for dest in [best[1].dest] if self.calls_out < self.s.slots else list(picks):
                picks[dest] = self._pick(self.dests[dest], now)
        while self.dirty:
            self._plan(self.dirty.popitem()[0], now)

    def _plan(self, number: int, now: float) -> None:
        """Probe where only unsafe messages wait, and look again when the next gate opens."""
        dest, due = self.dests[number], 1e18
        if self.calls_out >= self.s.slots and dest.queue:
            self.starved[number] = None
        for e in (e for e in dest.endpoints if e.ready and dest.queue):
            opens = max(gate(e.lane), self._opens(e, now))
            # Guards unsafe messages against waiting for ever: only they wait, and no trial would be safe.
            starts = self.slow_start.opens(e.lane.recovery, now)
            out = self.slow_start.out(e.lane.recovery, now)
            trial = not e.probing and now >= max(0.0 if out else e.trial_at, e.lane.blocked_until, starts)
            if self.s.may_probe and trial and (e.out_since is not None or overdue(e, now)):
                e.probing, e.last_sent = True, now
                self._next_trial(e, now)
                self.slow_start.went(e, self.dests[e.dest], now)
                self.actions.append(api.Probe(e.target))
            due = opens if now < opens < due else due
        if due < dest.look_at and due < 1e17:
            dest.look_at = due
            self._later(due, number)

    def _free(self, e: Endpoint, now: float) -> bool:
        """Tell whether slots, ring and health let a call go; one lane never holds all slots."""
        most = max(2.0, LANE_SHARE * self.s.slots) if self.calls_out < self.s.slots else 0.0
        room = sum(len(x.calls) for x in e.lane.endpoints) < most
        return room and max(gate(e.lane), self._opens(e, now)) <= now

    def _rank(self, e: Endpoint, now: float) -> tuple[bool, bool, float, int, float]:  # the least goes first
        return not e.joins(now), e.out_since is None, e.fee, len(e.calls), -e.last_ok

    def _pick(self, dest: Destination, now: float) -> tuple[float, Message, Endpoint] | None:
        """Choose the message that loses most by waiting for the queue to drain, and its best endpoint."""
        known = [e for e in dest.endpoints if e.ready and (e.joins(now) or self._free(e, now))]
        endpoints = sorted(known, key=lambda e: self._rank(e, now))
        best: tuple[float, Message, Endpoint] | None = None
        if not (endpoints and dest.queue):
            return None
        arrive = now + endpoints[0].lane.usual
        drained = arrive + self._drain(dest.queue[0].dest, now)
        for m in dest.queue:
            soon = m.worth_at(arrive)
            index = soon - m.worth_at(drained) + 1e-3 * soon
            if best is None or index > best[0]:
                e = next((e for e in endpoints if self._may_send(m, e, now)), None)
                best = (index, m, e) if e else best
        return best

    def _send(self, m: Message, e: Endpoint, now: float) -> None:
        if not e.joins(now):
            e.calls.append(Call(e, now))
            e.lane.ring.append(now)
            self.calls_out, e.last_sent = self.calls_out + 1, now
            if e.out_since is not None:
                self._next_trial(e, now)
            self.slow_start.went(e, self.dests[e.dest], now)
        call = e.calls[-1]
        call.members += 1
        self.attempts[(m.id, m.attempts)] = call
        # Guards slots against lost calls; doubled each time, as a message may be long. Unsafe ones end by it.
        patience = PATIENCE[1] if m.cls.effect is Effect.UNSAFE else PATIENCE[0] * 2.0 ** min(m.attempts, 4)
        until = min(m.deadline - 2 * self.s.tick_ms, now + patience * max(MARGIN_MS[2] * 3, e.lane.usual))
        call.until = max(call.until, until)
        m.attempts, m.out, m.kept = m.attempts + 1, m.out + 1, False
        (dest := self.dests[m.dest]).queue.remove(m)
        self.limits.went(m.id, now)
        self.actions.append(api.Send(m.id, e.target, until, repeat_by(m), dest.scarce(e, self.crowded)))

    def _settled(self, event: api.Settled, now: float) -> None:
        call = self.attempts.pop((event.message, event.attempt), None)
        m = self.messages.get(event.message)
        if call is None or m is None:
            return
        call.members, m.out, e, self.dirty[m.dest] = call.members - 1, m.out - 1, call.endpoint, None
        self.limits.came(m.id, now)
        if call.members == 0:
            e.calls.remove(call)
            self.calls_out -= 1
            self.dirty, self.starved = self.dirty | dict.fromkeys(reversed(self.starved)), {}
        self._learn(e, call, event, now)
        # Guards connection tables against idle connections of many, but where traffic reuses them.
        rare = self.dests[e.dest].arrived_since(now - RATE_MS) <= 1
        if (e.kind in self.crowded or rare) and not (e.calls or self.dests[e.dest].queue):
            self.actions.append(api.CloseIdle(e.target))
        doubted = event.unproven and event.outcome is not Outcome.OK
        if doubted:
            # Guards who hears of an end against a call behind it: its own answer has yet to come, perhaps.
            m.ends_from = min(call.until, m.deadline - EDGE_MS)
        if m.key and (doubted or event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)):
            self.rests = {key: until for key, until in self.rests.items() if until > now}
            self.rests[m.key] = max(now, m.ends_from) + self.s.order_settle_ms
            self._later(self.rests[m.key], m.dest)
        if event.may_have_run and not m.maybe_ran:
            m.maybe_ran = (call.sent, e.zone)
            self._later(repeat_by(m), m.dest, m.id)
        m.spent = m.spent or event.spent
        if event.finished or m.done:
            return self._finish(m, now)
        if event.no_slot or event.outcome in (Outcome.ERROR, Outcome.CONNECT_FAILED):
            m.not_before = now + RENEW_MS * 2.0 ** min(m.attempts - 1, 4) * self.random.uniform(0.75, 1.25)
            self._later(m.not_before, m.dest)
        self.dests[m.dest].queue.append(m)
        for waiting in list(self.dests[m.dest].queue) if event.outcome is Outcome.FULL else (m,):
            self._expire(waiting, now, self.limits.line(m.id, now) if waiting is m else 0.0)

    def _learn(self, e: Endpoint, call: Call, event: api.Settled, now: float) -> None:
        lane, outcome = e.lane, event.outcome
        self.slow_start.settled(call, self.dests[e.dest], outcome, now, event.wait_ms)
        self._told(lane, event.report.get("x1", 0.0))
        if event.wait_ms > 0 and outcome is not Outcome.FULL:  # told beside another outcome it binds as well
            lane.blocked_until = max(lane.blocked_until, now + event.wait_ms + 1.0)
        if outcome is Outcome.OK:
            lane.latencies.append(event.took_ms)
            lane.usual = sum(lane.latencies) / len(lane.latencies)
            lane.margin = min(MARGIN_MS[2], max(MARGIN_MS[0], float(int(lane.usual * 1.1))))
            self._succeeded(e, call.sent, now)
            e.crowds, lane.dry, e.ok_sent, e.last_ok = 0, 0, max(e.ok_sent, call.sent), now
            if event.report.get("x0", 1.0) > LEFT:
                self._grow(lane, now)
        elif outcome is Outcome.FULL:
            self._refused(e, call.sent, event.wait_ms, now)
        elif outcome is Outcome.CROWDED:
            self._no_table(e, call, now)
        elif outcome is Outcome.CONNECT_FAILED and (e.calls or e.ok_sent >= call.sent > now - 2000.0):
            self.crowded.add(e.kind)  # others are served: the connection table is full, no outage
        elif outcome not in (Outcome.CANCELLED, Outcome.MOOT) and not call.lost:
            e.marks.append(False)
            # Guards health against an answer lost for a whole call, and one that loses some but serves on.
            call.lost = outcome is Outcome.RESET
            lossy = call.lost and (now < e.lossy_until or now - e.ramp_from < self.s.warm_up_ms)
            e.unconnected = outcome is Outcome.CONNECT_FAILED
            self.crowded |= {e.kind} if e.unconnected else set()  # until it proves to be an outage
            # Guards against calls lost at random, or very long: one that a later call overtook is no sign.
            if call.sent > e.ok_sent and not lossy or failing(e.marks):
                self._went_out(e, now, call.sent, 0.0 if call.lost else self.many, outcome)

    def _told(self, lane: Lane, total: float) -> None:
        """A told limit is the total of all forwarders: N starts at a part, and looser where many share it."""
        lane.total += 0.2 * (total - lane.total) if lane.total and total else total
        if lane.n is None and total > 0:
            part = self._part(lane)
            lane.n = max(1.0, min(part + LOOSE * part**0.5 * self.many, part * self.s.forwarders))

    def _part(self, lane: Lane) -> float:  # an even part of a told limit, in calls a window, or 0
        return lane.total * WINDOW_MS / 1000.0 / self.s.forwarders

    def _grow(self, lane: Lane, now: float) -> None:
        """Widen the ring by one for each clean window that filled it; under one, by RISE with a success."""
        if lane.n is not None and lane.n < 1.0:
            lane.n = max(min(1.0, (2.0 - RISE * self.vast) * lane.n), LEAST[1] * self.many * self._part(lane))
        elif lane.n is not None and now - lane.grown_at >= WINDOW_MS:
            # Guards against a collapse that outlasts its cause: far under its listed part N doubles.
            step = lane.n if lane.n < LOW * self._part(lane) else 1.0
            full = lane.sends_since(now - WINDOW_MS - lane.margin) >= int(lane.n)  # the ring's own period
            waits = any(self.dests[e.dest].queue for e in lane.endpoints)
            lane.n, lane.grown_at = lane.n + step * (full and waits), now
            if lane.total > 0:
                lane.n = min(lane.n, max(1.0, lane.total * WINDOW_MS / 1000.0))
            elif now - lane.refused_at > CLEAN_WINDOWS * WINDOW_MS:
                lane.n = None

    def _refused(self, e: Endpoint, sent: float, wait: float, now: float) -> None:
        """Refused as full: lower N, keep a told wait; a long wait means shut."""
        # Guards a limit of many, which refused calls may use up: vast fleets halve N, and its floor in a row.
        lane, part = e.lane, self._part(e.lane)
        size = min(lane.n or 1e9, max(1.0, lane.sends_since(now - WINDOW_MS), self.many * part))
        if lane.n is None or lane.n >= max(2.0, 4.0 * self.many):
            lane.n = max(1.0, size - 1.0)
        elif sent > lane.refused_at:  # calls that were out together count once
            lane.dry, row = min(lane.dry + 1, 3) if self.vast else 0, 0.5**lane.dry
            lane.n = max(self.least, LEAST[1] * self.many * part * row, (0.75 - 0.25 * self.vast) * size)
        lane.grown_at = lane.refused_at = now
        spread = min(SPREAD_MS[1], SPREAD_MS[0] * self.s.forwarders) / min(1.0, lane.n)
        at = now + (wait + 1.0 if wait > 0 else WINDOW_MS / 5) + spread * self.random.random()
        lane.blocked_until = max(lane.blocked_until, at)
        if wait > SHUT_MS:
            self._shut(lane, sent, now + wait, now)

    def _shut(self, lane: Lane, sent: float, until: float, now: float) -> None:
        """Told to be shut: every endpoint of the destination, or route apart, is out until a trial then."""
        for e in lane.endpoints:
            self._went_out(e, now, sent, self.many, Outcome.FULL)
            self._next_trial(e, until)

    def _no_table(self, e: Endpoint, call: Call, now: float) -> None:
        # Guards tables against idle connections of many, and pacing: what was turned away used no limit up.
        if e.kind not in self.crowded:
            self.actions += [api.CloseIdle(x.target) for x in self.endpoints.values() if x.kind == e.kind]
        self.crowded.add(e.kind)
        if call.sent in e.lane.ring:  # once for all messages of a call
            e.lane.ring.remove(call.sent)
            e.crowds += 1
        pause = min(SPREAD_MS[1], e.lane.usual * 2.0 ** min(e.crowds - 1, 3))
        e.rests_until = now + pause * self.random.uniform(0.5, 1.5)

    def _went_out(self, e: Endpoint, now: float, since: float, many: float, outcome: Outcome) -> None:
        """Hold the endpoint to fail, from when the failed call was sent: only trials until one succeeds."""
        if e.out_since is None:
            # Guards fail-back: who calls rarely cannot know how long it had failed before the call at hand.
            since = min(since, max(e.ok_sent, now - many * self.s.warm_up_ms))
            e.out_since = since if now - e.ramp_from > self.s.warm_up_ms else now - MISHAP_MS
            e.trial_at, e.ramp_from = now + self.first_ms, -1e12
            self.actions += [api.HealthChanged(e.target, e.dest, api.Health.OUT, outcome, now - e.out_since)]
            if many:
                self._next_trial(e, now)
            kin = [x for x in e.lane.endpoints if many and x.ok_sent <= since]  # two out: it is the partner
            for x in kin if sum(x.out_since is not None for x in kin) > 1 else ():
                x.out_since = e.out_since

    def _next_trial(self, e: Endpoint, now: float) -> None:
        """Set when the next trial or probe may go, of all endpoints that share the limit."""
        # Guards what returns against trials of many: their pauses grow with the outage, and add up to a part.
        pause = 1e18 if self.many else (now - (e.out_since or now)) / self.slow_start.cold_part
        pause = max(self.first_ms, min(pause, self._pace(e, 0.0, now) / max(1, len(e.lane.endpoints))))
        at = now + pause * self.random.uniform(*((0.0, 2.0) if self.many else (0.5, 1.5)))
        for kin in e.lane.endpoints:
            kin.trial_at = max(kin.trial_at, at)

    def _succeeded(self, e: Endpoint, sent: float, now: float) -> None:
        """A success ends the failing spell, but not of a destination that has shut since it was sent."""
        e.marks.append(True)
        if sent > e.lane.recovery.shut_sent:
            self._came_back(e, now)

    def _came_back(self, e: Endpoint, now: float) -> None:
        """The failing spell is over; after an outage the load returns in steps (rule four)."""
        if e.out_since is not None:
            lasted = now - e.out_since
            health = api.Health.WARMING if lasted >= MISHAP_MS or failing(e.marks) else api.Health.WELL
            self.actions.append(api.HealthChanged(e.target, e.dest, health, Outcome.OK, lasted))
            e.lossy_until = now + LOSSY_MS if now - e.out_since < MISHAP_MS else e.lossy_until
            e.ramp_from = now if now - e.out_since >= MISHAP_MS or failing(e.marks) else e.ramp_from
            self.crowded -= {e.kind} if e.unconnected and now - e.out_since >= 2 * MISHAP_MS else set()
            for kin in [x for x in e.lane.endpoints if self.many and x.ok_sent < e.out_since and x is not e]:
                kin.out_since, kin.ramp_from = None, e.ramp_from
        e.out_since, e.unconnected = None, False
