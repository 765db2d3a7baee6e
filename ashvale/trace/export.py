"""Traces for other programs: OTLP in JSON, and the Chrome trace-event format.

It owns both translations and must never hold more than one trace: output is written piece by piece. Sources:
the OTLP specification 1.x with its JSON mapping (ids in hexadecimal, nanoseconds as decimal text), and the
Trace Event Format of Chrome's tracing (complete events, microseconds).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from ashvale.trace import codec
from ashvale.trace.model import End, Kind, Span
from ashvale.trace.reader import Trace

INTERNAL, SERVER, CLIENT = 1, 2, 3
OK, ERROR = 1, 2


def _value(value: Any) -> dict[str, Any]:
    if isinstance(value, bool):
        return {"boolValue": value}
    if isinstance(value, int):
        return {"intValue": str(value)}
    return {"doubleValue": value} if isinstance(value, float) else {"stringValue": str(value)}


def _attributes(pairs: dict[str, Any]) -> list[dict[str, Any]]:
    return [{"key": key, "value": _value(value)} for key, value in pairs.items()]


def attempt_facts(trace: Trace, span: Span) -> dict[str, Any]:
    """What is known of the attempt that a span stands for."""
    if not 0 <= span.ref < len(trace.attempts):
        return {}
    a = trace.attempts[span.ref]
    facts: dict[str, Any] = {"endpoint": a.endpoint, "number": a.number, "outcome": a.outcome or "unknown"}
    if a.members > 1:
        facts["members"] = a.members
    if a.earlier:
        facts["earlier_life"] = True
    if trace.detail is not None and not a.earlier:
        facts["reused"] = a.reused
        offsets = ("connected_ms", a.connected), ("written_ms", a.written), ("first_byte_ms", a.first)
        facts |= {name: round(value, 1) for name, value in offsets if value >= 0}
        waits = ("told_ms", a.told), ("obeyed_ms", a.obeyed)
        facts |= {name: round(value, 1) for name, value in waits if value > 0}
    return facts


def message_facts(trace: Trace) -> dict[str, Any]:
    facts: dict[str, Any] = {
        "message.id": trace.id,
        "message.front": trace.front,
        "message.class": trace.cls,
        "message.destination": trace.dest,
        "message.network": trace.tenant,
        "message.end": trace.outcome,
    }
    if trace.late > 0:
        facts["message.late_ms"] = round(trace.late, 1)
    for flag, name in (
        (codec.FRONT_UNKNOWN, "front_unknown"),
        (codec.RESUMED, "resumed"),
        (codec.CLOCK_STEPPED, "clock_stepped"),
    ):
        if trace.flag(flag):
            facts[name] = True
    return facts


def _otlp_spans(trace: Trace) -> Iterator[dict[str, Any]]:
    context, at = trace.context, trace.start

    def span(
        id: str,
        parent: str,
        name: str,
        kind: int,
        start: float,
        ms: float,
        facts: dict[str, Any],
        status: int,
    ) -> dict[str, Any]:
        made = {
            "traceId": trace.trace_id,
            "spanId": id,
            "name": name,
            "kind": kind,
            "startTimeUnixNano": str(round(start * 1000.0) * 1000),
            "endTimeUnixNano": str(round((start + ms) * 1000.0) * 1000),
            "attributes": _attributes(facts),
            "status": {"code": status},
        }
        return made | ({"parentSpanId": parent} if parent else {})

    good = OK if trace.end is End.DELIVERED else ERROR
    yield span(
        context.span,
        context.parent,
        f"message {trace.cls}",
        SERVER,
        at,
        trace.total,
        message_facts(trace),
        good,
    )
    for number, part in enumerate(trace.spans):
        facts = attempt_facts(trace, part) if part.kind is Kind.ATTEMPT else {}
        if part.kind is Kind.ATTEMPT and facts:
            id, kind = context.attempt(int(facts["number"])), CLIENT
            status = OK if facts["outcome"] == "ok" else ERROR
        else:
            id, kind, status = context.attempt(-1 - number), INTERNAL, 0
        yield span(id, context.span, trace.label(part), kind, at, part.ms, facts, status)
        at += part.ms


def otlp(traces: Iterable[Trace]) -> Iterator[bytes]:
    """ExportTraceServiceRequest in JSON, a resource for each run of traces of one courier."""
    yield b'{"resourceSpans":['
    courier, first = None, True
    for trace in traces:
        if trace.courier != courier:
            resource = {
                "attributes": _attributes({"service.name": "ashvale", "service.instance.id": trace.courier})
            }
            yield (b"" if courier is None else b"]}]},") + b'{"resource":' + msgspec.json.encode(resource)
            yield b',"scopeSpans":[{"scope":{"name":"ashvale.trace"},"spans":['
            courier, first = trace.courier, True
        for made in _otlp_spans(trace):
            yield (b"" if first else b",") + msgspec.json.encode(made)
            first = False
    yield b"]}" if courier is None else b"]}]}]}"


def chrome(traces: Iterable[Trace]) -> Iterator[bytes]:
    """A JSON object with complete events: a process for each courier, a thread for each message."""
    yield b'{"displayTimeUnit":"ms","traceEvents":['
    couriers: dict[str, int] = {}
    first = True
    for thread, trace in enumerate(traces, 1):
        events: list[dict[str, Any]] = []
        if (pid := couriers.get(trace.courier)) is None:
            pid = couriers[trace.courier] = len(couriers) + 1
            events.append(
                {"ph": "M", "name": "process_name", "pid": pid, "tid": 0, "args": {"name": trace.courier}}
            )
        events.append(
            {"ph": "M", "name": "thread_name", "pid": pid, "tid": thread, "args": {"name": trace.id}}
        )
        at = trace.start
        events.append(
            {
                "ph": "X",
                "name": f"message {trace.cls}",
                "cat": trace.outcome,
                "pid": pid,
                "tid": thread,
                "ts": round(at * 1000.0),
                "dur": round(trace.total * 1000.0),
                "args": message_facts(trace) | {"trace_id": trace.trace_id},
            }
        )
        for part in trace.spans:
            events.append(
                {
                    "ph": "X",
                    "name": trace.label(part),
                    "cat": part.kind.name.lower(),
                    "pid": pid,
                    "tid": thread,
                    "ts": round(at * 1000.0),
                    "dur": round(part.ms * 1000.0),
                    "args": attempt_facts(trace, part) if part.kind is Kind.ATTEMPT else {},
                }
            )
            at += part.ms
        for event in events:
            yield (b"" if first else b",") + msgspec.json.encode(event)
            first = False
    yield b"]}"
