"""Traces for people and programs: a table, a waterfall, a report, and JSON lines.

It owns wording and layout, which are rich's; it must never leave out that something is missing.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table
from rich.text import Text

from ashvale.trace import codec, export
from ashvale.trace.model import Kind, Span
from ashvale.trace.reader import Shelf, Stock, Trace, label
from ashvale.trace.report import Report

WIDE = 120  # columns where the output is no terminal
BAR = 40
COLOURS = {Kind.ATTEMPT: "red", Kind.WAIT: "yellow", Kind.DOWN: "magenta", Kind.NOTICE: "cyan"}
WORDS = {
    "sample": "ordinary samples",
    "detail": "messages' detail",
    "kept": "messages that went wrong",
    "spans": "spans merged",
    "untraced": "messages without a trace",
    "torn": "segments cut short",
    "aged": "traces past their age",
}

PARTIES = {
    "partner": "its calls: slow, failing or coming back",
    "limit": "its limit: more came than it takes",
    "courier": "the courier itself",
    "front": "the front layer",
    "restart": "a restart of the courier",
    "list": "no endpoint listed",
}


def _console() -> Console:
    console = Console(highlight=False)
    return console if console.is_terminal else Console(width=WIDE, highlight=False)


def at(ms: float) -> str:
    """A wall-clock time as people read it."""
    return datetime.fromtimestamp(ms / 1000.0).isoformat(sep=" ", timespec="milliseconds")


def why(t: Trace) -> str:
    """What a trace's time went into most."""
    if t.why or t.cause is None:
        return t.why
    return (
        f"attempt {t.cause.endpoint}".strip()
        if t.cause.kind is Kind.ATTEMPT
        else label(t.cause.kind, t.cause.reason)
    )


def facts(t: Trace) -> dict[str, Any]:
    """A trace as plain data."""
    spans, start = [], 0.0
    for span in t.spans:
        part: dict[str, Any] = {
            "what": t.label(span),
            "kind": span.kind.name.lower(),
            "at": round(start, 1),
            "ms": round(span.ms, 1),
        }
        if span.kind is Kind.WAIT:
            part["reason"] = span.reason.name.lower().replace("_", "-")
        if span.kind is Kind.ATTEMPT:
            part["attempt"] = export.attempt_facts(t, span)
        spans.append(part)
        start += span.ms
    found = {
        "trace_id": t.trace_id,
        "id": t.id,
        "courier": t.courier,
        "front": t.front,
        "class": t.cls,
        "destination": t.dest,
        "network": t.tenant,
        "end": t.outcome,
        "start_ms": t.start,
        "total_ms": round(t.total, 1),
        "late_ms": round(max(0.0, t.late), 1),
        "after_ms": t.record.after,
        "cause": why(t),
        "detail": t.detail is not None,
        "shed": t.record.shed,
        "spans": spans,
    }
    flags = {
        "front_unknown": codec.FRONT_UNKNOWN,
        "resumed": codec.RESUMED,
        "clock_stepped": codec.CLOCK_STEPPED,
    }
    found |= {"why": t.why} if t.why else {}
    return found | {name: True for name, flag in flags.items() if t.flag(flag)}


def as_json(t: Trace) -> str:
    return msgspec.json.encode(facts(t)).decode()


def line(t: Trace) -> str:
    late = f" late {t.late:.0f} ms" if t.late > 0 else ""
    cause = f", most of it {why(t)}" if why(t) else ""
    return (
        f"{at(t.start)} {t.courier} {t.id} {t.cls} to {t.dest}: {t.outcome} after {t.total:.0f} ms"
        f"{late}{cause}"
    )


