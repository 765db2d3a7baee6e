"""The record: one log of decisions that a majority of voters holds, as a state machine without I/O.

It owns one courier's term, vote, log and role, after Raft (Ongaro and Ousterhout 2014) with a vote before the
vote, voters that stay with a leader they hear, a leader that steps down when no majority answers, snapshots,
and voters that change one at a time. Times are monotonic milliseconds, randomness is an argument.

It must never say that something is decided which a majority has not saved. Callers carry `Out` out in order:
save it to the disk, then send its messages, then apply what is decided; and hand in nothing more meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Optional, Union

import msgspec

ENTRIES_MOST = 128  # in one message
BYTES_MOST = 256 * 1024  # of entries in one message, but for one that is larger alone
DATA_MOST = 64 * 1024  # of one entry
VOTERS_MOST = 7
OPEN_MOST = 1024  # entries of a leader that are not decided yet


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log. `kind` is `start` (a leader's first), `voters` or `put`."""

    index: int
    term: int
    kind: str
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that the entries up to `index` came to."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    state: bytes = b""


class Vote(msgspec.Struct, frozen=True, tag="vote"):
    """Asks for a vote in `term`; with `pre`, only whether one would be given."""

    term: int
    last_index: int
    last_term: int
    pre: bool


class Voted(msgspec.Struct, frozen=True, tag="voted"):
    """The answer; `asked` is the term that was asked for."""

    term: int
    asked: int
    granted: bool
    pre: bool


class Append(msgspec.Struct, frozen=True, tag="append"):
    """A leader's entries behind `prev_index`; none, to say that it is there. `sent` is its own clock."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent: float


class Install(msgspec.Struct, frozen=True, tag="install"):
    """A leader's snapshot, for who is further behind than the leader's log reaches."""

    term: int
    snapshot: Snapshot
    sent: float


class Appended(msgspec.Struct, frozen=True, tag="appended"):
    """How far the follower's log is the leader's; where not `ok`, from where to try. `sent` comes back."""

    term: int
    ok: bool
    match: int
    sent: float


class Pull(msgspec.Struct, frozen=True, tag="pull"):
    """Who does not vote asks what was decided: its log ends at `index`, and is decided up to `commit`."""

    index: int
    term: int
    commit: int


class Pulled(msgspec.Struct, frozen=True, tag="pulled"):
    """Decided entries behind `prev`, up to which both logs are the same, or a snapshot beyond it."""

    term: int
    leader: str
    commit: int
    prev: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Optional[Snapshot] = None


Message = Union[Vote, Voted, Append, Install, Appended, Pull, Pulled]


class Role(Enum):
    FOLLOWER = "follower"
    ASKS = "asks"  # whether it would be voted for
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Timing:
    """Milliseconds. `drift` is how far apart two clocks may run: the share of a span."""

    election: float = 1000.0
    beat: float = 200.0
    drift: float = 0.01


@dataclass
class Saved:
    """What is on the disk."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(default_factory=list)


@dataclass
class Out:
    """What one step brings: first save, then send, then apply."""

    hard: bool = False  # term and vote are to be saved
    cut: Optional[int] = None  # entries from here on go, before others are added
    entries: list[Entry] = field(default_factory=list)
    installed: Optional[Snapshot] = None  # takes the place of the whole log, and is applied first
    messages: list[tuple[str, Message]] = field(default_factory=list)
    decided: list[Entry] = field(default_factory=list)

    @property
    def saves(self) -> bool:
        return self.hard or self.cut is not None or bool(self.entries) or self.installed is not None


class Refused(Exception):
    """This courier cannot decide that: it does not lead, or not yet, or has too much open."""


def voters_of(data: bytes) -> tuple[str, ...]:
    return tuple(msgspec.json.decode(data, type=list[str]))


def majority(voters: Iterable[str]) -> int:
    return len(list(voters)) // 2 + 1


