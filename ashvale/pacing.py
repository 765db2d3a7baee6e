"""When the ring of recent send times lets a call go, and what an endpoint's calls say of its health.

Pure functions of the state in ashvale/state.py; times are milliseconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from ashvale.state import Endpoint, Lane

WINDOW_MS = 2000.0  # the ring's window: as long as the fixed spans that limits are commonly counted in
RATE_MS = 20000.0  # span over which the usual traffic of a destination is counted
OVERDUE = 4.0  # a call is overdue after this multiple of the usual time
MISHAP_MS, LOSSY_MS = 2500.0, 10000.0  # shorter failures are no outage; nor are lost answers so long after
SHUT_MS = 2 * WINDOW_MS  # a refusal that tells a longer wait comes from a destination that is shut
RAMP_SHARE = (0.9, 0.3)  # part of the permitted fail-back load that is used; so much less of it by many
SPARE = 1.5  # what a destination can do, over its usual traffic, at the least


def gate(lane: Lane) -> float:
    """Return when the ring lets the next call go."""
    size = max(1 if lane.dry else lane.least, int(lane.n or 1.0))  # refused: no calls close together
    if lane.n is None or len(lane.ring) < size:
        return lane.blocked_until
    return max(lane.blocked_until, lane.ring[-size] + WINDOW_MS * size / lane.n + lane.margin)


def overdue(e: Endpoint, now: float) -> int:
    """Count calls out far beyond the usual time with no sign of life since they were sent."""
    return sum(e.ok_sent < c.sent < now - OVERDUE * e.lane.usual for c in e.calls)


def failing(marks: Sequence[bool]) -> bool:
    """Tell that most recent calls failed, so what comes back comes back cold."""
    return len(marks) >= 4 and 2 * marks.count(False) > len(marks)
