"""Starts one courier in a process of its own: signals, the log, and exit codes.

It owns the process around a courier. It must never hold a message or speak a protocol itself.
"""

from __future__ import annotations

import logging
import os
import signal
import sys
import time
from collections import deque
from collections.abc import Mapping
from typing import Optional

from ashvale import config
from ashvale.courier import Courier
from ashvale.descriptors import close_descriptor
from ashvale.journal import Full
from ashvale.log import failed_calls, set_up_log
from ashvale.loop import Loop

START_PATIENCE_S = 25.0  # a start is tried for so long; the platform gives one 30 s
START_AGAIN_S = (0.02, 0.2)  # pause between two tries: first and longest; it doubles
LOOK_MS = 100.0  # how often to look for a signal of which the pipe could not tell
log = logging.getLogger("ashvale")


class Signals:
    """The signals that a courier follows, kept with their times until they are taken.

    A byte in a pipe wakes the loop; where the system could not write it, the signal is found all the same.
    """

    def __init__(self) -> None:
        self._arrived = deque[tuple[int, float]]()  # number, milliseconds on the loop's clock
        self._pipe: Optional[tuple[int, int]] = None  # no socket pair: some platforms refuse Unix sockets
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._note)

    def _note(self, number: int, _frame: object) -> None:
        self._arrived.append((number, time.monotonic() * 1000.0))

    def open(self) -> int:
        """The descriptor that is readable once a signal has come. Raises `OSError`."""
        if self._pipe is None:
            ends = os.pipe()
            try:
                for end in ends:
                    os.set_blocking(end, False)
                signal.set_wakeup_fd(ends[1], warn_on_full_buffer=False)
            except OSError:
                for end in ends:
                    close_descriptor(end)
                raise
            self._pipe = ends
        return self._pipe[0]

    def take(self) -> dict[int, float]:
        """The signals that have come since the last call, each with when it came first."""
        if self._pipe is not None:
            try:
                os.read(self._pipe[0], 64)
            except OSError:  # empty, or not readable just now: what it tells is known anyway
                pass
        found: dict[int, float] = {}
        while self._arrived:
            number, at = self._arrived.popleft()
            found.setdefault(number, at)
        return found

    @property
    def end(self) -> bool:
        """Whether the process has been told to end."""
        return any(number != signal.SIGHUP for number, _ in self._arrived)


def start(environ: Mapping[str, str]) -> Courier:
    """Put a courier together on a loop of its own. What cannot be had is raised, with nothing left behind."""
    loop = Loop()

    def log_as(told: config.Config) -> None:
        """Follow what the operator's file says of the log; the environment's level goes first."""
        form = told.log.form
        try:
            set_up_log(environ.get("ASHVALE_LOG", told.log.level).upper(), form)
        except ImportError as error:
            log.error("log stays as it is", extra={"why": f"not installed: {error.name}"})

    try:
        told = config.load(environ)
        log_as(told)
        courier = Courier(told, loop)
    except BaseException:
        loop.close()
        raise
    courier.log_as = log_as
    return courier


def started(environ: Mapping[str, str], signals: Signals) -> Optional[Courier]:
    """Start a courier, again after a pause where the system lacked something; None where none came about.

    A configuration that can be read and is wrong ends it at once, as no second try would mend that.
    """
    until, pause, tries = time.monotonic() + START_PATIENCE_S, START_AGAIN_S[0], 1
    while True:
        try:
            signals.open()
            return start(environ)
        except (config.ConfigError, Full, OSError) as error:
            why = {"kind": type(error).__name__, "why": str(error), "tries": tries}
            final = isinstance(error, config.ConfigError) and not isinstance(error, config.Unreadable)
        if final or time.monotonic() >= until:
            log.error("cannot start", extra=why)
            return None
        if signals.end:
            log.info("ended before it had started", extra=why)
            return None
        log.warning("start failed, trying again", extra=why)
        time.sleep(pause)
        pause, tries = min(2.0 * pause, START_AGAIN_S[1]), tries + 1


def main(environ: Mapping[str, str]) -> int:
    set_up_log(environ.get("ASHVALE_LOG", "INFO").upper())
    signals = Signals()
    courier = started(environ, signals)
    if courier is None:
        return 0 if signals.end else 2
    loop = courier.loop

    def follow() -> None:
        found = signals.take()
        if signal.SIGHUP in found:
            courier.reload(environ)
        ends = [at for number, at in found.items() if number != signal.SIGHUP]
        if ends:
            courier.leave(min(ends))

    def look() -> None:
        loop.call_at(loop.now() + LOOK_MS, look)
        follow()

    loop.watch(signals.open(), 1, lambda _mask: follow())
    look()
    log.info("serving", extra={"pid": os.getpid(), **courier.addresses()})
    loop.run()
    if courier.tracer is not None:
        courier.tracer.close()
    if totals := failed_calls.totals():
        log.warning("system calls failed", extra={"totals": totals})
    log.info("ended", extra={"owed": len(courier.exchange.journal.entries)})
    return 0


def entry() -> None:
    """Bare, the daemon; with words behind it, a sub-command."""
    if len(sys.argv) > 1:
        try:
            from ashvale import cli
        except ImportError as error:  # guards a small installation against a traceback
            sys.exit(f"ashvale: sub-commands need the extra 'kit': {error.name} is not installed")
        cli.main(sys.argv[1:])
    sys.exit(main(os.environ))


if __name__ == "__main__":
    entry()
