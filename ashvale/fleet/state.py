"""What the decided entries come to: leases, keys with values, permits and bans. The same at every courier.

It owns that state and how each command changes it. It must never look at a clock, draw a number or depend on
the order of a set: two couriers that have applied the same entries hold the same bytes. Time comes in through
the leader alone, which says in a command that a lease has run out (`Acquire.over`).
"""

from __future__ import annotations

from typing import Optional, Union

import msgspec

from ashvale.fleet import permits as rules
from ashvale.fleet import releases
from ashvale.fleet.permits import Ban, Budget, No, Permit, Waiting
from ashvale.fleet.releases import Plan, Rollout

LEASES_MOST, KEYS_MOST, VALUE_MOST = 4096, 16384, 32 * 1024
DONE_MOST = 2048  # results kept to answer a command that comes once more


class Lease(msgspec.Struct, frozen=True):
    """Who holds it; `number` grows with each grant, and fences what an earlier holder still sends."""

    holder: str
    number: int
    ttl: float


class Value(msgspec.Struct, frozen=True):
    """A key's value, and where in the record it was decided."""

    data: str
    index: int


class Acquire(msgspec.Struct, frozen=True, tag="acquire"):
    """`over` is the number of another's lease that the leader knows to have run out; 0 for none."""

    id: str
    lease: str
    holder: str
    ttl: float
    over: int = 0


class Release(msgspec.Struct, frozen=True, tag="release"):
    """A lease is let go of."""

    id: str
    lease: str
    holder: str
    number: int


class Put(msgspec.Struct, frozen=True, tag="put"):
    """`expect` is the place where the value to be replaced was decided; 0 for none there, -1 for any."""

    id: str
    key: str
    data: str
    expect: int = -1
    who: str = ""


class Declare(msgspec.Struct, frozen=True, tag="declare"):
    """Another budget; `size` is the leader's word for how many couriers there are."""

    id: str
    budget: Budget
    who: str
    why: str
    size: int = 0


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """A courier is to go out of service, at once or (`wait`) in its turn; the leader fills in the rest.

    `despite` is a reason to set the budget aside. `grant` is said by the leader alone, of who waits.
    """

    id: str
    courier: str
    kind: str
    who: str
    why: str
    wait: bool = False
    despite: str = ""
    life: int = 0
    building: str = ""
    out: dict[str, str] = {}
    size: int = 0
    size_building: int = 0
    minute: int = -1
    apart_left: float = 0.0
    grant: bool = False


class Call(msgspec.Struct, frozen=True, tag="call"):
    """A courier is called back into service, and out of the queue."""

    id: str
    courier: str
    who: str


class Back(msgspec.Struct, frozen=True, tag="back"):
    """The holder's own word that it serves again; `number` is the permit's that it ends."""

    id: str
    courier: str
    number: int


class Forget(msgspec.Struct, frozen=True, tag="forget"):
    """An operator's word that a holder never comes back: its permit ends without it."""

    id: str
    courier: str
    who: str
    why: str


class Maint(msgspec.Struct, frozen=True, tag="maint"):
    """An endpoint is to get nothing new; `listed` and `ready` are its partner's, as the asked one sees."""

    id: str
    endpoint: str
    partner: str
    who: str
    why: str
    building: str = ""
    ends_ms: float = 0.0
    despite: str = ""
    listed: dict[str, str] = {}
    ready: dict[str, str] = {}


class Unban(msgspec.Struct, frozen=True, tag="unban"):
    """`number` is the ban's that ends, or 0 for whichever there is."""

    id: str
    endpoint: str
    who: str
    number: int = 0


class Begin(msgspec.Struct, frozen=True, tag="begin"):
    """A release begins; `names` is the leader's word for who is of the fleet."""

    id: str
    plan: Plan
    who: str
    why: str
    names: tuple[str, ...] = ()


class Steer(msgspec.Struct, frozen=True, tag="steer"):
    """An order to the release under way; `number` is the release's, or 0 for whichever there is."""

    id: str
    verb: str
    who: str
    why: str = ""
    courier: str = ""
    number: int = 0


class Progress(msgspec.Struct, frozen=True, tag="progress"):
    """How a courier's step goes; `permit` is the number by which it is out."""

    id: str
    release: int
    courier: str
    event: str
    life: int = 0
    why: str = ""
    permit: int = 0


class Onward(msgspec.Struct, frozen=True, tag="onward"):
    """The leader: that wave is through, and has soaked."""

    id: str
    release: int
    way: str
    wave: int


Command = Union[
    Acquire, Release, Put, Declare, Ask, Call, Back, Forget, Maint, Unban, Begin, Steer, Progress, Onward
]


class Result(msgspec.Struct, frozen=True):
    """What a command came to; `number` is the place in the record, and a lease's or permit's number."""

    ok: bool
    number: int = 0
    why: str = ""
    after_ms: float = 0.0