def table(traces: Iterable[Trace]) -> None:
    made = Table(box=None, pad_edge=False)
    for name in ("began", "id", "class", "dest", "network", "end", "ms", "late", "attempts", "most of it"):
        made.add_column(
            name, justify="right" if name in ("ms", "late", "attempts") else "left", overflow="fold"
        )
    for t in traces:
        made.add_row(
            at(t.start),
            t.id,
            t.cls,
            t.dest,
            t.tenant,
            t.outcome,
            f"{t.total:.0f}",
            f"{t.late:.0f}" if t.late > 0 else "",
            str(len(t.record.attempts) // 4),
            why(t),
        )
    _console().print(made)


def waterfall(t: Trace) -> None:
    """One message, a row a span, each bar where its time lies."""
    console = _console()
    console.print(f"message {t.id}  trace {t.trace_id}  courier {t.courier}", markup=False)
    late = f", {t.late:.1f} ms late" if t.late > 0 else ""
    console.print(
        f"{t.cls} to {t.dest} for {t.tenant or 'no network'}, through {t.front}; "
        f"began {at(t.start)}, {t.outcome} after {t.total:.1f} ms{late}",
        markup=False,
    )
    for flag, told in (
        (codec.FRONT_UNKNOWN, "the time in the front layer is not known"),
        (codec.RESUMED, "the courier restarted on the way"),
        (codec.CLOCK_STEPPED, "the clock stepped back on the way: some spans are cut"),
    ):
        if t.flag(flag):
            console.print(f"  {told}", markup=False)
    if t.why:
        console.print(f"  turned away: {t.why}", markup=False)
    if t.record.shed:
        console.print(f"  {t.record.shed} spans were merged into others", markup=False)
    made = Table(box=None, pad_edge=False)
    for name in ("at", "ms", "span", "", "facts"):
        made.add_column(
            name, justify="right" if name in ("at", "ms") else "left", overflow="fold", no_wrap=name == ""
        )
    start = 0.0
    for span in t.spans:
        made.add_row(
            f"{start:.1f}", f"{span.ms:.1f}", Text(t.label(span)), _bar(t, span, start), Text(_told(t, span))
        )
        start += span.ms
    console.print(made)


def _bar(t: Trace, span: Span, start: float) -> Text:
    whole = max(t.total, 0.1)
    left = int(BAR * start / whole)
    wide = max(1, round(BAR * (start + span.ms) / whole) - left)
    return Text(
        " " * min(left, BAR - 1) + "█" * min(wide, BAR - min(left, BAR - 1)),
        style=COLOURS.get(span.kind, "green"),
    )


def _told(t: Trace, span: Span) -> str:
    if span.kind is not Kind.ATTEMPT:
        return ""
    words = []
    for name, value in export.attempt_facts(t, span).items():
        if name == "endpoint":
            continue
        words.append(name if value is True else str(value) if name == "outcome" else f"{name}={value}")
    return " ".join(word for word in words if word != "reused=False")


def missing_lines(stock: Stock) -> Iterator[str]:
    """What is not there, a line each."""
    for what, missing in sorted(stock.missing.items()):
        if missing.count or what == "detail":
            yield (
                f"missing: {missing.count} {WORDS.get(what, what)}, from {at(missing.first)} "
                f"to {at(missing.last)}"
            )
    if stock.damaged:
        yield f"missing: {stock.damaged} segments that are damaged"


def shelf_table(shelves: list[Shelf]) -> None:
    """What folders hold."""
    table = Table(box=None, pad_edge=False)
    for name in ("courier", "stream", "segments", "KB", "sealed messages", "from", "to", "ends"):
        table.add_column(
            name,
            justify="right" if name in ("segments", "KB", "sealed messages") else "left",
            overflow="fold",
        )
    for s in shelves:
        ends = ", ".join(f"{count} {end}" for end, count in sorted(s.ends.items()))
        times = (at(s.first), at(s.last)) if s.messages else ("", "")
        table.add_row(
            s.courier,
            s.rank.name.lower(),
            str(s.segments),
            f"{s.size / 1000:.1f}",
            str(s.messages),
            *times,
            ends,
        )
    _console().print(table)


def report_table(made: Report, rows: int) -> None:
    console = _console()
    ends = ", ".join(f"{count} {end}" for end, count in sorted(made.ends.items()))
    console.print(f"{made.traces} traces with {made.spans} spans: {ends or 'none'}", markup=False)
    if made.late:
        console.print(f"{made.late} late by {made.late_ms / made.late:.0f} ms in the mean", markup=False)
    table = Table(box=None, pad_edge=False)
    for name in (
        "dest",
        "where the time went",
        "spans",
        "ms in all",
        "p50",
        "p90",
        "p99",
        "max",
        "of lateness",
        "late by it",
    ):
        table.add_column(
            name, justify="left" if name in ("dest", "where the time went") else "right", overflow="fold"
        )
    shown = made.ordered()
    for row in shown[: rows or None]:
        share = f"{100 * row.late_ms / made.late_ms:.1f} %" if made.late_ms else ""
        table.add_row(
            row.dest,
            row.what,
            str(row.spans),
            f"{row.ms:.0f}",
            *(f"{row.at(p):.1f}" for p in (50, 90, 99, 100)),
            share,
            str(row.caused or ""),
        )
    for dest, who, part in made.parties()[:5]:
        console.print(
            f"{100 * part:5.1f} % of the lateness: destination {dest}, {PARTIES.get(who, who)}", markup=False
        )
    console.print(table)
    if rows and len(shown) > rows:
        console.print(f"and {len(shown) - rows} rows more", markup=False)


def report_json(made: Report, stock: Stock) -> str:
    whole = made.late_ms or 1.0
    rows = [
        {
            "destination": r.dest,
            "what": r.what,
            "spans": r.spans,
            "ms": round(r.ms, 1),
            "p50": r.at(50),
            "p90": r.at(90),
            "p99": r.at(99),
            "max": r.at(100),
            "late_share": round(r.late_ms / whole, 6),
            "late_by_it": r.caused,
        }
        for r in made.ordered()
    ]
    return msgspec.json.encode(
        {
            "traces": made.traces,
            "spans": made.spans,
            "ends": made.ends,
            "late": made.late,
            "late_ms": round(made.late_ms, 1),
            "rows": rows,
            "parties": [
                {"destination": dest, "party": who, "share": round(share, 6)}
                for dest, who, share in made.parties()
            ],
            "missing": stock.missing,
            "damaged": stock.damaged,
        }
    ).decode()
