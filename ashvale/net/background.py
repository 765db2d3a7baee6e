"""One long piece of work in the background: a thread for it, and the loop woken when it is done.

It owns the thread and the descriptor that wakes the loop. The work must never touch the loop, a socket or the
journal: it takes what it needs as arguments, and its result is handed over between two turns. While it runs
the interpreter changes threads more often, so that a turn of the loop waits for it by a millisecond or so,
and collects no cycles, which would hold all threads up while it walks over all that was made.
"""

from __future__ import annotations

import errno
import gc
import os
import sys
import threading
from collections.abc import Callable
from typing import TypeVar

from ashvale.descriptors import close_descriptor
from ashvale.log import failed_calls
from ashvale.loop import Loop

T = TypeVar("T")
SWITCH_S = 0.0005
_before: list[tuple[float, bool]] = []  # how the interpreter was set, for each piece of work that runs


def run_in_thread(loop: Loop, work: Callable[[], T], done: Callable[[T | Exception], None]) -> None:
    """Call `work` in a thread, then `done` in the loop with its result, or with what it raised.

    Where the system has no thread or descriptor for it, `done` is called with an `OSError` instead.
    """
    try:
        woken = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
    except OSError as error:
        return _not_begun(loop, "eventfd", error, done)
    found: list[T | Exception] = []

    def run() -> None:
        try:
            found.append(work())
        except Exception as error:
            found.append(error)
        finally:
            os.eventfd_write(woken, 1)

    def over() -> None:
        loop.unwatch(woken)
        close_descriptor(woken)
        usual, collects = _before.pop()
        if not _before:  # the first to begin knows how it was
            sys.setswitchinterval(usual)
            if collects:
                gc.enable()

    def ready(_mask: int) -> None:
        if found:
            over()
            done(found[0])

    _before.append((sys.getswitchinterval(), gc.isenabled()) if not _before else _before[0])
    sys.setswitchinterval(SWITCH_S)
    gc.disable()
    loop.watch(woken, 1, ready)
    try:
        threading.Thread(target=run, name="background", daemon=True).start()
    except RuntimeError as error:  # the system has no room for another one
        over()
        _not_begun(loop, "pthread_create", OSError(errno.EAGAIN, str(error)), done)


def _not_begun(loop: Loop, call: str, error: OSError, done: Callable[[T | Exception], None]) -> None:
    failed_calls.note(call, error)
    loop.call_at(loop.now(), lambda: done(error))
