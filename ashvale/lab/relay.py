"""Relays between real processes: one for each directed link, on the caller's loop, with faults on command.

A relay owns the connections that go through it. It must never change a byte that it passes on: what it does
to a link is to hold bytes back, lose the rest of a stream, or reset it.
"""

from __future__ import annotations

from random import Random

from ashvale.lab.stand_ins import HERE
from ashvale.loop import (
    FOREVER,
    Address,
    Broken,
    Connection,
    Coroutine,
    Expired,
    Listener,
    Loop,
    connect,
    sleep,
)

PASS, SILENT, RESET = "pass", "silent", "reset"
CONNECT_MS = 1000.0
TRICKLE_MS = 5.0


class Relay:
    """Passes on what comes to `address`; what is set here holds from the next byte on.

    `delay_ms` and up to `jitter_ms` more, drawn for each piece, hold bytes back; `trickle` passes so many
    at a time, TRICKLE_MS apart (0: all); `half_open` loses what the target says, passes what comes to it;
    `cut_at` resets the link once so many more bytes have passed (-1: never).
    """

    def __init__(self, loop: Loop, target: Address) -> None:
        self.loop, self.target = loop, target
        self.mode, self.delay_ms, self.jitter_ms = PASS, 0.0, 0.0
        self.trickle, self.cut_at, self.half_open = 0, -1, False
        self.draw = Random(target[1])
        self.passed = 0  # bytes
        self._ends: set[Connection] = set()
        self.listener = Listener(loop, (HERE, 0), self._serve, 256, "relay")
        self.address = self.listener.address

    def cut(self, mode: str) -> None:
        """Silence loses what comes and leaves connections open; a reset ends them and refuses new ones."""
        self.mode = mode
        if mode == RESET:
            for end in list(self._ends):
                end.close()

    def heal(self) -> None:
        """Pass again; streams that have lost something end."""
        self.mode, self.delay_ms, self.jitter_ms = PASS, 0.0, 0.0
        self.trickle, self.cut_at, self.half_open = 0, -1, False
        for end in list(self._ends):
            end.close()

    def _serve(self, near: Connection) -> Coroutine[None]:
        if self.mode == RESET:
            return
        far = yield from connect(self.loop, self.target, self.loop.now() + CONNECT_MS)
        self._ends |= {near, far}
        try:
            task = self.loop.spawn(self._pump(far, near, back=True), "relay")
            yield from self._pump(near, far)
            task.cancel()
        finally:
            self._ends -= {near, far}
            far.close()

    def _pump(self, source: Connection, sink: Connection, back: bool = False) -> Coroutine[None]:
        """One direction, until either end is over."""
        try:
            while data := (yield from source.receive(FOREVER)):
                if self.delay_ms or self.jitter_ms:
                    yield from sleep(self.loop, self.delay_ms + self.draw.uniform(0.0, self.jitter_ms))
                while data:
                    size = self.trickle or len(data)
                    part, data = data[:size], data[size:]
                    if 0 <= self.cut_at <= len(part):
                        yield from sink.send(part[: self.cut_at], FOREVER)
                        self.cut_at = -1
                        return
                    if self.mode == PASS and not (self.half_open and back):
                        self.passed += len(part)
                        self.cut_at -= len(part) if self.cut_at > 0 else 0
                        yield from sink.send(part, FOREVER)
                    if self.trickle:
                        yield from sleep(self.loop, TRICKLE_MS)
        except (Broken, Expired):
            pass
        finally:
            source.close()
            sink.close()

    def close(self) -> None:
        self.listener.close()
        for end in [*self._ends, *self.listener.open]:
            end.close()


__all__ = ["PASS", "RESET", "SILENT", "Relay"]
