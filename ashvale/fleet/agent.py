"""One courier's part in the fleet: record, state, leases and view of the others, as one machine without I/O.

It owns who may speak under a name, what is asked of whom, and when a lease may be used. It takes messages and
time and returns `Effects`; it must never be asked for more before their saves are on the disk and their
messages on the way. Times are monotonic milliseconds.

A courier whose name was seen with a later incarnation than its folder knows has lost what it had (an empty
folder, or an old copy): it takes a later one and votes no more until the leader has taken it out of the
voters and in again. One that learns so while it runs has a successor, and falls silent.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import msgspec

from ashvale.fleet import permits as rules
from ashvale.fleet import releases
from ashvale.fleet.members import Members, Rhythm, Status, View
from ashvale.fleet.messages import (
    Ack,
    Body,
    Envelope,
    Health,
    Hello,
    InForce,
    Look,
    Noted,
    Ping,
    Propose,
    Proposed,
    Renew,
    Renewed,
    Saw,
    Stale,
    Welcome,
)
from ashvale.fleet.record import (
    Entry,
    Out,
    Pulled,
    Record,
    Refused,
    Role,
    Saved,
    Snapshot,
    Timing,
    majority,
    voters_at,
)
from ashvale.fleet.state import (
    Acquire,
    Ask,
    Back,
    Begin,
    Command,
    Declare,
    Onward,
    Progress,
    Put,
    Release,
    Result,
    State,
    Steer,
    Unban,
    Unknown,
    encode,
)

COMPACT_AT = 2000  # entries in the log, beyond which what they came to takes their place
OPEN_MOST = 256  # requests of this courier under way, and of others at a leader
AGAIN_MS = 500.0  # a request goes to the leader again after so long
GIVE_UP_MS = 5000.0  # and its outcome counts as unknown after so long
TOLD_MOST = 5  # others whom one that leaves tells; they pass it on
READMIT = "readmit/"  # keys: the incarnation of a voter that lost its folder and may be taken in again


class Kept(msgspec.Struct):
    """What a courier's folder holds besides the record."""

    incarnation: int = 0
    lost: bool = False
    seen: dict[str, tuple[int, str]] = {}  # by name: the latest incarnation, and its life
    back: int = 0  # the number of a permit that was ended at this courier itself, whoever may know of it


@dataclass(frozen=True)
class Setup:
    """What the operator's file says of the fleet."""

    fleet: str
    name: str
    peers: tuple[str, ...]  # all names but the own
    voters: tuple[str, ...]  # who votes where there is no record yet
    timing: Timing = Timing()
    rhythm: Rhythm = Rhythm()
    follow: float = 1000.0  # how often one that does not vote asks what was decided
    buildings: tuple[tuple[str, str], ...] = ()  # couriers, and where they stand


@dataclass
class Effects:
    """First save, with one sync, then send, then tell."""

    record: list[Out] = field(default_factory=list)  # in order; `compacted` goes last
    compacted: bool = False
    kept: bool = False
    sends: list[tuple[str, Body]] = field(default_factory=list)
    results: list[tuple[str, Result]] = field(default_factory=list)
    step: tuple[str, str, str, int] = ("", "", "", 0)  # of a release, to do now: name, way, release, permit
    changes: list[tuple[str, dict[str, object]]] = field(default_factory=list)  # for the log

    @property
    def saves(self) -> bool:
        return self.kept or self.compacted or any(out.saves for out in self.record)


@dataclass
class Request:
    """A command of this courier that is under way."""

    command: Command
    began: float
    again: float


@dataclass
class Held:
    """A lease that this courier holds: usable until then, by its own clock."""

    number: int
    ttl: float
    until: float
    renew: float


