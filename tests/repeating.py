"""A relay in front of an endpoint that passes all on and brings some answers twice on their connection.

It owns what it repeats. It must never change, drop or reorder a byte that either side has sent: all that it
adds are whole copies of answers that the endpoint gave before on that connection.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Optional

from ashvale.lab.relay import CONNECT_MS, Relay
from ashvale.lab.stand_ins import HERE
from ashvale.loop import FOREVER, Address, Broken, Connection, Coroutine, Expired, Loop, connect, sleep

HEAD_MOST = 8192
PIECE_MS = 1.0  # between the pieces of a copy


class When(Enum):
    """When the copy of an answer comes."""

    AT_ONCE = "right behind the answer"
    AT_REST = "while no request is out"
    UNDER_WAY = "once the first bytes of a later request have come, before the endpoint has it whole"
    BEHIND_REQUEST = "once a later request has been passed on whole"


@dataclass(frozen=True)
class Copies:
    """Which answers come again, and how. Times are milliseconds."""

    when: When = When.BEHIND_REQUEST
    lag: int = 1  # behind which later request, counted from the answer's own
    times: int = 1
    after_ms: float = 0.0
    piece: int = 0  # bytes at a time; 0: whole
    first: int = 1  # the first answer of a connection that is repeated
    limit: int = 1  # answers repeated on one connection
    hold_ms: float = 0.0  # UNDER_WAY: how long the request's last byte is held back behind the copy
    chosen: Callable[[bytes], bool] = lambda _answer: True

    def __str__(self) -> str:
        """A short name, for tests."""
        parts = [self.when.name.lower(), f"lag{self.lag}", f"x{self.times}"]
        return "-".join([*parts, f"{self.after_ms:.0f}ms", f"pieces{self.piece}"])


def read_message(connection: Connection) -> Coroutine[bytes]:
    """One request or answer whose length its head names, byte for byte; nothing at the end of the stream."""
    head, size = b"", 0
    while not head.endswith(b"\r\n\r\n"):
        try:
            line = yield from connection.line(HEAD_MOST, FOREVER)
        except Broken:
            return b""
        head += line
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            size = int(value)
    while len(head) and size > 0:
        part = yield from connection.receive(FOREVER)
        if not part:
            return b""
        head, size = head + part, size - len(part)
    return head


class RepeatingRelay(Relay):
    """Stands in front of `target`; `copies` holds for each connection from its first answer on."""

    def __init__(self, loop: Loop, target: Address, copies: Optional[Copies] = None) -> None:
        super().__init__(loop, target)
        self.copies = copies or Copies()
        self.repeated = 0  # copies that were written
        self.dial = f"{HERE}:{self.address[1]}"

    def choose(self, place: int, chosen: int, answer: bytes) -> Optional[Copies]:
        """How the answer at that place of its connection comes again, where `chosen` did before; or not."""
        copies = self.copies
        again = place >= copies.first and chosen < copies.limit and copies.chosen(answer)
        return copies if again else None

    def heard(self, request: bytes, answer: bytes) -> None:
        """An endpoint's own answer to a request has been passed on to a courier that still listened."""

    def _serve(self, near: Connection) -> Coroutine[None]:
        far = yield from connect(self.loop, self.target, self.loop.now() + CONNECT_MS)
        link = _Link(self, near, far)
        self._ends |= {near, far}
        task = self.loop.spawn(link.answers(), "answers")
        try:
            yield from link.requests()
        finally:
            task.cancel()
            self._ends -= {near, far}
            far.close()


class _Link:
    """One connection through the relay."""

    def __init__(self, relay: RepeatingRelay, near: Connection, far: Connection) -> None:
        self.relay, self.near, self.far, self.loop = relay, near, far, relay.loop
        self.requested = self.answered = self.chosen = 0
        self.out: list[bytes] = []  # requests that the endpoint has not answered
        self.due: list[tuple[int, bytes, Copies]] = []  # behind which request, the answer, and how

    def answers(self) -> Coroutine[None]:
        """What the endpoint says."""
        try:
            while answer := (yield from read_message(self.far)):
                self.answered += 1
                listens = self.near.quiet() and not self.near.stale
                yield from self.near.send(answer, FOREVER)
                request = self.out.pop(0)
                if listens:
                    self.relay.heard(request, answer)
                if (copies := self.relay.choose(self.answered, self.chosen, answer)) is None:
                    continue
                self.chosen += 1
                if copies.when is When.AT_ONCE:
                    yield from self._repeat(answer, copies)
                elif copies.when is When.AT_REST:
                    self.loop.spawn(self._at_rest(answer, copies, self.requested), "copy")
                else:
                    self.due.append((self.answered + copies.lag, answer, copies))
        except (Broken, Expired):
            pass
        finally:
            self.near.finish()

    def _at_rest(self, answer: bytes, copies: Copies, requested: int) -> Coroutine[None]:
        yield from sleep(self.loop, copies.after_ms)
        if self.requested == requested:
            yield from self._repeat(answer, copies)

    def requests(self) -> Coroutine[None]:
        """What the courier says."""
        while request := (yield from read_message(self.near)):
            self.requested += 1
            self.out.append(request)
            now = [(answer, copies) for number, answer, copies in self.due if number <= self.requested]
            self.due = [due for due in self.due if due[0] > self.requested]
            held = any(copies.when is When.UNDER_WAY for _, copies in now)
            yield from self.far.send(request[:-1] if held else request, FOREVER)
            for answer, copies in now:
                if copies.after_ms:
                    yield from sleep(self.loop, copies.after_ms)
                yield from self._repeat(answer, copies)
            if held:
                yield from sleep(self.loop, max(copies.hold_ms for _, copies in now))
                yield from self.far.send(request[-1:], FOREVER)

    def _repeat(self, answer: bytes, copies: Copies) -> Coroutine[None]:
        try:
            for _ in range(copies.times):
                self.relay.repeated += 1
                size = copies.piece or len(answer)
                for at in range(0, len(answer), size):
                    yield from self.near.send(answer[at : at + size], FOREVER)
                    if copies.piece:
                        yield from sleep(self.loop, PIECE_MS)
        except (Broken, Expired):
            pass  # the courier has let go of the connection
