"""Where the time went: sums, percentiles and shares of lateness over many traces.

It owns the arithmetic of the report; histograms are HdrHistogram's. It must never hold the traces themselves:
each is counted and let go. The lateness of a message is shared out over its spans by what each took beyond
the usual time of its kind, so that a call which always takes 200 ms is not blamed for a wait of 5 s.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from ashvale.trace.codec import UNIT
from ashvale.trace.model import Kind, blame, split
from ashvale.trace.reader import Trace, label

LONGEST = int(24 * 3.6e6 * UNIT)
ROWS_MOST = 4096
OTHERS = "(others)"


@dataclass
class Row:
    """One destination and kind of span."""

    dest: str
    what: str
    spans: int = 0
    ms: float = 0.0
    late_ms: float = 0.0  # of the lateness of all late messages, what it explains
    caused: int = 0  # late messages of which it explains the most
    times: Any = field(default_factory=lambda: HdrHistogram(1, LONGEST, 2))

    def at(self, percentile: float) -> float:
        return float(self.times.get_value_at_percentile(percentile)) / UNIT


@dataclass
class Report:
    """All that one reading brought."""

    traces: int = 0
    spans: int = 0
    late: int = 0
    late_ms: float = 0.0
    ends: dict[str, int] = field(default_factory=dict)
    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    blames: dict[tuple[str, str], float] = field(default_factory=dict)  # lateness by destination and party

    def blamed(self, row: Row, code: int, ms: float) -> None:
        """Count lateness to a row, and to whose time it was."""
        row.late_ms += ms
        try:
            who = blame(*split(code))
        except ValueError:
            who = "unknown"
        key = (row.dest, who)
        self.blames[key] = self.blames.get(key, 0.0) + ms

    def parties(self) -> list[tuple[str, str, float]]:
        """Destination, whose time it was, share of all lateness; the largest first."""
        whole = self.late_ms or 1.0
        found = [(dest, who, ms / whole) for (dest, who), ms in self.blames.items() if ms > 0]
        return sorted(found, key=lambda part: (-part[2], part[:2]))

    def row(self, dest: str, what: str) -> Row:
        """The row of a destination and kind; past `ROWS_MOST` all share one."""
        found = self.rows.get((dest, what))
        if found is None:
            key = (dest, what) if len(self.rows) < ROWS_MOST else (OTHERS, OTHERS)
            found = self.rows.get(key)
            if found is None:
                found = self.rows[key] = Row(*key)
        return found

    def ordered(self) -> list[Row]:
        """What explains the most lateness first, then what took the most time."""
        return sorted(self.rows.values(), key=lambda r: (-r.late_ms, -r.ms, r.dest, r.what))


USUAL_MS = {Kind.ATTEMPT: 250.0}  # a call of usual pace is not what made a message late


def build(traces: Iterable[Trace]) -> Report:
    """Read all traces once."""
    made = Report()
    names: dict[int, str] = {}
    for trace in traces:
        made.traces += 1
        made.ends[trace.outcome] = made.ends.get(trace.outcome, 0) + 1
        numbers, late, dest = trace.record.spans, trace.late, trace.dest
        parts: list[tuple[Row, int, float]] = []
        for at in range(0, len(numbers) - 2, 3):
            code, length, ref = numbers[at : at + 3]
            if code == Kind.ATTEMPT * 16:
                what = _endpoint(trace, ref - 1)
            elif (found := names.get(code)) is None:
                what = names[code] = _label(code)
            else:
                what = found
            row = made.row(dest, what)
            row.spans += 1
            row.ms += length / UNIT
            row.times.record_value(min(max(1, length), LONGEST))
            made.spans += 1
            if late > 0:
                usual = USUAL_MS[Kind.ATTEMPT] if code == Kind.ATTEMPT * 16 else 0.0
                parts.append((row, code, max(0.0, length / UNIT - usual)))
        if late > 0:
            made.late += 1
            made.late_ms += late
            whole = sum(ms for _, _, ms in parts) or 1.0
            for row, code, ms in parts:
                made.blamed(row, code, late * ms / whole)
            if parts:
                max(parts, key=lambda part: part[2])[0].caused += 1
    return made


def _label(code: int) -> str:
    try:
        return label(*split(code))
    except ValueError:
        return f"unknown {code}"


def _endpoint(trace: Trace, ref: int) -> str:
    """The name of an attempt's endpoint, without building all attempts."""
    numbers = trace.record.attempts
    if 0 <= ref and 4 * ref + 1 < len(numbers):
        number = numbers[4 * ref + 1]
        if 0 <= number < len(trace.texts):
            return f"attempt {trace.texts[number]}"
    return "attempt"
