"""Who is there: each courier's view of the others, by what it hears, spread by what it tells.

It owns that view. A courier is `joining`, `serving`, `suspect`, `out` or `gone`; who hears that it is
suspected says louder that it is there (a larger `beat` of its incarnation), and is believed. After SWIM (Das,
Gupta and Motivala 2002). It does no I/O; time and randomness are arguments. It must never take silence for a
death: who is `out` is one who cannot be confirmed, no more, and time alone brings nobody back.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import IntEnum
from random import Random
from typing import Optional

import msgspec

GOSSIP_MOST = 12  # views in one message
HELPERS = 2  # others who are asked to look where one does not answer
PEERS_MOST = 4096


class Status(IntEnum):
    """In the order in which one goes over another at the same beat."""

    JOINING = 0
    SERVING = 1
    SUSPECT = 2
    OUT = 3
    GONE = 4


class View(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a courier: by its incarnation, the beat by which it last spoke for itself."""

    name: str
    incarnation: int
    beat: int
    status: int


@dataclass
class Member:
    """A courier as this one sees it."""

    view: View
    since: float
    heard: float = -1e15  # when it was last heard by this courier itself
    told: int = 0  # how often this view was passed on

    @property
    def status(self) -> Status:
        return Status(self.view.status)


@dataclass(frozen=True)
class Rhythm:
    """Milliseconds: how often one other is asked, how long it may take, how long it may stay suspect."""

    every: float = 500.0
    patience: float = 400.0
    suspect: float = 3000.0


@dataclass(frozen=True)
class Change:
    """A change of view, for the log: who, from what to what, by whose word."""

    name: str
    before: str
    now: str
    by: str


class Members:
    """One courier's view of the fleet."""

    def __init__(
        self, name: str, incarnation: int, peers: tuple[str, ...], rhythm: Rhythm, random: Random, now: float
    ) -> None:
        self.name, self.rhythm, self.random = name, rhythm, random
        self.own = View(name, incarnation, 0, Status.JOINING)
        self.members = {peer: Member(View(peer, 0, 0, Status.OUT), now) for peer in peers[:PEERS_MOST]}
        self.changes: list[Change] = []
        # Both serve a cost that does not grow with the fleet: whom to pass on next, by how often it was, with
        # entries that are out of date left in; and who is suspect.
        self._spread: list[tuple[int, str]] = []
        self._suspects: dict[str, Member] = {}
        self._turn: list[str] = []
        self._open: dict[str, tuple[float, bool]] = {}  # asked: until when, and whether others were asked too
        self.next = now
        self.last_tick = now

    def serving(self) -> None:
        """This courier takes part from now on."""
        self.own = View(self.name, self.own.incarnation, self.own.beat + 1, Status.SERVING)

    def leaving(self) -> None:
        self.own = View(self.name, self.own.incarnation, self.own.beat + 1, Status.GONE)

    def stalled(self, now: float) -> float:
        """How much longer than it should the time since the last tick was: a stall of this very process."""
        gap = now - self.last_tick
        self.last_tick = now
        return max(0.0, gap - 2 * self.rhythm.every)

    def tick(self, now: float) -> tuple[list[str], list[tuple[str, str]]]:
        """Whom to ask now, and whom to ask to look at whom (helper, subject)."""
        asks, helps = [], []
        for name, (until, helped) in list(self._open.items()):
            if now < until:
                continue
            member = self.members.get(name)
            if not helped and member is not None:
                self._open[name] = now + self.rhythm.patience, True
                others = [p for p, m in self.members.items() if p != name and m.status <= Status.SUSPECT]
                helps += [(h, name) for h in self.random.sample(others, min(HELPERS, len(others)))]
            else:
                del self._open[name]
                if member is not None and member.status <= Status.SERVING:
                    self._set(
                        member,
                        View(name, member.view.incarnation, member.view.beat, Status.SUSPECT),
                        now,
                        self.name,
                    )
        for member in list(self._suspects.values()):
            if now - member.since >= self.rhythm.suspect:
                v = member.view
                self._set(member, View(v.name, v.incarnation, v.beat, Status.OUT), now, self.name)
        if now >= self.next:  # one who is alone keeps its rhythm too
            self.next = now + self.rhythm.every * self.random.uniform(0.9, 1.1)
            if not self._turn:
                self._turn = sorted(self.members)
                self.random.shuffle(self._turn)
            name = self._turn.pop() if self._turn else ""
            if name in self.members and name not in self._open:
                self._open[name] = now + self.rhythm.patience, False
                asks.append(name)
        return asks, helps

    @property
    def due(self) -> float:
        opens = min((until for until, _ in self._open.values()), default=1e18)
        ends = min((m.since + self.rhythm.suspect for m in self._suspects.values()), default=1e18)
        return min(self.next, opens, ends)

    def heard(self, view: View, now: float, directly: bool = True) -> None:
        """Somebody spoke for itself, to this courier or to one that looked for it."""
        self._open.pop(view.name, None)
        if (member := self.members.get(view.name)) is not None:
            member.heard = now if directly else member.heard
            if (view.incarnation, view.beat) >= (member.view.incarnation, member.view.beat):
                # Its own word at the same beat goes over a suspicion that came before.
                self._set(member, view, now, view.name)

    def told(self, views: list[View], by: str, now: float) -> None:
        """What another said of others, and of this courier."""
        for view in views[:GOSSIP_MOST]:
            if view.name == self.name:
                if (
                    view.incarnation == self.own.incarnation
                    and view.status >= Status.SUSPECT
                    and (view.beat >= self.own.beat and self.own.status < Status.SUSPECT)
                ):
                    self.own = View(self.name, self.own.incarnation, view.beat + 1, self.own.status)
                continue
            member = self.members.get(view.name)
            if member is None:
                continue
            known = member.view
            if (view.incarnation, view.beat, view.status) > (known.incarnation, known.beat, known.status):
                self._set(member, view, now, by)

    def gossip(self) -> list[View]:
        """What to tell next: the own view, and those told least."""
        chosen: dict[str, Member] = {}
        while self._spread and len(chosen) < GOSSIP_MOST - 1:
            told, name = heapq.heappop(self._spread)
            member = self.members[name]
            if told == member.told:  # else its view has changed since, and another entry stands for it
                chosen[name] = member
        for member in chosen.values():
            member.told += 1
            self._pass_on(member)
        return [self.own, *(member.view for member in chosen.values())]

    def _pass_on(self, member: Member) -> None:
        """Let a view be passed on in its turn; one of whom nothing was ever heard is not."""
        if member.view.incarnation > 0:
            heapq.heappush(self._spread, (member.told, member.view.name))
        if len(self._spread) > 2 * len(self.members) + GOSSIP_MOST:
            current = {(m.told, m.view.name) for m in self.members.values() if m.view.incarnation > 0}
            self._spread = sorted(current)

    def status(self, name: str) -> Optional[Status]:
        if name == self.name:
            return Status(self.own.status)
        return self.members[name].status if name in self.members else None

    def _set(self, member: Member, view: View, now: float, by: str) -> None:
        before = member.status
        if view.status != member.view.status:
            member.since = now
            self.changes.append(Change(view.name, before.name.lower(), Status(view.status).name.lower(), by))
        if view != member.view:
            member.view, member.told = view, 0
            self._pass_on(member)
        if member.status is Status.SUSPECT:
            self._suspects[view.name] = member
        else:
            self._suspects.pop(view.name, None)
