"""What the decided entries come to: named leases, and keys with values. The same at every courier.

It owns that state and how each command changes it. It must never look at a clock, draw a number or depend on
the order of a set: two couriers that have applied the same entries hold the same bytes. Time comes in through
the leader alone, which says in a command that a lease has run out (`Acquire.over`).
"""

from __future__ import annotations

from typing import Optional, Union

import msgspec

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


Command = Union[Acquire, Release, Put]


class Result(msgspec.Struct, frozen=True):
    """What a command came to; `number` is the place in the record, and a lease's number."""

    ok: bool
    number: int = 0
    why: str = ""


class _Kept(msgspec.Struct):
    applied: int = 0
    leases: dict[str, Lease] = {}
    keys: dict[str, Value] = {}
    done: dict[str, Result] = {}


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