class Agent:
    """See the module. `life` tells two processes with one name and incarnation apart."""

    def __init__(self, setup: Setup, saved: Saved, kept: Kept, life: str, random: Random, now: float) -> None:
        self.setup, self.kept, self.life, self.random = setup, kept, life, random
        if not (saved.snapshot.voters or saved.snapshot.index):
            saved.snapshot = Snapshot(voters=tuple(sorted(setup.voters)))
        self.record = Record(setup.name, saved, setup.timing, random, now)
        self.state = State(saved.snapshot.state)
        self.kept.incarnation += 1
        self.members = Members(setup.name, self.kept.incarnation, setup.peers, setup.rhythm, random, now)
        self.aside_until = 0.0  # above nought: another process acts under this name; asked again then
        self.stopped = ""  # why this process takes part no more
        self.confirmed: set[str] = set()
        self.requests: dict[str, Request] = {}
        self.asked_by: dict[str, set[str]] = {}  # at the leader: who waits to hear of a command
        self.leases: dict[str, Held] = {}
        self.renewed: dict[str, float] = {}  # at the leader: when a lease was last renewed
        self.lost_voters: dict[str, int] = {}
        self.looks: dict[str, set[str]] = {}
        self.pull_at = self.hello_at = now
        self.minute = -1  # of the day, in UTC, for quiet hours; its driver says so
        self.ready = True  # its driver's word that this courier takes messages, but for a permit
        self.ready_since = now
        self.granted_at = 0.0  # at the leader: when it last applied a grant
        self.banned_at: dict[str, tuple[int, float]] = {}  # at the leader: bans, and since when it knows
        self.in_force: dict[str, int] = {}  # at the leader: by which bans others act
        self.noted: tuple[str, int] = "", 0
        # Of a release. Its driver's word: what ended here, how much of it was given up, what is owed; the
        # version that runs; and, once a step's command has ended, what went wrong ("" for nothing).
        self.health = Health(0, 0, 0)
        self.version = ""
        self.step_ended: str | None = None
        self.stepped = 0  # the permit by which this process began its latest step; guards against a second
        self.health_at = 0.0
        # At the leader: what each courier told, by its life, and from where it is compared; since when.
        self.told: dict[str, tuple[int, Health]] = {}
        self.base: dict[str, tuple[int, Health]] = {}
        self.released: frozenset[str] = frozenset()
        self.began_at: dict[tuple[str, str], float] = {}
        self.idle_at: dict[str, tuple[int, float]] = {}
        self.soaks: tuple[str, int, float] = "", 0, 0.0
        self.tell_at = 0.0
        self.buildings = dict(setup.buildings)
        held = State(saved.snapshot.state)
        for entry in saved.entries:
            if entry.kind == "put":
                try:
                    held.apply(entry.index, entry.data)
                except Unknown:
                    break  # it is told once that is decided
        self._maybe, self._maybe_to = frozenset(held.bans), self.record.last
        self._begun = False
        self._was: tuple[object, ...] = ()
        self._fx = Effects(kept=True)

    # What drives it

    def tick(self, now: float) -> Effects:
        """What time brings; to be asked for at `due`, and right after the start."""
        if self.stopped:
            return Effects()
        if self.aside_until > 0.0:
            if now >= self.aside_until:  # whether the other is still there
                self.aside_until = now + 2 * self.setup.rhythm.suspect
                self._fx.sends += [(v, Hello()) for v in self.record.voters if v != self.setup.name]
            self.members.stalled(now)
            for id in list(self.requests):  # guards callers against waiting as long as this process is aside
                self._result(id, Result(False, 0, "unknown: another process has this name"), now)
            return self._done(now)
        if (late := self.members.stalled(now)) > self.setup.timing.election:
            self._woke(late, now)
        if now >= self.record.due:
            self._take(self.record.tick(now), now)
        self._confirm(now)
        self._follow(now)
        asks, helps = self.members.tick(now)
        self._fx.sends += [(name, Ping()) for name in asks]
        self._fx.sends += [(helper, Look(name)) for helper, name in helps]
        self._readmit(now)
        self._serve_again(now)
        self._step(now)
        self._grant_next(now)
        self._drive(now)
        self._requests(now)
        self._renew(now)
        self._tell_bans(now)
        return self._done(now)

    @property
    def due(self) -> float:
        """When `tick` is to be called next."""
        times = [self.record.due, self.members.due, self.members.last_tick + self.setup.rhythm.every]
        if not self._votes():
            times.append(self.pull_at)
            if self._unconfirmed():
                times.append(self.hello_at)
        times += [r.again for r in self.requests.values()] + [h.renew for h in self.leases.values()]
        return 1e18 if self.stopped else self.aside_until or min(times)

    def receive(self, m: Envelope, now: float) -> Effects:
        """Take a message from a peer that the transport knows to be one."""
        if self.stopped or m.sender not in self.members.members:
            return Effects()
        if self.aside_until > 0.0:
            if isinstance(m.body, Welcome):
                self.aside_until = 0.0
            elif isinstance(m.body, Stale) and m.body.quiet >= self.setup.rhythm.suspect:
                self.aside_until = 0.0
                self._stale(m.body, now)
            return self._done(now)
        newest, life = self.kept.seen.get(m.sender, (0, ""))
        if m.incarnation < newest or (m.incarnation == newest and life not in ("", m.life)):
            if not isinstance(m.body, Stale):
                quiet = now - self.members.members[m.sender].heard
                self._fx.sends.append((m.sender, Stale(newest, life, quiet)))
            return self._done(now)
        if m.incarnation > newest:
            self.kept.seen[m.sender] = m.incarnation, m.life
            self._fx.kept = True
            self.record.forget(m.sender)  # it may have less than it had
            self.in_force.pop(m.sender, None)  # and has yet to say by which bans it acts
            self._log("begins", peer=m.sender, incarnation=m.incarnation)
        if m.lost:
            self.lost_voters[m.sender] = m.incarnation
        else:
            self.lost_voters.pop(m.sender, None)
        if m.views and m.views[0].name == m.sender:
            self.members.heard(m.views[0], now)
        self.members.told(list(m.views[1:]), m.sender, now)
        self._handle(m.sender, m.body, now)
        if self.state.queue:  # what was just decided may let the next one go
            self._grant_next(now)
        return self._done(now)

    def request(self, command: Command, now: float) -> Effects:
        """Have a command decided; `Effects.results` tells what came of it, by its id, in time."""
        if self.stopped or self.aside_until or len(self.requests) >= OPEN_MOST:
            self._fx.results.append((command.id, Result(False, 0, self.stopped or "too much under way")))
        else:
            if isinstance(command, Release):
                self.leases.pop(command.lease, None)  # not used any more before anybody else may have it
            self.requests[command.id] = Request(command, now, now)
            self._requests(now)
        return self._done(now)

    def leave(self, now: float) -> Effects:
        """This process is about to end by its own will: `gone`, where silence would make it `out`."""
        self.members.leaving()
        others = [n for n, m in self.members.members.items() if m.status <= Status.SUSPECT]
        self._fx.sends += [(n, Ping()) for n in self.random.sample(others, min(TOLD_MOST, len(others)))]
        return self._done(now)

    def change(self, voters: tuple[str, ...], now: float) -> Effects:
        """Other voters, at the leader. Raises `Refused`."""
        _, out = self.record.change(voters, now)
        self._take(out, now)
        return self._done(now)

    def envelope(self, peer: str, body: Body) -> Envelope:
        """What goes to `peer`: with what is thought of the peer itself, so that it can say otherwise."""
        views = self.members.gossip()
        about = self.members.members.get(peer)
        if about is not None and about.status is Status.SUSPECT:
            views.insert(1, about.view)
        return Envelope(self.setup.name, self.kept.incarnation, self.life, self.kept.lost, tuple(views), body)

    def holds(self, lease: str, now: float) -> int:
        """The number of a lease that may be used at this very moment; 0 where it may not. Ask at each use."""
        held = self.leases.get(lease)
        return held.number if held is not None and now < held.until else 0

    # In and out of service

    @property
    def out(self) -> int:
        """The number of the permit by which this courier is out of service now; 0 while it serves.

        Once nought for a permit it stays so: it was called back, at this courier or in the record, or the
        restart for which it was granted has happened. So a `Back` that is under way is never a lie.
        """
        permit = self.state.permits.get(self.setup.name)
        if permit is None or permit.back or permit.number <= self.kept.back:
            return 0
        if permit.kind == "release":
            rollout = self.state.rollout
            return permit.number if rollout is not None and rollout.at_work(self.setup.name) else 0
        return 0 if permit.kind == "restart" and permit.life < self.kept.incarnation else permit.number

    def come_back(self, now: float) -> Effects:
        """An operator calls this courier back; nobody's leave is needed, and a majority may be far."""
        if number := self.out:
            self.kept.back, self._fx.kept = number, True
            self._log("called back", number=number)
        return self._done(now)

    def _serve_again(self, now: float) -> None:
        """A holder that serves again says so, once it is ready and warm, until the record has it."""
        permit = self.state.permits.get(self.setup.name)
        if not self.ready or self.out:
            self.ready_since = now
        elif permit is not None and self._begun and now - self.ready_since >= self.state.budget.warm_ms:
            self._ask_for(
                Back(f"back/{self.setup.name}/{self.life}/{permit.number}", self.setup.name, permit.number),
                now,
            )

    def outs(self) -> dict[str, str]:
        """Whom this courier cannot confirm as serving, with their buildings: they count as out."""
        gone = {name for name, m in self.members.members.items() if m.status is not Status.SERVING}
        if self.members.own.status != Status.SERVING:
            gone.add(self.setup.name)
        return {name: self.buildings.get(name, "") for name in sorted(gone)}

    def may_go(self, courier: str, now: float) -> rules.No | None:
        """Whether a courier would be granted leave, as far as this one sees."""
        return self.state.may_go(self._filled(Ask("", courier, "drain", "", ""), now))

    def _filled(self, m: Ask, now: float) -> Ask:
        """At the leader: what it knows of the fleet, beside what was asked."""
        where = self.buildings.get(m.courier, "")
        names = [self.setup.name, *self.setup.peers]
        member = self.members.members.get(m.courier)
        life = m.life or (member.view.incarnation if member is not None else self.kept.incarnation)
        since = max(self.granted_at, self.record.led_since if self.record.role is Role.LEADER else now)
        apart = max(0.0, self.state.budget.apart_ms - (now - since))
        return msgspec.structs.replace(
            m,
            life=life,
            building=where,
            out=self.outs(),
            size=len(names),
            minute=self.minute,
            size_building=sum(self.buildings.get(name, "") == where for name in names),
            apart_left=apart,
        )

    def _sees(self, now: float) -> bool:
        """At the leader: whether it surely leads, and has had time to see who is there."""
        rhythm = self.setup.rhythm
        return (
            now < self.record.leads_until(now)
            and self.record.applied == self.record.commit
            and now - self.record.led_since >= 2 * rhythm.every + rhythm.patience
        )

    def _grant_next(self, now: float) -> None:
        """The leader: whoever waits longest goes as soon as the budget lets it; bans end at their time."""
        if self.record.role is not Role.LEADER or not self._sees(now):
            return
        if self.state.queue:
            first = self.state.queue[0]
            if self.may_go(first.courier, now) is None:
                id = f"grant/{first.number}/{self.record.term}/{self.state.applied}"
                self._propose(Ask(id, first.courier, first.kind, first.who, first.why, True, grant=True), now)
        for name, ban in list(self.state.bans.items()):
            number, since = self.banned_at.setdefault(name, (ban.number, now))
            if number != ban.number:
                self.banned_at[name] = number, since = ban.number, now
            if 0.0 < ban.ends_ms <= now - since:
                self._propose(Unban(f"end/{name}/{ban.number}", name, "its end", ban.number), now)
        self.banned_at = {name: at for name, at in self.banned_at.items() if name in self.state.bans}

    # Releases

    def _ask_for(self, command: Command, now: float) -> None:
        """Have something decided that is asked for again until it is."""
        if command.id not in self.requests and len(self.requests) < OPEN_MOST:
            self.requests[command.id] = Request(command, now, now)

    def _progress(self, event: str, why: str, now: float) -> None:
        rollout, permit = self.state.rollout, self.state.permits.get(self.setup.name)
        if rollout is not None:
            way, number = rollout.parts[self.setup.name].way, permit.number if permit is not None else 0
            self._ask_for(
                Progress(
                    f"{event}/{self.setup.name}/{self.life}/{way}/{number}",
                    rollout.number,
                    self.setup.name,
                    event,
                    self.kept.incarnation,
                    why,
                    number,
                ),
                now,
            )

    def _step(self, now: float) -> None:
        """This courier's part: begin its step once, in its turn, and say how it ended."""
        rollout, name = self.state.rollout, self.setup.name
        part = rollout.parts.get(name) if rollout is not None else None
        if rollout is None or part is None:
            self.step_ended = None
            return
        if rollout.status == releases.RUNNING and now >= self.health_at and self.record.leader:
            self.health_at = now + self.setup.rhythm.every
            if self.record.role is Role.LEADER:
                self.told[name] = self.kept.incarnation, self.health
            else:
                self._fx.sends.append((self.record.leader, self.health))
        if (
            part.state == releases.WAITS
            and self.out > self.stepped
            and (self.state.permits[name].kind == "release")
        ):
            self._progress(releases.BEGAN, "", now)
        elif part.state == releases.BEGAN and part.life == self.kept.incarnation:
            if self.step_ended:
                self._progress(releases.FAILED, self.step_ended, now)
            elif self.step_ended == "" and not rollout.plan.restarts:
                self._ends_well(rollout, part, now)
        elif part.state == releases.BEGAN and part.life < self.kept.incarnation:
            if not rollout.plan.restarts:
                self._progress(releases.FAILED, "the courier ended during its step", now)
            elif self.ready and self._begun:
                self._ends_well(rollout, part, now)

    def _ends_well(self, rollout: releases.Rollout, part: releases.Part, now: float) -> None:
        """The step has been: done, unless it left another version than it said."""
        expected = rollout.plan.expect if part.way == releases.OUT else ""
        if expected and self.version != expected:
            why = f"it says version '{self.version}', '{expected}' was expected"
            self._progress(releases.FAILED, why, now)
        else:
            self._progress(releases.DONE, "", now)

    def _drive(self, now: float) -> None:
        """The leader drives the release: permits for the wave, halts, and the next wave."""
        rollout = self.state.rollout
        if rollout is None or self.record.role is not Role.LEADER or not self._sees(now):
            self.soaks = "", 0, 0.0
            return
        mark = f"{rollout.number}/{rollout.way}/{rollout.wave}/{self.record.term}"
        self.began_at = {
            key: at
            for key, at in self.began_at.items()
            if rollout.parts.get(key[0], releases.Part()).state == releases.BEGAN
        }
        for name, part in rollout.parts.items():
            since = self.began_at.setdefault((name, part.way), now) if part.state == releases.BEGAN else now
            if now - since > rollout.plan.step_ms:
                id = f"late/{name}/{mark}/{part.life}"
                self._propose(
                    Progress(
                        id,
                        rollout.number,
                        name,
                        releases.FAILED,
                        part.life,
                        f"not done within {rollout.plan.step_ms / 1000:g} s",
                    ),
                    now,
                )
        if rollout.status != releases.RUNNING:
            self.soaks = "", 0, 0.0
            return
        if why := self._amiss(rollout):
            self._propose(
                Steer(f"halt/{mark}/{self.state.applied}", "halt", "the fleet", why, "", rollout.number), now
            )
            return
        for name in rollout.current:
            if rollout.parts[name].state != releases.WAITS:
                continue
            if (permit := self.state.permits.get(name)) is not None:
                number, since = self.idle_at.get(name, (0, now))
                self.idle_at[name] = permit.number, since if number == permit.number else now
                if now - self.idle_at[name][1] > rollout.plan.step_ms:  # guards against one that never comes
                    self._propose(
                        Steer(
                            f"idle/{mark}/{permit.number}",
                            "halt",
                            "the fleet",
                            f"{name}: has a permit and has not begun",
                            "",
                            rollout.number,
                        ),
                        now,
                    )
            elif self.may_go(name, now) is None:
                ask = Ask(
                    f"go/{name}/{mark}/{self.state.applied}",
                    name,
                    "release",
                    rollout.who,
                    f"release {rollout.plan.name}",
                )
                self._propose(ask, now)
        if not rollout.through() or any(name in self.state.permits for name in rollout.current):
            self.soaks = "", 0, 0.0
        elif self.soaks[:2] != (rollout.way, rollout.wave):
            self.soaks = rollout.way, rollout.wave, now
        elif now - self.soaks[2] >= rollout.plan.soak_ms or rollout.untouched():
            self._propose(Onward(f"on/{mark}", rollout.number, rollout.way, rollout.wave), now)

    def _amiss(self, rollout: releases.Rollout) -> str:
        """At the leader: why a release may not go on as it is; "" where nothing is seen."""
        if rollout.way == releases.BACK:
            return ""  # the way back goes on: what is there is what it leads away from
        done = frozenset(n for n, p in rollout.parts.items() if p.state == releases.DONE)
        for name in sorted(done - self.state.permits.keys()):
            member = self.members.members.get(name)
            life = member.view.incarnation if member is not None else self.kept.incarnation
            if member is not None and member.status is not Status.SERVING:
                return f"{name}, released, is {member.status.name.lower()}"
            if life > rollout.parts[name].life:
                return f"{name}, released, has begun anew"
        here = {
            name: told
            for name, told in self.told.items()
            if name == self.setup.name or self.members.members[name].status is Status.SERVING
        }
        if done != self.released or any(here.get(n, (0,))[0] != life for n, (life, _) in self.base.items()):
            self.released, self.base = done, dict(here)  # compared over one and the same time from here on
            return ""

        def since(names: set[str] | frozenset[str]) -> tuple[int, int]:
            found = [(here[n][1], self.base[n][1]) for n in names if n in here and n in self.base]
            return (sum(a.ends - b.ends for a, b in found), sum(a.given_up - b.given_up for a, b in found))

        rest = here.keys() - done
        return (
            releases.out_of_band(rollout.plan, since(done), since(rest))
            or releases.piles_up(
                [here[n][1].owed for n in done if n in here], [here[n][1].owed for n in rest]
            )
            or ""
        )

    # Bans

    def _tell_bans(self, now: float) -> None:
        """Tell the leader by which bans this courier acts, until it has noted it."""
        leader, at = self.record.leader, self.state.bans_at
        if self.record.role is Role.LEADER:
            self.in_force[self.setup.name] = at
        elif leader and self.noted != (leader, at) and now >= self.tell_at:
            self.tell_at = now + self.setup.rhythm.every
            self._fx.sends.append((leader, InForce(at)))

    def bans(self) -> frozenset[str]:
        """Endpoints that get nothing new from this courier.

        What its folder holds beyond what it knows to be decided counts until it knows: guards a ban that was
        told as kept against a courier that starts again where it reaches nobody.
        """
        found = frozenset(self.state.bans)
        return found | self._maybe if self.state.applied < self._maybe_to else found

    def confirmed_bans(self) -> dict[str, int]:
        """At the leader: by which bans each courier acts that can be confirmed to be there now."""
        there = {name for name, m in self.members.members.items() if m.status is Status.SERVING}
        return {name: at for name, at in self.in_force.items() if name in there or name == self.setup.name}

    # Names and incarnations

    def _votes(self) -> bool:
        return self.record.may_vote and self.setup.name in self.record.voters

    def _unconfirmed(self) -> bool:
        voter = self.setup.name in self.record.voters
        return voter and not (self.record.may_vote or self.kept.lost or self.stopped)

    def _confirm(self, now: float) -> None:
        """A voter asks whether anything newer of its name was seen, before it votes."""
        if not self._unconfirmed():
            return
        if len(self.confirmed) >= majority(self.record.voters) - 1:
            self.record.may_vote = True
            self._log("may vote", incarnation=self.kept.incarnation)
        elif now >= self.hello_at:
            self.hello_at = now + self.setup.timing.beat
            self._fx.sends += [
                (v, Hello()) for v in self.record.voters if v != self.setup.name and v not in self.confirmed
            ]

    def _stale(self, m: Stale, now: float) -> None:
        if m.newest < self.kept.incarnation or m.life == self.life:
            return  # what this very process sent before it knew better, and came late
        self.record.may_vote, self._begun = False, False
        self.confirmed.clear()
        self.leases.clear()
        if self.record.role is not Role.FOLLOWER:
            self.record.role, self.record.leader = Role.FOLLOWER, ""
        if m.quiet < self.setup.rhythm.suspect:
            # Guards against two that act under one name: this one says no more while the other is there.
            self._log("another process has this name", incarnation=m.newest)
            self.aside_until = now + 2 * self.setup.rhythm.suspect
            return
        self.kept.incarnation, self.kept.lost, self._fx.kept = m.newest + 1, True, True
        self.members.own = View(self.setup.name, m.newest + 1, 0, Status.JOINING)
        self._log("folder lost or old", seen=m.newest, incarnation=self.kept.incarnation)

    def _readmit(self, now: float) -> None:
        """The leader takes a voter that lost its folder out, and in again: earlier votes count no more."""
        record = self.record
        if record.role is not Role.LEADER:
            return
        for name, incarnation in list(self.lost_voters.items()):
            key, wanted = READMIT + name, str(incarnation)
            known = self.state.keys.get(key)
            try:
                if name in record.voters and known is not None and known.data == wanted:
                    continue  # it is back, and has yet to hear of it
                if name in record.voters:
                    self._take(record.change([v for v in record.voters if v != name], now)[1], now)
                elif name not in self.setup.voters:
                    self.lost_voters.pop(name)
                elif known is None or known.data != wanted:
                    self._propose(Put(f"{key}/{wanted}", key, wanted), now)
                else:
                    self._take(record.change([*record.voters, name], now)[1], now)
            except Refused:
                continue  # one change at a time

    def _returned(self) -> None:
        """Whether the record says that this voter, once lost, is one again."""
        key = self.state.keys.get(READMIT + self.setup.name)
        if (
            self.kept.lost
            and key is not None
            and key.data == str(self.kept.incarnation)
            and (self.setup.name in voters_at(self.record, self.record.applied))
        ):
            self.kept.lost, self._fx.kept, self.record.may_vote = False, True, True
            self._log("votes again", incarnation=self.kept.incarnation)

    def _woke(self, late: float, now: float) -> None:
        """This process stood still: it learns what happened before it acts. Leases ended by themselves."""
        self._log("stood still", ms=round(late))
        self.leases = {name: held for name, held in self.leases.items() if now < held.until}
        self.members._open.clear()  # guards others against the suspicion of one who was not there himself
        self.pull_at = now
        self.record.deadline = max(self.record.deadline, now + self.setup.timing.election)

    # Messages

    def _handle(self, sender: str, body: Body, now: float) -> None:
        if isinstance(body, Hello):
            self._fx.sends.append((sender, Welcome()))
        elif isinstance(body, Welcome):
            self.confirmed.add(sender)
            self._confirm(now)
        elif isinstance(body, Stale):
            self._stale(body, now)
        elif isinstance(body, Ping):
            self._fx.sends.append((sender, Ack()))
        elif isinstance(body, Ack):
            for asker in self.looks.pop(sender, ()):
                self._fx.sends.append((asker, Saw(self.members.members[sender].view)))
        elif isinstance(body, Look):
            if body.name in self.members.members and len(self.looks) < OPEN_MOST:
                self.looks.setdefault(body.name, set()).add(sender)
                self._fx.sends.append((body.name, Ping()))
        elif isinstance(body, Saw):
            self.members.heard(body.view, now, directly=False)
        elif isinstance(body, Propose):
            self._proposed_by(sender, body, now)
        elif isinstance(body, Proposed):
            if body.id in self.requests and not body.retry:
                self._result(body.id, body.result, now)
        elif isinstance(body, InForce):
            if self.record.role is Role.LEADER:
                self.in_force[sender] = body.at
                self._fx.sends.append((sender, Noted(body.at)))
        elif isinstance(body, Health):
            if self.record.role is Role.LEADER:
                self.told[sender] = self.kept.seen[sender][0], body
        elif isinstance(body, Noted):
            if sender == self.record.leader:
                self.noted = sender, body.at
        elif isinstance(body, Renew):
            self._renew_for(sender, body, now)
        elif isinstance(body, Renewed):
            self._renewed(body)
        else:
            self._take(self.record.handle(sender, body, now), now)
            if isinstance(body, Pulled):
                self._begun = True
                if body.entries and body.commit > self.record.commit:
                    self.pull_at = now  # there is more

    def _take(self, out: Out, now: float) -> None:
        """Note what the record wants, and apply what is decided."""
        fx = self._fx
        fx.record.append(out)
        fx.sends += out.messages
        if out.installed is not None and out.installed.index > self.state.applied:
            self.state = State(out.installed.state) if out.installed.state else State()
            self.state.skip(out.installed.index)
        for entry in out.decided:
            if entry.index > self.state.applied:
                self._apply(entry, now)
        if out.decided or out.installed is not None:
            self._returned()
        if len(self.record.log) > COMPACT_AT and self.record.applied > self.record.snapshot.index:
            self.record.compact(self.record.applied, self.state.pack())
            fx.compacted = True

    def _apply(self, entry: Entry, now: float) -> None:
        if entry.kind != "put":
            self.state.skip(entry.index)
            if entry.kind == "voters":
                self._log("voters", voters=entry.data.decode(), index=entry.index)
            return
        try:
            command, result = self.state.apply(entry.index, entry.data)
        except Unknown as error:  # decided by a later version: guards this one against a state of its own
            self.stopped = f"entry {entry.index} is not understood: {error}"
            self.record.may_vote = False
            self._log("stopped", why=self.stopped)
            return
        if isinstance(command, (Acquire, Release)) and result.ok:
            self.renewed[command.lease] = now
        if isinstance(command, Ask) and result.ok:
            self.granted_at = now
            self._log(
                "permit",
                courier=command.courier,
                number=result.number,
                kind=command.kind,
                who=command.who,
                why=command.why,
                despite=command.despite,
            )
        elif isinstance(command, Back) and result.ok:
            self._log("permit ended", courier=command.courier, number=command.number)
        elif isinstance(command, (Begin, Steer, Progress, Onward)) and result.ok:
            rollout = self.state.rollout or self.state.past[-1]
            self._log(
                "release",
                rollout=rollout.plan.name,
                status=rollout.status,
                way=rollout.way,
                wave=rollout.wave,
                note=rollout.note,
                by=getattr(command, "who", "") or getattr(command, "courier", ""),
                what=getattr(command, "event", "") or getattr(command, "verb", ""),
            )
        if self.state.bans_at == entry.index:
            self.tell_at = 0.0
            self._tell_bans(now)
        for peer in self.asked_by.pop(command.id, ()):
            self._fx.sends.append((peer, Proposed(command.id, result)))
        if command.id in self.requests:
            self._result(command.id, result, now)

    # Requests

    def _requests(self, now: float) -> None:
        for id, request in list(self.requests.items()):
            if now - request.began >= GIVE_UP_MS:
                self._result(id, Result(False, 0, "unknown: no majority answered in time"), now)
            elif now >= request.again:
                request.again = min(now + AGAIN_MS, request.began + GIVE_UP_MS)
                leader = self.record.leader
                if self.record.role is Role.LEADER:
                    self._propose(request.command, now)
                elif leader:
                    self._fx.sends.append((leader, Propose(id, encode(request.command))))

    def _propose(self, command: Command, now: float) -> None:
        """At the leader: into the log, unless it is there already."""
        if (known := self.state.done(command.id)) is not None:
            if command.id in self.requests:
                self._result(command.id, known, now)
            return
        if command.id in self.asked_by:
            return
        if isinstance(command, Acquire):
            command = msgspec.structs.replace(command, over=self._lapsed(command.lease, now))
        elif isinstance(command, Ask):
            if not self._sees(now):
                return  # it is asked again; guards against a leave by who has yet to see who is there
            command = self._filled(command, now)
        elif isinstance(command, Begin):
            command = msgspec.structs.replace(command, names=(self.setup.name, *self.setup.peers))
        elif isinstance(command, Declare):
            command = msgspec.structs.replace(command, size=len(self.setup.peers) + 1)
        try:
            _, out = self.record.propose(encode(command), now)
        except Refused:
            return
        self.asked_by[command.id] = set()
        self._take(out, now)

    def _proposed_by(self, sender: str, m: Propose, now: float) -> None:
        if (known := self.state.done(m.id)) is not None:
            self._fx.sends.append((sender, Proposed(m.id, known)))
            return
        if self.record.role is not Role.LEADER or len(self.asked_by) >= OPEN_MOST:
            self._fx.sends.append((sender, Proposed(m.id, Result(False), retry=True)))
            return
        try:
            command = msgspec.json.decode(m.data, type=Command)
        except msgspec.MsgspecError as error:
            self._fx.sends.append((sender, Proposed(m.id, Result(False, 0, str(error)))))
            return
        if command.id != m.id:
            return
        # Only the courier itself says that it serves again, and only a leader grants.
        if (
            isinstance(command, (Back, Progress))
            and command.courier != sender
            or isinstance(command, Ask)
            and command.grant
        ):
            self._fx.sends.append((sender, Proposed(m.id, Result(False, 0, "not for this courier to say"))))
            return
        self._propose(command, now)
        if m.id in self.asked_by:
            self.asked_by[m.id].add(sender)
        elif (known := self.state.done(m.id)) is not None:  # a fleet of one voter decides at once
            self._fx.sends.append((sender, Proposed(m.id, known)))

    def _result(self, id: str, result: Result, now: float) -> None:
        request = self.requests.pop(id)
        command = request.command
        if isinstance(command, Acquire) and result.ok and command.holder == self.setup.name:
            # Counted from before it was asked for: the leader counts from later.
            until = request.began + command.ttl * (1.0 - self.setup.timing.drift)
            self.leases[command.lease] = Held(result.number, command.ttl, until, now + command.ttl / 3)
        if isinstance(command, Progress) and command.event == releases.BEGAN and result.ok:
            rollout = self.state.rollout  # once, by whoever asked in this very life; the word may come before
            if rollout is not None and command.permit > self.stepped:  # the entry does, and be asked for anew
                self.stepped, self.step_ended = command.permit, None
                self._fx.step = (
                    rollout.plan.step,
                    rollout.parts[self.setup.name].way,
                    rollout.plan.name,
                    command.permit,
                )
        self._fx.results.append((id, result))

    # Leases

    def _lapsed(self, lease: str, now: float) -> int:
        """At the leader: the number of a lease that nobody can use any more; 0 where that is not sure.

        Its holder counted from before it asked and by a clock that runs slower by `drift` at most; this
        leader counts from when it applied the grant or renewed it, or else from when it began to lead, since
        before that an earlier leader may have renewed it.
        """
        held = self.state.leases.get(lease)
        if held is None:
            return 0
        since = max(self.renewed.get(lease, 0.0), self.record.led_since)
        return held.number if now - since > held.ttl * (1.0 + self.setup.timing.drift) else 0

    def _renew(self, now: float) -> None:
        for lease, held in list(self.leases.items()):
            if now >= held.until:
                del self.leases[lease]
                self._log("lease ended", lease=lease, number=held.number)
            elif now >= held.renew:
                held.renew = now + held.ttl / 6
                renew = Renew(lease, held.number, now)
                if self.record.role is Role.LEADER:
                    self._renew_for(self.setup.name, renew, now)
                elif self.record.leader:
                    self._fx.sends.append((self.record.leader, renew))

    def _renew_for(self, sender: str, m: Renew, now: float) -> None:
        if now >= self.record.leads_until(now) or self.record.applied < self.record.commit:
            return  # guards a lease against two leaders that each renew, or give away
        held = self.state.leases.get(m.lease)
        ok = held is not None and (held.holder, held.number) == (sender, m.number)
        if ok:
            self.renewed[m.lease] = now
        answer = Renewed(m.lease, m.number, ok, m.sent)
        if sender == self.setup.name:
            self._renewed(answer)
        else:
            self._fx.sends.append((sender, answer))

    def _renewed(self, m: Renewed) -> None:
        held = self.leases.get(m.lease)
        if held is None or held.number != m.number:
            return
        if m.ok:
            held.until = max(held.until, m.sent + held.ttl * (1.0 - self.setup.timing.drift))
            held.renew = m.sent + held.ttl / 3
        else:
            del self.leases[m.lease]

    # Those who do not vote

    def _follow(self, now: float) -> None:
        """Ask a voter what was decided; one alone in its fleet has nobody to ask."""
        if self._votes() or now < self.pull_at:
            return
        voters = [v for v in self.record.voters if v != self.setup.name]
        if voters:
            self.pull_at = now + self.setup.follow * self.random.uniform(0.9, 1.1)
            self._fx.sends.append((self.random.choice(voters), self.record.pull))

    # What is told

    def _log(self, event: str, **fields: object) -> None:
        self._fx.changes.append((event, fields))

    def _done(self, now: float) -> Effects:
        """All that came together since the last time, with what has changed for the log."""
        if self.record.role is Role.LEADER or self._votes() and self.record.leader:
            self._begun = True
        if self._begun and self.members.own.status == Status.JOINING and not self.stopped:
            self.members.serving()
            self._log("serving", incarnation=self.kept.incarnation)
        view = self.record.role, self.record.leader, self.record.term
        if view != self._was:
            self._was = view
            self._log("view of the record", role=view[0].value, leader=view[1] or "nobody", term=view[2])
        for change in self.members.changes:
            self._log("member", peer=change.name, before=change.before, now=change.now, by=change.by)
        self.members.changes.clear()
        if self.record.role is not Role.LEADER and self.asked_by:
            self.asked_by.clear()  # who asked asks the next leader
        found, self._fx = self._fx, Effects()
        return found
