"""Search: scenarios drawn from a seed, played, and shrunk to what still breaks the same rule.

It owns what is drawn and how a scenario gets smaller. Each part of a scenario draws from a stream of its own,
named after it, so that one more trouble leaves partners and messages as they were. It must never draw from
anything but the seed. Shrinking is greedy: it leaves out what can be left out, halves first.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from ashvale.lab.disk import FAULTS
from ashvale.lab.judge import Broken
from ashvale.lab.run import Message, Partner, Rehearsal, Scenario, Trouble, play
from ashvale.lab.scenarios import CLASSES
from ashvale.lab.stand_ins import DROP, STALL, answer

ACTIONS: tuple[bytes | str, ...] = (
    DROP,
    STALL,
    answer(500),
    answer(503),
    answer(503, b"", retry_after="0.400"),
    answer(503, b"", retry_after="3.000"),
    answer(404),
    b"HTTP/1.1 200 so\r\nContent-",
    b"nonsense\r\n\r\n",
)
TROUBLES = (
    Rehearsal.kill,
    Rehearsal.leave,
    Rehearsal.drain,
    Rehearsal.deaf,
    Rehearsal.moved,
    Rehearsal.silent,
)
SHRINKS_MOST = 400


def stream(seed: int, name: str) -> random.Random:
    """The random numbers of one part of a scenario; those of other parts do not move them."""
    return random.Random(f"{seed}/{name}")


def _took(seed: int, name: str, usual: float) -> Callable[[], float]:
    """Times of calls: mostly usual, now and then long; from the start again in each run."""
    draws = stream(seed, name)
    return lambda: usual * (draws.uniform(0.8, 1.3) if draws.random() < 0.95 else draws.uniform(3.0, 40.0))


def draw(seed: int) -> Scenario:
    """A scenario; the same for the same seed."""
    shape = stream(seed, "shape")
    blocks = shape.randint(1, 3)
    partners = []
    for block in range(1, blocks + 1):
        draws = stream(seed, f"partner {block}")
        kind, usual = draws.choice(("hub", "direct")), draws.choice((5.0, 60.0, 180.0))
        for number in range(draws.randint(1, 3)):
            name = f"p{block}-{number}"
            script = tuple(draws.choice(ACTIONS) for _ in range(draws.choice((0, 2, 6, 20))))
            partners.append(Partner(name, block, kind, script, _took(seed, name, usual)))
    times = stream(seed, "messages")
    pace, at, messages = times.choice((2.0, 20.0, 120.0)), 0.0, []
    for number in range(times.choice((3, 12, 40))):
        at += times.expovariate(1.0 / pace)
        messages.append(
            Message(
                at,
                f"m{number}",
                times.choice(CLASSES),
                times.randint(1, blocks),
                times.choice((1500.0, 9000.0, 16000.0, 28000.0)),
            )
        )
    draws = stream(seed, "troubles")
    troubles = []
    for _ in range(draws.choice((0, 1, 1, 2, 4))):
        what = draws.choice(TROUBLES)
        by_call = draws.random() < 0.5
        after = draws.choice((0.0, 0.3, 10.0, 300.0))
        troubles.append(
            Trouble(
                what, after if by_call else draws.uniform(0, 4000.0), draws.randint(1, 12) if by_call else 0
            )
        )
    draws = stream(seed, "disk")
    faults = {draws.randint(1, 120): draws.choice(FAULTS) for _ in range(draws.choice((0, 0, 1, 3)))}
    return Scenario(
        tuple(partners),
        tuple(messages),
        tuple(troubles),
        faults,
        {
            "limits": {
                "max_open": stream(seed, "limits").choice((4, 50)),
                "connect_timeout_ms": stream(seed, "connect").choice((1000.0, 1500.0)),
            }
        },
        stream(seed, "room").choice((0.2, 3.0)),
    )


@dataclass(frozen=True)
class Found:
    """A scenario that breaks a rule, as small as it got."""

    seed: int
    broken: Broken
    scenario: Scenario
    tries: int


def _rules(scenario: Scenario) -> dict[str, Broken]:
    return {broken.rule.partition(":")[0]: broken for broken in reversed(play(scenario).broken)}


def _smaller(scenario: Scenario) -> Iterator[Scenario]:
    """Scenarios with something left out, large parts first."""
    for name in ("messages", "troubles", "partners"):
        parts = getattr(scenario, name)
        size = max(1, len(parts) // 2)
        while size >= 1 and parts:
            for start in range(0, len(parts), size):
                left = parts[:start] + parts[start + size :]
                if left or name == "troubles":
                    yield replace(scenario, **{name: left})
            size //= 2
    for call in scenario.faults:
        yield replace(scenario, faults={c: fault for c, fault in scenario.faults.items() if c != call})
    for number, partner in enumerate(scenario.partners):
        scripts = ((), partner.script[: len(partner.script) // 2], partner.script[:-1])
        plainer = [replace(partner, script=script) for script in scripts if len(script) < len(partner.script)]
        if partner.took() != 20.0:
            plainer.append(replace(partner, took=lambda: 20.0))
        for one in plainer:
            others = scenario.partners
            yield replace(scenario, partners=(*others[:number], one, *others[number + 1 :]))


def hunt(seed: int) -> Found | None:
    """Play the scenario of a seed; what breaks a rule is shrunk."""
    scenario = draw(seed)
    rules = _rules(scenario)
    if not rules:
        return None
    rule, broken = next(iter(rules.items()))
    tries, again = 0, True
    while again and tries < SHRINKS_MOST:
        again = False
        for smaller in _smaller(scenario):
            tries += 1
            if (still := _rules(smaller).get(rule)) is not None:
                scenario, broken, again = smaller, still, True
                break
            if tries >= SHRINKS_MOST:
                break
    return Found(seed, broken, scenario, tries)
