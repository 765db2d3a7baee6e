"""Starts one courier in a process of its own: signals, the log, and exit codes.

It owns the process around a courier. It must never hold a message or speak a protocol itself.
"""

from __future__ import annotations

import logging
import os
import signal
import sys
from collections.abc import Mapping

from ashvale import config
from ashvale.courier import Courier
from ashvale.journal import Full
from ashvale.log import failed_calls, set_up_log
from ashvale.loop import Loop

log = logging.getLogger("ashvale")


def main(environ: Mapping[str, str]) -> int:
    set_up_log(environ.get("ASHVALE_LOG", "INFO").upper())
    loop = Loop()

    def log_as(told: config.Config) -> None:
        """Follow what the operator's file says of the log; the environment's level goes first."""
        form = told.log.form
        try:
            set_up_log(environ.get("ASHVALE_LOG", told.log.level).upper(), form)
        except ImportError as error:
            log.error("log stays as it is", extra={"why": f"not installed: {error.name}"})

    woken, wake = os.pipe()  # no socket pair: guards the start where Unix sockets are refused
    for end in (woken, wake):
        os.set_blocking(end, False)
    signal.set_wakeup_fd(wake, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # SIGHUP's own way would end the process
        signal.signal(number, lambda *_: None)
    try:
        told = config.load(environ)
        log_as(told)
        courier = Courier(told, loop)
        courier.log_as = log_as
    except (config.ConfigError, Full, OSError) as error:
        log.error("cannot start", extra={"kind": type(error).__name__, "why": str(error)})
        return 2

    def signalled(_mask: int) -> None:
        numbers = os.read(woken, 64)
        if signal.SIGHUP in numbers:
            courier.reload(environ)
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            courier.leave()

    loop.watch(woken, 1, signalled)
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
