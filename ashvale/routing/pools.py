"""The partner within a pool: tiers, weights and spill.

It owns the choice of a partner for a message, and must never know an endpoint. The choice is weighted
rendezvous hashing (Thaler and Ravishankar 1998; the weighted form of Resch 2015): the same message has the
same partner after a restart and in every courier, and a partner that comes or goes moves only its own share.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional

from ashvale.routing.router import Route

STATES = FULL, SHUT, WAITING = "full", "shut", "waiting"
StateOf = Callable[[str], str]


@dataclass(frozen=True)
class Choice:
    """A partner, the tier that it was found in (from 1), and what each tier above was passed over for."""

    partner: str
    tier: int
    passed: tuple[str, ...] = ()


def score(message: str, partner: str, weight: int) -> float:
    """How much a message wants a partner; the largest has it. Weight 0 never does."""
    if weight <= 0:
        return 0.0
    digest = hashlib.blake2b(f"{message}\0{partner}".encode(), digest_size=8).digest()
    share = (int.from_bytes(digest, "big") + 0.5) / 2.0**64
    return -weight / math.log(share)


def choose(route: Route, message: str, state: StateOf) -> Optional[Choice]:
    """The partner for a message; `state` says of one `full`, `shut`, `waiting`, or nothing.

    A partner whose state the route spills for is passed over, and the next tier is asked when all of a tier's
    are. Where every tier is passed over the first keeps it: what waits there is the decision module's
    to hold, try or turn away. None where the route has no partner with a weight.
    """
    passed: list[str] = []
    first: Optional[Choice] = None
    for number, tier in enumerate(route.tiers, 1):
        weighed = [(name, weight) for name, weight in tier if weight > 0]
        if not weighed:
            continue
        states = {name: state(name) for name, _ in weighed}
        able = [(name, weight) for name, weight in weighed if states[name] not in route.spill]
        if first is None:
            first = Choice(_best(message, weighed), number)
        if able:
            return Choice(_best(message, able), number, tuple(passed))
        passed.append(", ".join(f"{name} {what}" for name, what in states.items()))
    return first


def _best(message: str, partners: list[tuple[str, int]]) -> str:
    return max(partners, key=lambda pair: (score(message, *pair), pair[0]))[0]