class Record:
    """One courier's part in the record."""

    def __init__(self, name: str, saved: Saved, timing: Timing, random: Random, now: float) -> None:
        self.name, self.timing, self.random = name, timing, random
        self.term, self.vote = saved.term, saved.vote
        self.snapshot, self.log = saved.snapshot, list(saved.entries)
        self.voters = self._configured()
        self.commit = self.applied = self.snapshot.index
        self.role, self.leader = Role.FOLLOWER, ""
        self.may_vote = False  # until others have said that nothing of this name is newer
        self.heard = now  # guards an old leader's time: who has just begun may have heard it before
        self.deadline = self._later(now)
        self.votes: set[str] = set()
        self.next: dict[str, int] = {}
        self.match: dict[str, int] = {}
        self.acked: dict[str, float] = {}  # by own clock: when what a peer answered last was sent
        self.asked: dict[str, float] = {}  # when something is to be sent again, whatever comes
        self.led_since = now

    # The log

    @property
    def last(self) -> int:
        return self.log[-1].index if self.log else self.snapshot.index

    def term_at(self, index: int) -> Optional[int]:
        """The term of an entry; None where the log does not reach."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.log[at].term if 0 <= at < len(self.log) else None

    def after(self, index: int) -> list[Entry]:
        """Entries behind `index`, as many as one message takes."""
        found, size = list[Entry](), 0
        for entry in self.log[index - self.snapshot.index :][:ENTRIES_MOST]:
            size += len(entry.data)
            if found and size > BYTES_MOST:
                break
            found.append(entry)
        return found

    def _configured(self) -> tuple[str, ...]:
        """The voters by the latest entry that names them, decided or not."""
        for entry in reversed(self.log):
            if entry.kind == "voters":
                return voters_of(entry.data)
        return self.snapshot.voters

    def _last_term(self) -> int:
        return self.log[-1].term if self.log else self.snapshot.term

    def _add(self, entry: Entry, out: Out) -> None:
        self.log.append(entry)
        out.entries.append(entry)
        if entry.kind == "voters":
            self.voters = voters_of(entry.data)

    def _cut(self, index: int, out: Out) -> None:
        assert index > self.commit, "what is decided is never cut"
        del self.log[index - self.snapshot.index - 1 :]
        out.cut = index if out.cut is None else min(index, out.cut)
        self.voters = self._configured()

    def _decide(self, index: int, out: Out) -> None:
        self.commit = max(self.commit, min(index, self.last))
        start = self.applied - self.snapshot.index
        new = self.log[start : self.commit - self.snapshot.index]
        out.decided += new
        self.applied = self.commit

    def forget(self, peer: str) -> None:
        """A peer has begun anew, perhaps with less than it had: what it holds is found out again."""
        if peer in self.next:
            self.next[peer], self.match[peer] = self.last + 1, 0

    def compact(self, index: int, state: bytes) -> Snapshot:
        """Forget entries up to `index`, which have been applied and came to `state`; the caller saves it."""
        assert self.snapshot.index <= index <= self.applied
        term, kept = self.term_at(index), self.log[index - self.snapshot.index :]
        self.snapshot, self.log = Snapshot(index, term or 0, voters_at(self, index), state), kept
        return self.snapshot

    # Time

    def _later(self, now: float) -> float:
        return now + self.timing.election * self.random.uniform(1.0, 2.0)

    def tick(self, now: float) -> Out:
        """What time alone brings; to be asked for at `due`."""
        out = Out()
        if self.role is Role.LEADER:
            if now - self.quorum_at(now) > self.timing.election:
                self._follow(self.term, "", now, out)  # no majority answers: others may have one by now
            else:
                self._send_all(now, out)
        elif now >= self.deadline:
            self._ask(now, out)
        return out

    @property
    def due(self) -> float:
        if self.role is Role.LEADER:
            return min(self.asked.values(), default=self.led_since + 1e15)
        return self.deadline

    def quorum_at(self, now: float) -> float:
        """Up to when, by the own clock, a majority is known to have followed."""
        times = sorted(
            (now if v == self.name else self.acked.get(v, self.led_since) for v in self.voters), reverse=True
        )
        return times[majority(self.voters) - 1] if times else now

    def leads_until(self, now: float) -> float:
        """Until when nobody else can lead: voters that follow vote for none within their election time."""
        if self.role is not Role.LEADER or (self.term_at(self.commit) != self.term):
            return 0.0
        return self.quorum_at(now) + self.timing.election * (1.0 - self.timing.drift)

    # Elections

    def _ask(self, now: float, out: Out) -> None:
        """Ask whether one would be voted for; a term is taken up only then."""
        self.deadline = self._later(now)
        if not self.may_vote or self.name not in self.voters:
            return
        self.role, self.leader, self.votes = Role.ASKS, "", {self.name}
        self._request(self.term + 1, True, now, out)

    def _request(self, term: int, pre: bool, now: float, out: Out) -> None:
        out.messages += [
            (peer, Vote(term, self.last, self._last_term(), pre)) for peer in self.voters if peer != self.name
        ]
        self._count(now, out)

    def _count(self, now: float, out: Out) -> None:
        if len(self.votes & set(self.voters)) < majority(self.voters):
            return
        if self.role is Role.ASKS:
            self.role, self.term, self.vote, out.hard = Role.CANDIDATE, self.term + 1, self.name, True
            self.votes, self.deadline = {self.name}, self._later(now)
            self._request(self.term, False, now, out)
        elif self.role is Role.CANDIDATE:
            self._lead(now, out)

    def _lead(self, now: float, out: Out) -> None:
        self.role, self.leader, self.led_since = Role.LEADER, self.name, now
        self.next = {peer: self.last + 1 for peer in self.voters}
        self.match, self.acked = dict.fromkeys(self.voters, 0), {}
        self.asked = {}
        self._add(Entry(self.last + 1, self.term, "start"), out)
        self._advance(out)
        self._send_all(now, out)

    def _follow(self, term: int, leader: str, now: float, out: Out) -> None:
        if term > self.term:
            self.term, self.vote, out.hard = term, "", True
        if self.role is not Role.FOLLOWER:
            self.deadline = self._later(now)
        self.role, self.leader = Role.FOLLOWER, leader

    # Messages

    def handle(self, sender: str, message: Message, now: float) -> Out:
        """Take one message of a peer, an answer included."""
        out = Out()
        if isinstance(message, Vote):
            self._asked_to_vote(sender, message, now, out)
        elif isinstance(message, Voted):
            self._voted(sender, message, now, out)
        elif isinstance(message, (Append, Install)):
            self._appended_to(sender, message, now, out)
        elif isinstance(message, Appended):
            self._answered(sender, message, now, out)
        elif isinstance(message, Pull):
            out.messages.append((sender, self._pulled(message)))
        elif isinstance(message, Pulled):
            self._learn(message, now, out)
        return out

    def _asked_to_vote(self, sender: str, m: Vote, now: float, out: Out) -> None:
        # Guards a leader's time: who has heard it lately votes for nobody else, and takes up no term.
        sticks = self.role is Role.LEADER or now - self.heard < self.timing.election
        member = self.may_vote and self.name in self.voters and sender in self.voters
        fresh = (m.last_term, m.last_index) >= (self._last_term(), self.last)
        granted = False
        if member and not sticks and m.pre:
            granted = m.term > self.term and fresh
        elif member and not sticks:
            if m.term > self.term:
                self._follow(m.term, "", now, out)
            granted = m.term == self.term and fresh and self.vote in ("", sender)
            if granted:
                self.vote, out.hard, self.deadline = sender, True, self._later(now)
        out.messages.append((sender, Voted(self.term, m.term, granted, m.pre)))

    def _voted(self, sender: str, m: Voted, now: float, out: Out) -> None:
        if m.term > self.term and not (m.pre and m.granted):
            self._follow(m.term, "", now, out)
            return
        wanted = {Role.ASKS: (True, self.term + 1), Role.CANDIDATE: (False, self.term)}.get(self.role)
        if m.granted and wanted == (m.pre, m.asked):
            self.votes.add(sender)
            self._count(now, out)

    def _appended_to(self, sender: str, m: Append | Install, now: float, out: Out) -> None:
        if m.term < self.term:
            out.messages.append((sender, Appended(self.term, False, self.last, m.sent)))
            return
        self._follow(m.term, sender, now, out)
        self.heard, self.deadline = now, self._later(now)
        if isinstance(m, Install):
            match = self._install(m.snapshot, out)
        else:
            found = self._merge(m, out)
            if found is None:
                hint = min(self.last, m.prev_index - 1)
                out.messages.append((sender, Appended(self.term, False, max(self.commit, hint), m.sent)))
                return
            match = found
            self._decide(min(m.commit, match), out)
        out.messages.append((sender, Appended(self.term, True, match, m.sent)))

    def _merge(self, m: Append, out: Out) -> Optional[int]:
        """Make the log the leader's; how far it is, or None where what lies before is not."""
        if m.prev_index > self.snapshot.index and self.term_at(m.prev_index) != m.prev_term:
            return None
        for entry in m.entries:
            if entry.index <= self.snapshot.index:
                continue
            if (known := self.term_at(entry.index)) == entry.term:
                continue
            if known is not None:
                self._cut(entry.index, out)
            if entry.index != self.last + 1:
                return None  # guards the log against a gap, whoever made it
            self._add(entry, out)
        return max(self.snapshot.index, m.entries[-1].index if m.entries else m.prev_index)

    def _install(self, snapshot: Snapshot, out: Out) -> int:
        if snapshot.index <= self.commit:
            return self.commit
        # Guards what this courier has said that it holds: entries behind the snapshot that fit it stay.
        fits = self.term_at(snapshot.index) == snapshot.term
        kept = self.log[snapshot.index - self.snapshot.index :] if fits else []
        self.snapshot, self.log = snapshot, kept
        self.voters = self._configured()
        self.commit = self.applied = snapshot.index
        out.installed = snapshot
        return snapshot.index

    def _answered(self, sender: str, m: Appended, now: float, out: Out) -> None:
        if m.term > self.term:
            self._follow(m.term, "", now, out)
            return
        if self.role is not Role.LEADER or m.term < self.term or sender not in self.next:
            return
        self.acked[sender] = max(self.acked.get(sender, self.led_since), m.sent)
        if m.ok:
            self.match[sender] = max(self.match[sender], m.match)
            self.next[sender] = max(self.next[sender], self.match[sender] + 1)
            self._advance(out)
        else:
            self.next[sender] = max(self.match[sender] + 1, min(self.next[sender] - 1, m.match + 1))
        if self.next[sender] <= self.last:
            self._send(sender, now, out)

    def _advance(self, out: Out) -> None:
        """Decide what a majority has, once something of the own term is among it."""
        self.match[self.name] = self.last
        found = sorted((self.match.get(v, 0) for v in self.voters), reverse=True)
        index = found[majority(self.voters) - 1]
        if index > self.commit and self.term_at(index) == self.term:
            self._decide(index, out)
            if self.name not in voters_at(self, self.commit):
                self.role, self.leader = Role.FOLLOWER, ""  # it has led its own leaving to the end

    def _send_all(self, now: float, out: Out) -> None:
        for peer in self.voters:
            if peer != self.name and now >= self.asked.get(peer, 0.0):
                self._send(peer, now, out)

    def _send(self, peer: str, now: float, out: Out) -> None:
        self.asked[peer] = now + self.timing.beat
        start = self.next[peer] - 1
        term = self.term_at(start)
        if start < self.snapshot.index or term is None:
            out.messages.append((peer, Install(self.term, self.snapshot, now)))
        else:
            out.messages.append(
                (peer, Append(self.term, start, term, tuple(self.after(start)), self.commit, now))
            )

    # Decisions

    def propose(self, data: bytes, now: float, kind: str = "put") -> tuple[Entry, Out]:
        """Put an entry into the leader's log; it is decided once it comes out as such. Raises `Refused`."""
        if self.role is not Role.LEADER:
            raise Refused(f"led by {self.leader or 'nobody'}")
        if len(data) > DATA_MOST:
            raise Refused("too large")
        if self.last - self.commit >= OPEN_MOST:
            raise Refused("too much is open")
        out, entry = Out(), Entry(self.last + 1, self.term, kind, data)
        self._add(entry, out)
        for peer in self.voters:
            self.next.setdefault(peer, self.last)
            self.match.setdefault(peer, 0)
        self._advance(out)
        self.asked = {}  # to all, now
        self._send_all(now, out)
        return entry, out

    def change(self, voters: Iterable[str], now: float) -> tuple[Entry, Out]:
        """Other voters: one more or one less than now, and only once the last change is decided."""
        wanted = tuple(sorted(set(voters)))
        if any(e.kind == "voters" for e in self.log[self.commit - self.snapshot.index :]):
            raise Refused("a change of voters is under way")
        if self.role is Role.LEADER and self.term_at(self.commit) != self.term:
            raise Refused("nothing of this term is decided yet")
        if len(set(wanted) ^ set(self.voters)) != 1 or not wanted or len(wanted) > VOTERS_MOST:
            raise Refused("voters change one at a time")
        return self.propose(msgspec.json.encode(list(wanted)), now, "voters")

    # Those who do not vote

    @property
    def pull(self) -> Pull:
        return Pull(self.last, self._last_term(), self.commit)

    def _pulled(self, m: Pull) -> Pulled:
        # Guards against a tail that was never decided: only where the terms fit are the logs the same.
        same = m.index <= self.commit and self.term_at(m.index) == m.term
        prev = m.index if same else min(m.commit, self.commit)
        if prev < self.snapshot.index:
            return Pulled(self.term, self.leader, self.commit, 0, (), self.snapshot)
        told = tuple(e for e in self.after(prev) if e.index <= self.commit)
        return Pulled(self.term, self.leader, self.commit, prev, told)

    def _learn(self, m: Pulled, now: float, out: Out) -> None:
        """Take what was decided; its log holds nothing else, as long as it does not vote."""
        if self.name in self.voters and self.may_vote:
            return
        self.leader = m.leader
        if m.term > self.term:
            self.term, self.vote, out.hard = m.term, "", True
        if m.snapshot is not None:
            self._install(m.snapshot, out)
        for entry in m.entries:
            if self.snapshot.index < entry.index <= self.last and self.term_at(entry.index) != entry.term:
                self._cut(entry.index, out)  # of a voter that may not vote: it was never decided
            if entry.index == self.last + 1:
                self._add(entry, out)
        self._decide(m.entries[-1].index if m.entries else m.prev, out)


def voters_at(record: Record, index: int) -> tuple[str, ...]:
    """The voters by the entries up to `index`."""
    voters = record.snapshot.voters
    for entry in record.log[: index - record.snapshot.index]:
        voters = voters_of(entry.data) if entry.kind == "voters" else voters
    return voters
