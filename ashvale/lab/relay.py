"""Relays between real processes: one for each directed link, on the caller's loop, with faults on command.

A relay owns the connections that go through it. It must never change a byte that it passes on: what it does
to a link is to hold bytes back, lose the rest of a stream, or reset it.
"""

from __future__ import annotations

from ashvale.lab.stands import HERE
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


class Relay:
    """Passes on what comes to `address`; `mode` and `delay_ms` hold from the next byte on."""

    def __init__(self, loop: Loop, target: Address) -> None:
        self.loop, self.target = loop, target
        self.mode, self.delay_ms = PASS, 0.0
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
        self.mode = PASS
        for end in list(self._ends):
            end.close()

    def _serve(self, near: Connection) -> Coroutine[None]:
        if self.mode == RESET:
            return
        far = yield from connect(self.loop, self.target, self.loop.now() + CONNECT_MS)
        self._ends |= {near, far}
        try:
            task = self.loop.spawn(self._pump(far, near), "relay")
            yield from self._pump(near, far)
            task.cancel()
        finally:
            self._ends -= {near, far}
            far.close()

    def _pump(self, source: Connection, sink: Connection) -> Coroutine[None]:
        """One direction, until either end is over."""
        try:
            while data := (yield from source.receive(FOREVER)):
                if self.delay_ms:
                    yield from sleep(self.loop, self.delay_ms)
                if self.mode == PASS:
                    self.passed += len(data)
                    yield from sink.send(data, FOREVER)
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
