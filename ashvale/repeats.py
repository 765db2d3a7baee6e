"""Rule two: whether a message that may have run may be tried again, here or by its client.

Pure functions of the state in ashvale/state.py; times are milliseconds on the caller's clock.
"""

from __future__ import annotations

from ashvale.interface import Effect
from ashvale.state import Message

ADVICE_MS = 1000.0  # when to come back with a message that was given up
REPEAT_MS, REPEAT_PART = 150.0, 0.05  # kept free at the end of a window: so much, or this part of it


def may_refuse(m: Message) -> bool:
    """Tell whether the client may hand it in again: another try does no harm."""
    keyed = m.cls.effect is Effect.KEYED and m.cls.group == "all"
    return keyed or m.cls.effect is Effect.SAFE or not (m.maybe_ran or m.out)


def repeat_by(m: Message) -> float:
    """Return until when another attempt is harmless, wherever it may go."""
    if m.maybe_ran is None or m.cls.effect is Effect.SAFE:
        return 1e18
    left = m.cls.window_ms - max(REPEAT_MS, REPEAT_PART * m.cls.window_ms)
    return m.maybe_ran[0] + left if m.cls.effect is Effect.KEYED else -1e18
