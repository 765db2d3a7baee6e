"""A fleet in virtual time: the real agents, on disks and links that fail, judged by what they saved and said.

It owns the clock, the links and the disks of a run, and the rules. Everything is drawn from the seed: two
runs of one seed are the same. It must never look into an agent to make a run go well; the judge compares what
each takes for decided, what was told to who asked, and who may use a lease at one moment.
"""

from __future__ import annotations

import copy
import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Optional

from ashvale.fleet.agent import Agent, Effects, Kept, Setup
from ashvale.fleet.members import Rhythm
from ashvale.fleet.messages import Envelope
from ashvale.fleet.permits import Budget
from ashvale.fleet.record import Role, Saved, Timing
from ashvale.fleet.releases import Plan
from ashvale.fleet.state import (
    Acquire,
    Ask,
    Begin,
    Call,
    Command,
    Declare,
    Put,
    Release,
    Result,
    Steer,
)

FAULTS = ("kill", "stop", "cut", "one way", "drop", "slow", "empty", "old copy", "torn")
TIMING = Timing()
LEASE, TTL = "door", 2000.0
STEPS_MOST = 2_000_000
AWAY_MS = 8000.0  # after so long whoever leads knows that a courier is away


@dataclass
class Disk:
    """What one courier's folder holds; `old` is a copy that somebody took."""

    saved: Saved = field(default_factory=Saved)
    kept: Kept = field(default_factory=Kept)

    def copy(self) -> Disk:
        return copy.deepcopy(self)

    def write(self, agent: Agent, fx: Effects) -> None:
        """What `ashvale.fleet.store` makes of the same effects."""
        if fx.kept:
            self.kept = copy.deepcopy(agent.kept)
        saved = self.saved
        for out in fx.record:
            if out.hard:
                saved.term, saved.vote = agent.record.term, agent.record.vote
            if out.installed is not None or fx.compacted:
                saved.snapshot, saved.entries = agent.record.snapshot, list(agent.record.log)
                continue
            if out.cut is not None:
                saved.entries = [e for e in saved.entries if e.index < out.cut]
            saved.entries += out.entries
        if fx.compacted:
            saved.snapshot, saved.entries = agent.record.snapshot, list(agent.record.log)


class Host:
    """One courier's process, its folder and its clock, which runs at a rate of its own."""

    def __init__(self, world: World, name: str, setup: Setup) -> None:
        self.world, self.name, self.setup = world, name, setup
        self.disk, self.old = Disk(), Disk()
        self.rate = 1.0 + world.draw.uniform(-0.5, 0.5) * setup.timing.drift
        self.shift = world.draw.uniform(0.0, 3.6e6)  # clocks an hour apart
        self.agent: Optional[Agent] = None
        self.lives = 0
        self.stopped = False
        self.waiting: list[Callable[[], None]] = []  # what came while the process stood still
        self.planned = 0.0  # when the next tick is due, by the own clock
        self.noted = 0  # up to where the judge knows what this process holds to be decided
        self.torn = False  # the next save is lost with the process

    def clock(self) -> float:
        return self.shift + self.world.now * self.rate

    def start(self) -> None:
        self.lives += 1
        self.planned, self.noted = 0.0, 0
        saved = copy.deepcopy(self.disk.saved)
        self.agent = Agent(
            self.setup,
            saved,
            copy.deepcopy(self.disk.kept),
            f"{self.name}.{self.lives}",
            Random(f"{self.world.seed}/{self.name}/{self.lives}"),
            self.clock(),
        )
        self._do(lambda agent: agent.tick(self.clock()))

    def again(self) -> None:
        """Start after a kill, unless it runs already or stays away."""
        if self.agent is None and self.name not in self.world.never:
            self.start()

    def kill(self) -> None:
        self.agent, self.stopped = None, False
        self.waiting.clear()

    def stop(self) -> None:
        self.stopped = self.agent is not None

    def go_on(self) -> None:
        self.stopped = False
        waiting, self.waiting = self.waiting, []
        self.world.draw.shuffle(waiting)  # timers, answers and requests, in any order
        for action in waiting:
            action()

    def when_awake(self, action: Callable[[], None]) -> None:
        if self.agent is None:
            return
        if self.stopped:
            self.waiting.append(action)
        else:
            action()

    def receive(self, envelope: Envelope) -> None:
        self.when_awake(lambda: self._do(lambda agent: agent.receive(envelope, self.clock())))

    def request(self, command: Command) -> None:
        self.when_awake(lambda: self._do(lambda agent: agent.request(command, self.clock())))

    def _do(self, step: Callable[[Agent], Effects]) -> None:
        agent = self.agent
        if agent is None:
            return
        fx = step(agent)
        if fx.saves:
            if self.torn:
                self.torn = False
                self.kill()  # nothing of this step is on the disk, and nothing of it was said
                self.world.later(500.0, self.again)
                return
            self.disk.write(agent, fx)
        for peer, body in fx.sends:
            self.world.send(self.name, peer, agent.envelope(peer, body))
        for id, result in fx.results:
            self.world.told(self.name, id, result)
        if fx.step[0]:
            self.world.step(self, agent, fx.step[3])
        self.world.look(self.name, agent)
        due, life = agent.due, self.lives
        if self.planned <= self.clock() or due < self.planned:
            self.planned = due
            wait = max(0.0, (due - self.clock()) / self.rate)
            self.world.later(max(wait, 0.01), lambda: self._tick(life, agent))

    def _tick(self, life: int, agent: Agent) -> None:
        if self.agent is agent and self.lives == life:
            self.planned = 0.0
            self.when_awake(
                lambda: self._do(
                    lambda a: a.tick(self.clock()) if a is agent and self.clock() >= a.due else Effects()
                )
            )