class _Kept(msgspec.Struct):
    applied: int = 0
    leases: dict[str, Lease] = {}
    keys: dict[str, Value] = {}
    done: dict[str, Result] = {}
    budget: Budget = Budget()
    permits: dict[str, Permit] = {}
    queue: list[Waiting] = []
    bans: dict[str, Ban] = {}
    bans_at: int = 0  # where the bans last changed
    rollout: Optional[Rollout] = None
    past: list[Rollout] = []


_commands = msgspec.json.Decoder(Command)


class Unknown(Exception):
    """A decided command that this version of the program does not know: it follows no further."""


class State:
    """Leases and keys as of `applied`."""

    def __init__(self, data: bytes = b"") -> None:
        self._kept = msgspec.json.decode(data, type=_Kept) if data else _Kept()

    @property
    def applied(self) -> int:
        return self._kept.applied

    @property
    def leases(self) -> dict[str, Lease]:
        return self._kept.leases

    @property
    def keys(self) -> dict[str, Value]:
        return self._kept.keys

    @property
    def budget(self) -> Budget:
        return self._kept.budget

    @property
    def permits(self) -> dict[str, Permit]:
        return self._kept.permits

    @property
    def queue(self) -> list[Waiting]:
        return self._kept.queue

    @property
    def bans(self) -> dict[str, Ban]:
        return self._kept.bans

    @property
    def rollout(self) -> Optional[Rollout]:
        """The release under way, or None."""
        return self._kept.rollout

    @property
    def past(self) -> list[Rollout]:
        return self._kept.past

    @property
    def bans_at(self) -> int:
        return self._kept.bans_at

    def pack(self) -> bytes:
        return msgspec.json.encode(self._kept)

    def done(self, id: str) -> Optional[Result]:
        return self._kept.done.get(id)

    def skip(self, index: int) -> None:
        """An entry that changes nothing here."""
        self._kept.applied = index

    def apply(self, index: int, data: bytes) -> tuple[Command, Result]:
        """Carry out the decided command at `index`."""
        try:
            command = _commands.decode(data)
        except msgspec.MsgspecError as error:
            raise Unknown(str(error)) from None
        result = self._kept.done.get(command.id)  # guards a command that came twice against a second effect
        if result is None:
            result = self._carry_out(index, command)
            self._kept.done[command.id] = result
            if len(self._kept.done) > DONE_MOST:
                del self._kept.done[next(iter(self._kept.done))]
        self._kept.applied = index
        return command, result

    def _carry_out(self, index: int, command: Command) -> Result:
        if isinstance(command, Put):
            return self._put(index, command)
        if isinstance(command, Ask):
            return self._ask(index, command)
        if isinstance(command, (Declare, Call, Back, Forget)):
            return self._permit(index, command)
        if isinstance(command, (Maint, Unban)):
            return self._ban(index, command)
        if isinstance(command, (Begin, Steer, Progress, Onward)):
            return self._release(index, command)
        held = self.leases.get(command.lease)
        if isinstance(command, Release):
            if held is None or (held.holder, held.number) != (command.holder, command.number):
                return Result(False, held.number if held else 0, "not held")
            del self.leases[command.lease]
            return Result(True, index)
        if held is not None and held.holder != command.holder and held.number != command.over:
            return Result(False, held.number, f"held by {held.holder}")
        if held is None and len(self.leases) >= LEASES_MOST:
            return Result(False, 0, "too many leases")
        self.leases[command.lease] = Lease(command.holder, index, command.ttl)
        return Result(True, index)

    def may_go(self, m: Ask) -> Optional[No]:
        """Whether a courier would be granted leave, by what the leader filled in; None where it would."""
        return rules.may_go(
            self.budget,
            self.permits,
            self.queue,
            m.courier,
            m.building,
            m.out,
            m.size,
            m.size_building,
            m.minute,
            m.apart_left,
        )

    def _ask(self, index: int, m: Ask) -> Result:
        """A permit, a place in the queue, or no. A second permit takes the first one's place: what was said
        of the first, a late `Back` above all, counts no more."""
        kept, known = self._kept, self.permits.get(m.courier)
        if m.kind not in rules.KINDS or not m.why.strip() or not m.who.strip():
            return Result(False, 0, "a kind, a reason and a name are needed")
        place = next((w for w in kept.queue if w.courier == m.courier), None)
        if m.grant and place is None:
            return Result(False, 0, "waits no more")
        no: Optional[No] = None
        if known is None and not m.despite:
            no = self.may_go(m)
        if no is None and known is None and len(kept.permits) >= rules.PERMITS_MOST:
            no = No("too many permits")
        if no is None:
            kept.queue = [w for w in kept.queue if w.courier != m.courier]
            kept.permits[m.courier] = Permit(
                index, m.kind, m.who, m.why, m.building, m.life, False, m.despite
            )
            if m.despite and kept.rollout is not None and kept.rollout.status == releases.RUNNING:
                why = f"{m.courier} went despite the budget: {m.despite}"
                self._put_release_in_force(releases.halted(kept.rollout, why))
            return Result(True, index)
        if m.wait and place is None:
            if len(kept.queue) >= rules.QUEUE_MOST:
                return Result(False, 0, "too many wait", no.after_ms)
            kept.queue.append(Waiting(m.courier, m.kind, m.who, m.why, index))
        waits = f"it waits: {no.why}" if m.wait or place is not None else no.why
        return Result(False, 0, waits, no.after_ms)

    def _permit(self, index: int, m: Declare | Call | Back | Forget) -> Result:
        kept = self._kept
        if isinstance(m, Declare):
            if faults := rules.faults(m.budget, m.size):
                return Result(False, 0, "; ".join(faults))
            if not m.why.strip() or not m.who.strip():
                return Result(False, 0, "a reason and a name are needed")
            kept.budget = m.budget
            return Result(True, index)
        permit = kept.permits.get(m.courier)
        if isinstance(m, Back):
            if permit is None or permit.number != m.number:
                return Result(False, permit.number if permit else 0, "another permit, or none")
            del kept.permits[m.courier]
            return Result(True, index)
        waited = len(kept.queue)
        kept.queue = [w for w in kept.queue if w.courier != m.courier]
        if isinstance(m, Forget):
            if permit is None or not m.why.strip():
                return Result(False, 0, "no permit" if permit is None else "a reason is needed")
            del kept.permits[m.courier]
        elif permit is not None:
            kept.permits[m.courier] = msgspec.structs.replace(permit, back=True)
        elif waited == len(kept.queue):
            return Result(False, 0, "neither out nor waiting")
        return Result(True, index)

    def _release(self, index: int, m: Begin | Steer | Progress | Onward) -> Result:
        kept, found = self._kept, self.rollout
        if isinstance(m, Begin):
            if found is not None:
                return Result(False, found.number, f"release '{found.plan.name}' is under way")
            if not m.why.strip() or not m.who.strip():
                return Result(False, 0, "a reason and a name are needed")
            if faults := releases.faults(m.plan, set(m.names), kept.budget):
                return Result(False, 0, "; ".join(faults))
            kept.rollout = releases.begin(index, m.plan, m.who, m.why)
            return Result(True, index)
        number = m.number if isinstance(m, Steer) else m.release
        if found is None or number not in (0, found.number):
            return Result(False, 0, "no such release is under way")
        if isinstance(m, Steer):
            after = releases.steer(found, m.verb, m.courier, m.why)
        elif isinstance(m, Onward):
            after = releases.onward(found, m.wave) if m.way == found.way else "it goes another way"
        else:
            permit = kept.permits.get(m.courier)
            by = permit is not None and permit.kind == "release" and permit.number == m.permit
            after = releases.progress(
                found, m.courier, m.event, m.life, m.why, by and permit is not None and not permit.back
            )
        if isinstance(after, str):
            return Result(False, found.number, after)
        self._put_release_in_force(after)
        return Result(True, index)

    def _put_release_in_force(self, release: Rollout) -> None:
        """Put a release in force as it now is.

        Whoever has no work in it any more, or other work than that for which it went, is called back, once
        and for all: for more it needs another permit. Guards against one that goes out again by a permit
        while its word that it is back is under way.
        """
        kept, before = self._kept, self._kept.rollout
        for name, permit in kept.permits.items():
            part = release.parts.get(name)
            same = part is not None and (
                part.state == releases.BEGAN or before is not None and before.parts.get(name) == part
            )
            if permit.kind == "release" and not (same and release.at_work(name)):
                kept.permits[name] = msgspec.structs.replace(permit, back=True)
        kept.rollout = release
        if release.status == releases.OVER:
            kept.rollout, kept.past = None, [*kept.past, release][-releases.PAST_MOST :]

    def _ban(self, index: int, m: Maint | Unban) -> Result:
        kept, known = self._kept, self.bans.get(m.endpoint)
        if isinstance(m, Unban):
            if known is None or m.number not in (0, known.number):
                return Result(False, 0, "not banned, or anew")
            del kept.bans[m.endpoint]
        else:
            if not m.why.strip() or not m.who.strip() or m.ends_ms < 0.0:
                return Result(False, 0, "a reason, a name and an end that is not past are needed")
            no = (
                None
                if known or m.despite
                else rules.may_ban(kept.budget, kept.bans, m.endpoint, m.building, m.listed, m.ready)
            )
            if no is None and known is None and len(kept.bans) >= rules.BANS_MOST:
                no = No("too many endpoints are banned")
            if no is not None:
                return Result(False, 0, no.why, no.after_ms)
            kept.bans[m.endpoint] = Ban(index, m.partner, m.building, m.who, m.why, m.ends_ms, m.despite)
        kept.bans_at = index
        return Result(True, index)

    def _put(self, index: int, command: Put) -> Result:
        known = self.keys.get(command.key)
        if command.expect >= 0 and command.expect != (known.index if known else 0):
            return Result(False, known.index if known else 0, "changed meanwhile")
        if len(command.data) > VALUE_MOST or known is None and len(self.keys) >= KEYS_MOST:
            return Result(False, 0, "too large")
        if command.data:
            self.keys[command.key] = Value(command.data, index)
        else:
            self.keys.pop(command.key, None)
        return Result(True, index)


def encode(command: Command) -> bytes:
    return msgspec.json.encode(command)
