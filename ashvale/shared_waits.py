"""What two processes of one courier tell each other while both run, as in an upgrade: told waits.

To the partners both are one courier, so a wait that either was told binds the other from then on. It owns
the file `waits` in the state folder. It must never decide what a wait means (the exchange and the module do),
never hold the loop up, and never fail a service for want of that file. A new life of one alone begins without
it, as a restart ends told waits.

Each line is the end of a wait, in milliseconds of the machine's monotonic clock, and what it silences. Lines
are appended whole, by one write each; who finds the file too long writes what still runs in its place.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path

from ashvale.descriptors import close_descriptor
from ashvale.log import failed_calls
from ashvale.loop import Loop

LOOK_MS = 25.0  # how often the file is looked at beside another process; partners let 100 ms pass
ALONE_MS = 1000.0  # and where none is likely
FILE_MOST = 16 * 1024
ROUTE_MOST = 256  # bytes of a name
WAIT_MOST_MS = 3_600_000.0  # what claims to run longer is not from this machine's present life
log = logging.getLogger(__name__)


class Waits:
    """The file of told waits. `heard` is told what another process wrote: a route, and until when (ms)."""

    def __init__(
        self, loop: Loop, folder: Path, two_processes: bool, likely: bool, heard: Callable[[str, float], None]
    ) -> None:
        """`two_processes`: another runs on this folder already; `likely`: one may come at any time."""
        self.loop, self.path, self.heard = loop, folder / "waits", heard
        self.every = LOOK_MS if two_processes or likely else ALONE_MS
        self._at, self._file = 0, 0  # read up to there, of the file with that number
        self._unwritten = bytearray()  # lines that the file does not have yet
        self._known: dict[str, float] = {}  # what runs, as far as this process knows
        if not two_processes:
            self._clear()
        self._look()

    def tell(self, route: str, until: float) -> None:
        """Write down a wait that this process was told."""
        # Guards CPU where no other process is likely: what is over before one could read it is not written.
        short = self.every == ALONE_MS and until - self.loop.now() < ALONE_MS
        if short or len(name := route.encode()) > ROUTE_MOST or b"\n" in name:
            return
        self._known[route] = max(until, self._known.get(route, 0.0))
        self._unwritten += b"%.0f %s\n" % (until, name)
        self._write()

    def _write(self) -> None:
        """Append what the file still lacks; what cannot be written now is with the next look at it."""
        try:
            file = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            try:
                while self._unwritten:  # guards the reader against half a line, where the system takes a part
                    del self._unwritten[: os.write(file, self._unwritten)]
                long = os.fstat(file).st_size > FILE_MOST
            finally:
                close_descriptor(file)
            if long:
                self.look()
                self._shorten()
        except OSError as error:
            failed_calls.note("waits", error)
            if len(self._unwritten) > FILE_MOST:
                log.error("waits not written", extra={"why": str(error)})
                self._unwritten.clear()

    def look(self) -> None:
        """Read what another process has appended since."""
        try:
            with open(self.path, "rb") as file:
                stat = os.fstat(file.fileno())
                if stat.st_ino != self._file or stat.st_size < self._at:
                    self._file, self._at = stat.st_ino, 0  # another was put in its place
                if stat.st_size == self._at:
                    return
                file.seek(self._at)
                data = file.read(2 * FILE_MOST)
        except FileNotFoundError:
            return
        except OSError as error:
            log.error("waits not read", extra={"why": str(error)})
            return
        whole = data.rfind(b"\n") + 1  # guards against a line that is being written
        self._at += whole
        now = self.loop.now()
        for line in data[:whole].splitlines():
            ends, _, name = line.partition(b" ")
            try:
                until, route = float(ends), name.decode()
            except ValueError:
                log.error("wait not understood", extra={"line": repr(line[:80])})
                continue
            if now < until <= now + WAIT_MOST_MS and until > self._known.get(route, 0.0) + 1.0:
                self._known[route] = until
                log.log(
                    logging.INFO if until - now > ALONE_MS else logging.DEBUG,
                    "wait told to the other process",
                    extra={"route": route, "ms": round(until - now)},
                )
                self.heard(route, until)

    def _look(self) -> None:
        self.loop.call_at(self.loop.now() + self.every, self._look)
        if self._unwritten:
            self._write()
        self.look()

    def _shorten(self) -> None:
        now = self.loop.now()
        self._known = {route: until for route, until in self._known.items() if until > now}
        lines = [b"%.0f %s\n" % (until, route.encode()) for route, until in self._known.items()]
        scratch = self.path.with_name(f"waits.{os.getpid()}")
        scratch.write_bytes(b"".join(lines)[-FILE_MOST // 2 :])
        os.replace(scratch, self.path)

    def _clear(self) -> None:
        try:
            self.path.unlink(missing_ok=True)
        except OSError as error:
            log.error("old waits not removed", extra={"why": str(error)})
