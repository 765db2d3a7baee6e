"""Scenarios that ship with the laboratory. They own nothing but what they are made of, and draw nothing."""

from __future__ import annotations

from ashvale.lab.run import Message, Partner, Scenario
from ashvale.lab.stand_ins import DROP, STALL, answer

CLASSES = ("usage-record", "rate-update")
_SIX = tuple(Message(20.0 * n, f"m{n}", CLASSES[n % 2], n % 2 + 1) for n in range(6))

SCENARIOS = {
    "short": Scenario(
        (Partner("a", 1, script=(answer(503, b"", retry_after="0.300"),)), Partner("b", 2, script=(DROP,))),
        _SIX,
    ),
    "quiet": Scenario((Partner("a", 1), Partner("b", 2)), _SIX),
    "stall": Scenario((Partner("a", 1, script=(STALL,) * 3), Partner("b", 2)), _SIX),
    "hub": Scenario(
        (Partner("a", 1, "hub", script=(DROP,)), Partner("b", 2, "hub")),
        tuple(Message(float(n // 10), f"m{n}", CLASSES[n % 2], n % 2 + 1) for n in range(40)),
    ),
    "shut": Scenario(
        (Partner("a", 1, script=(answer(503, b"", retry_after="2.000"),) * 12), Partner("b", 2)),
        tuple(Message(50.0 * n, f"m{n}", CLASSES[n % 2], n % 3 // 2 + 1) for n in range(30)),
    ),
    "tight": Scenario(
        (Partner("a", 1, script=(DROP,) * 20),),
        tuple(Message(5.0 * n, f"m{n}", CLASSES[n % 2]) for n in range(40)),
        settings={"limits": {"max_open": 12}},
        disk_mb=0.2,
    ),
}
"""By name: what each shows is in docs/laboratory.md."""