@dataclass(frozen=True)
class Verdict:
    """What came of a run."""

    broken: list[str]
    counts: dict[str, int]
    now: float


class World:
    """A run: hosts, links, faults and the judge's notes."""

    def __init__(
        self,
        seed: int,
        voters: int,
        followers: int = 0,
        faults: int = 8,
        span: float = 20_000.0,
        timing: Timing = TIMING,
        kinds: tuple[str, ...] = FAULTS,
        orders: bool = False,
    ) -> None:
        self.seed, self.draw, self.now = seed, Random(f"{seed}/world"), 0.0
        self.span, self.counts = span, Counter[str]()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = [f"c{n}" for n in range(voters + followers)]
        self.hosts: dict[str, Host] = {}
        for name in names:
            setup = Setup(
                "f", name, tuple(n for n in names if n != name), tuple(names[:voters]), timing, Rhythm()
            )
            self.hosts[name] = Host(self, name, setup)
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.delay = 0.0
        self.spoilt = self.draw.choice(names)
        # The judge's notes
        self.broken: list[str] = []
        self.leaders: dict[int, str] = {}
        self.decided: dict[int, tuple[int, str, bytes]] = {}
        self.known: dict[str, Result] = {}
        self.commands: dict[str, Command] = {}
        self.users: dict[str, int] = {}
        self.numbers: dict[int, str] = {}
        self.out: dict[str, int] = {}  # who is out of service, and by which permit
        self.latest, self.holders = 0, set[str]()  # who holds a permit, as of the latest state that was seen
        self.stepped = set[tuple[str, int]]()
        self.never: list[str] = []  # couriers that stay away until all is healed
        self.most = self.draw.choice((1, 2)) if orders else 1
        self.orders = orders
        if orders:
            self._orders(names)
        for name in names:
            self.later(self.draw.uniform(0.0, 300.0), self.hosts[name].start)
        for number in range(int(span / 250.0)):
            self.later(self.draw.uniform(500.0, span), lambda number=number: self._ask(number))  # type: ignore
        for _ in range(faults):
            kind, at = self.draw.choice(kinds), self.draw.uniform(1500.0, span * 0.8)
            self.later(at, lambda kind=kind: self._fault(kind))  # type: ignore[misc]

    # Time and links

    def later(self, ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + ms, next(self._numbers), action))

    def send(self, sender: str, peer: str, envelope: Envelope) -> None:
        self.counts["messages"] += 1
        if (sender, peer) in self.cuts or self.draw.random() < self.loss:
            return
        self.later(
            self.draw.uniform(0.2, 3.0) + self.draw.uniform(0.0, self.delay),
            lambda: self._arrive(sender, peer, envelope),
        )

    def _arrive(self, sender: str, peer: str, envelope: Envelope) -> None:
        if (sender, peer) not in self.cuts and peer in self.hosts:
            self.hosts[peer].receive(envelope)

    def play(self) -> Verdict:
        """Play it: faults for a span, then all is healed, and the fleet has to come to agree again."""
        self.later(self.span, self._heal)
        end = self.span + 25_000.0
        while self._due and self._due[0][0] <= end and not self.broken:
            self.counts["steps"] += 1
            if self.counts["steps"] > STEPS_MOST:
                self._break("it does not come to rest")
            self.now, _, action = heapq.heappop(self._due)
            action()
        if not self.broken:
            self._whole()
        return Verdict(self.broken, dict(self.counts), self.now)

    # What happens

    def _ask(self, number: int) -> None:
        name = self.draw.choice(sorted(self.hosts))
        agent = self.hosts[name].agent
        which, id = self.draw.random(), f"{name}-{number}"
        command: Command
        if which < 0.5:
            command = Put(id, f"k{number % 5}", f"v{number}", -1, name)
        elif which < 0.85 or agent is None or not agent.leases:
            command = Acquire(id, LEASE, name, TTL)
        else:
            command = Release(id, LEASE, name, agent.leases[LEASE].number)
        self.commands[id] = command
        self.counts["asked"] += 1
        self.hosts[name].request(command)

    def _orders(self, names: list[str]) -> None:
        """Drains and calls back, many at one moment; sometimes a courier that stays away meanwhile."""
        declare = Declare("budget", Budget(out=str(self.most)), "lab", "drawn")
        self._order(1000.0, names[0], declare)
        rolls = self.draw.random() < 0.5  # then the budget is left to a release, for the most part
        for number in range(int(self.span / (2500.0 if rolls else 400.0))):
            at = self.draw.choice((4000.0, 9000.0, self.draw.uniform(1500.0, self.span)))
            name, by = self.draw.choice(names), self.draw.choice(names)
            if self.draw.random() < 0.55:
                kind = self.draw.choice(("drain", "restart"))
                wait = self.draw.random() < 0.5
                self._order(at, by, Ask(f"{by}-go-{number}", name, kind, by, "drawn", wait))
            else:
                self._order(at, by, Call(f"{by}-back-{number}", name, by))
        if rolls:
            order = self.draw.sample(names, len(names))
            waves = tuple(tuple(order[at : at + self.most]) for at in range(0, len(order), self.most))
            plan = Plan("drawn", "step", waves, self.draw.random() < 0.5, "", 400.0, 6000.0)
            by = self.draw.choice(names)
            self._order(self.draw.uniform(2000.0, 8000.0), by, Begin("begin", plan, by, "drawn"))
            for number in range(self.draw.randint(0, 4)):
                verb = self.draw.choice(("halt", "resume", "resume", "back", "skip"))
                by = self.draw.choice(names)
                self._order(
                    self.draw.uniform(6000.0, self.span),
                    by,
                    Steer(f"{by}-steer-{number}", verb, by, "drawn", self.draw.choice(names)),
                )
        if len(names) > 2 and self.draw.random() < 0.4:
            away = self.draw.choice(names)
            self.later(2500.0, lambda: self._away(away))

    def step(self, host: Host, agent: Agent, permit: int) -> None:
        """A step of a release, which takes a while and may end the courier's process."""
        self.counts["steps of releases"] += 1
        if (host.name, permit) in self.stepped:
            self._break(f"{host.name} takes its step twice by permit {permit}")
        self.stepped.add((host.name, permit))
        plan = self.commands["begin"]

        def ends() -> None:
            if host.agent is agent and isinstance(plan, Begin) and plan.plan.restarts:
                host.kill()
                self.later(300.0, host.again)
            elif host.agent is agent:
                agent.step_ended = ""

        self.later(self.draw.uniform(50.0, 900.0), ends)

    def _away(self, name: str) -> None:
        self.never.append(name)
        self.hosts[name].kill()

    def _order(self, at: float, by: str, command: Command) -> None:
        self.commands[command.id] = command

        def order() -> None:
            host = self.hosts[by]
            if isinstance(command, Call) and command.courier == by and host.agent is not None:
                host.when_awake(lambda: host._do(lambda agent: agent.come_back(host.clock())))
            host.request(command)

        self.later(at, order)

    def _fault(self, kind: str) -> None:
        self.counts[kind] += 1
        host = self.hosts[self.draw.choice(sorted(self.hosts))]
        leads = [h for h in self.hosts.values() if h.agent and h.agent.record.role is Role.LEADER]
        if leads and self.draw.random() < 0.5:
            host = leads[0]
        span = self.draw.uniform(200.0, 5000.0)
        if kind in ("kill", "empty", "old copy"):
            if kind != "kill":  # one folder a run: with most of them lost nothing is left
                host = self.hosts[self.spoilt]
            host.kill()
            if kind == "empty":
                host.disk = Disk()
            elif kind == "old copy":
                host.disk = host.old.copy()
                host.disk.kept.lost = True  # as the store sees that the file is a copy
            self.later(span, host.again)
        elif kind == "stop":
            host.stop()
            self.later(span, host.go_on)
        elif kind == "torn":
            host.torn = True
        elif kind == "cut":
            names = sorted(self.hosts)
            self.draw.shuffle(names)
            side = set(names[: self.draw.randint(1, max(1, len(names) // 2))])
            made = {(a, b) for a in names for b in names if (a in side) is not (b in side)}
            self.cuts |= made
            self.later(span, lambda: self.cuts.difference_update(made))
        elif kind == "one way":
            made = {(host.name, other) for other in self.hosts}
            if self.draw.random() < 0.5:
                made = {(b, a) for a, b in made}
            self.cuts |= made
            self.later(span, lambda: self.cuts.difference_update(made))
        elif kind == "drop":
            self.loss = self.draw.uniform(0.05, 0.4)
            self.later(span, lambda: setattr(self, "loss", 0.0))
        elif kind == "slow":
            self.delay = self.draw.uniform(20.0, 800.0)
            self.later(span, lambda: setattr(self, "delay", 0.0))
        if self.draw.random() < 0.3 and host.agent is not None:
            host.old = host.disk.copy()

    def _heal(self) -> None:
        self.cuts.clear()
        self.loss = self.delay = 0.0
        self.never.clear()
        for place, name in enumerate(self.hosts if self.orders else ()):
            self._order(5400.0 + 10.0 * place, name, Steer(f"{name}-end", "abandon", name, "healed"))
            for number in (2, 3):  # after all that was asked before, and once more for one who went between
                self._order(3000.0 * number, name, Call(f"{name}-home-{number}", name, name))
        for host in self.hosts.values():
            host.torn = False
            if host.agent is None:
                host.start()
            elif host.stopped:
                host.go_on()
        for number, name in enumerate(sorted(self.hosts)):
            command = Put(f"end-{name}", f"end/{name}", "x")
            self.commands[command.id] = command
            self.later(15_000.0 + number, lambda name=name, c=command: self.hosts[name].request(c))  # type: ignore

    # The judge

    def _break(self, rule: str) -> None:
        self.broken.append(f"{rule} at {self.now:.0f} ms (seed {self.seed})")

    def look(self, name: str, agent: Agent) -> None:
        """What one courier takes for decided is the same everywhere; nobody leads or holds beside another."""
        record, host = agent.record, self.hosts[name]
        start = record.snapshot.index
        for entry in record.log[max(0, host.noted - start) : record.commit - start]:
            value = entry.term, entry.kind, entry.data
            if self.decided.setdefault(entry.index, value) != value:
                self._break(f"two values for place {entry.index}, seen at {name}")
        host.noted = record.commit
        if record.role is Role.LEADER and self.leaders.setdefault(record.term, name) != name:
            self._break(f"two leaders in term {record.term}: {self.leaders[record.term]} and {name}")
        if record.role is Role.LEADER and agent.kept.lost:
            self._break(f"{name} leads though its folder was lost")
        self._look_at_permits(name, agent)
        for host in self.hosts.values():  # whoever may use the lease at this very moment
            other = host.agent
            number = other.holds(LEASE, host.clock()) if other is not None else 0
            if number:
                self.users[host.name] = number
            else:
                self.users.pop(host.name, None)
        if len(self.users) > 1:
            self._break(f"a lease held twice: {dict(self.users)}")

    def _look_at_permits(self, name: str, agent: Agent) -> None:
        """Never more out by permit than the budget lets, counting those that are long known to be away."""
        if agent.out:
            self.out[name] = agent.out
        else:
            self.out.pop(name, None)
        for gone in [n for n in self.out if self.hosts[n].agent is None]:
            del self.out[gone]
        if len(self.out) > self.most:
            self._break(f"{len(self.out)} are out at once, {self.most} may be: {self.out}")
        if agent.state.applied > self.latest:  # a second permit of one holder takes nothing more
            new, self.latest = agent.state.permits.keys() - self.holders, agent.state.applied
            self.holders = set(agent.state.permits)
            self.counts["permits"] += len(new)
            away = {*self.holders, *(self.never if self.now > 2500.0 + AWAY_MS else ())}
            for courier in new - set(self.never) if len(away) > self.most else ():
                self._break(f"{courier} may go while {sorted(away - {courier})} are away")
        if len(agent.state.permits) > self.most:
            self._break(f"permits beyond the budget: {sorted(agent.state.permits)}")

    def told(self, name: str, id: str, result: Result) -> None:
        if result.ok:
            self.counts["done"] += 1
            if id in self.commands:  # not what a courier asks for by itself
                self.known[id] = result
        else:
            self.counts["unknown" if result.why.startswith("unknown") else "refused"] += 1
        if result.ok and isinstance(self.commands.get(id), Acquire):
            other = self.numbers.setdefault(result.number, name)
            if other != name:
                self._break(f"one number for two leases: {result.number}")

    def _whole(self) -> None:
        """Healed for long enough: one leader, all alike, nothing lost that was told."""
        agents = {name: host.agent for name, host in self.hosts.items() if host.agent is not None}
        leaders = [n for n, a in agents.items() if a.record.role is Role.LEADER and not a.stopped]
        if len(leaders) != 1:
            self._break(f"leaders in a healed fleet: {leaders}")
            return
        top = agents[leaders[0]]
        packed = top.state.pack()
        for name, agent in agents.items():
            if agent.stopped or agent.kept.lost and name in agent.setup.voters:
                self._break(f"{name} does not take part: {agent.stopped or 'lost'}")
            elif agent.state.permits or agent.state.queue or agent.out or agent.state.rollout:
                self._break(
                    f"{name} still has {agent.state.permits} out, {agent.state.queue} waiting, "
                    f"{agent.state.rollout} under way"
                )
            elif agent.state.pack() != packed:
                self._break(f"{name} holds another state, at {agent.state.applied} of {top.state.applied}")
        for id, result in self.known.items():
            command = self.commands[id]
            value = top.state.keys.get(command.key) if isinstance(command, Put) else None
            if isinstance(command, Put) and (value is None or value.index < result.number):
                self._break(f"{id} was told as decided at {result.number}, and is not there")
        for name in self.hosts:
            if f"end-{name}" not in self.known:
                self._break(f"{name} cannot decide anything though all is healed")


def play(seed: int, voters: int = 3, followers: int = 0, **more: object) -> Verdict:
    """One run; the same for the same arguments."""
    return World(seed, voters, followers, **more).play()  # type: ignore[arg-type]


__all__ = ["FAULTS", "Disk", "Host", "Verdict", "World", "play"]
