"""W3C Trace Context (https://www.w3.org/TR/trace-context/, level 1): the two headers, read and written.

It owns the form of `traceparent` and `tracestate`, and the one text that the journal keeps of a message's
trace. It must never raise on what a client sent: what cannot be used counts as absent, and the message has a
trace of its own. It does no I/O; random bytes are an argument.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import Optional

STATE_MOST = 512  # characters of tracestate that are passed on
MEMBERS_MOST = 32  # list members in it
SAMPLED = 1
_PARENT = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?", re.S)
_KEY = re.compile(r"(?:[a-z][a-z0-9_*/-]{0,255}|[a-z0-9][a-z0-9_*/-]{0,240}@[a-z][a-z0-9_*/-]{0,13})\Z")
_VALUE = re.compile(r"[ -+\--<>-~]{0,255}[!-+\--<>-~]\Z")


@dataclass(frozen=True)
class Context:
    """A message's place in a trace: `parent` is the span of whoever called, empty where the trace began here.

    `trace_id` has 32 and `parent` 16 lower-case hexadecimal digits.
    """

    trace_id: str
    parent: str = ""
    sampled: bool = False
    state: str = ""

    def pack(self) -> str:
        """One text without spaces at its ends, as the journal keeps it."""
        return f"{self.trace_id}-{self.parent}-{int(self.sampled)} {self.state}".rstrip()

    @classmethod
    def unpack(cls, text: str) -> Optional[Context]:
        """What `pack` made; None for anything else."""
        head, _, state = text.partition(" ")
        trace_id, _, rest = head.partition("-")
        parent, _, sampled = rest.partition("-")
        if len(trace_id) != 32 or sampled not in ("0", "1"):
            return None
        return cls(trace_id, parent, sampled == "1", state)

    @property
    def span(self) -> str:
        """The span of the courier's own work on the message; made from the trace, so restarts keep it."""
        return _derived(self.trace_id, self.parent)

    def attempt(self, number: int) -> str:
        """The span of one attempt, counted from 1: the same in every life of the process."""
        return _derived(self.trace_id, f"{self.parent}/{number}")

    def header(self, number: int) -> str:
        """`traceparent` for the call that makes this attempt."""
        return f"00-{self.trace_id}-{self.attempt(number)}-{int(self.sampled):02x}"


def _derived(trace_id: str, what: str) -> str:
    digest = hashlib.blake2b(f"{trace_id}/{what}".encode(), digest_size=8).hexdigest()
    return digest if digest.strip("0") else "0" * 15 + "1"


def parse_parent(text: str) -> Optional[Context]:
    """Read `traceparent`; None where it is malformed, or its ids are all nought.

    A version above 00 is read by the form of 00, as the recommendation asks; ff is no version.
    """
    found = _PARENT.fullmatch(text.strip(" \t")) if len(text) <= 512 else None
    if found is None:
        return None
    version, trace_id, parent, flags, more = found.groups()
    if version == "ff" or (version == "00" and more) or not (trace_id.strip("0") and parent.strip("0")):
        return None
    return Context(trace_id, parent, bool(int(flags, 16) & SAMPLED))


def parse_state(text: str) -> str:
    """Read `tracestate`; empty where any member is malformed or named twice, or it is too long to carry."""
    members = [member.strip(" \t") for member in text.split(",")]
    kept = [member for member in members if member]
    keys = set()
    for member in kept:
        key, equals, value = member.partition("=")
        if not equals or key in keys or not _KEY.match(key) or not _VALUE.match(value):
            return ""
        keys.add(key)
    if len(kept) > MEMBERS_MOST:
        return ""
    while len(",".join(kept)) > STATE_MOST:  # whole members go, the last first, as the recommendation asks
        kept.pop()
    return ",".join(kept)


def join(parent: str, state: str, random: bytes) -> Context:
    """The context of a message that came with these headers, or with none; `random` holds 16 bytes."""
    found = parse_parent(parent) if parent else None
    if found is not None:
        return Context(found.trace_id, found.parent, found.sampled, parse_state(state) if state else "")
    fresh = random.hex()
    return Context(fresh if fresh.strip("0") else "0" * 31 + "1")


def batch_headers(contexts: list[tuple[Context, int]]) -> list[tuple[str, str]]:
    """Headers for a call with several messages: each member by its position in the body, counted from 0.

    `traceparent` names one call, so members have headers of their own; the protocol leaves headers free.
    """
    named = [
        (
            "X-Member-Traceparent",
            ", ".join(f"{at};{context.header(number)}" for at, (context, number) in enumerate(contexts)),
        )
    ]
    named += [
        ("X-Member-Tracestate", f"{at};{context.state}")
        for at, (context, _) in enumerate(contexts)
        if context.state
    ]
    return named


def hand_in(text: str, now: float, oldest: float) -> Optional[float]:
    """When a front layer got the message, by its `X-Request-Start`: `t=` and seconds, milliseconds or
    microseconds of Unix time, told by their size. In wall-clock milliseconds; None where it is absent, not
    readable, in the future or more than `oldest` milliseconds back: then it is unknown, and not guessed.
    """
    found = re.fullmatch(r"\s*(?:t=)?(\d{9,17}(?:\.\d{1,9})?)\s*", text)
    if found is None:
        return None
    value = float(found[1])
    value *= 1000.0 if value < 1e11 else 1.0 if value < 1e14 else 0.001
    return value if now - oldest <= value <= now else None
