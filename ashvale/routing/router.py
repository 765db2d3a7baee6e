"""The first route that fits a message, found without looking at all of them.

It owns the order of routes and the index over them, and must never change once it is made: another set makes
another router. Routes that share a shape (the same conditions given, of the same kinds) share one hash table,
so a look-up costs one probe a shape, however many routes there are of it. Patterns that are neither a literal
nor `*@domain`, and hours, are checked on what the tables bring.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from fnmatch import translate
from functools import lru_cache
from itertools import product
from typing import Optional

KEYS_MOST = 64  # keys under which one route is entered; past that some conditions are checked instead
DAY = 1440


@dataclass(frozen=True)
class Facts:
    """What is known of a message at the door; `minute` is the minute of the day where the courier stands."""

    cls: str = ""
    network: str = ""
    destination: str = ""
    sender: str = ""
    recipient: str = ""
    minute: int = 0


@dataclass(frozen=True)
class Route:
    """Conditions, all of which must hold; an empty one always does. `tiers` holds partners with weights."""

    name: str
    classes: frozenset[str] = frozenset()
    networks: frozenset[str] = frozenset()
    destinations: frozenset[str] = frozenset()
    senders: tuple[str, ...] = ()
    recipients: tuple[str, ...] = ()
    hours: tuple[tuple[int, int], ...] = ()
    pool: str = ""
    tiers: tuple[tuple[tuple[str, int], ...], ...] = ()
    spill: frozenset[str] = frozenset()
    limits: tuple[str, ...] = ()
    policy: str = ""
    refuse_ms: Optional[float] = None


def in_hours(minute: int, spans: Iterable[tuple[int, int]]) -> bool:
    """Whether a minute lies in any of the spans; one whose end lies before its start goes past midnight."""
    return any(
        start <= minute < end if start < end else minute >= start or minute < end for start, end in spans
    )


@lru_cache(maxsize=4096)
def _pattern(text: str) -> Callable[[str], object]:
    return re.compile(translate(text.lower())).match


def fits_pattern(address: str, patterns: Iterable[str]) -> bool:
    return any(_pattern(pattern)(address.lower()) for pattern in patterns)


def fits(route: Route, facts: Facts) -> bool:
    """Whether all conditions hold: the meaning of a route, which the index only makes quick."""
    return (
        (not route.classes or facts.cls in route.classes)
        and (not route.networks or facts.network in route.networks)
        and (not route.destinations or facts.destination in route.destinations)
        and (not route.senders or fits_pattern(facts.sender, route.senders))
        and (not route.recipients or fits_pattern(facts.recipient, route.recipients))
        and (not route.hours or in_hours(facts.minute, route.hours))
    )


# A condition of a route as the index has it: unconstrained, or texts of one kind.
ANY, EXACT, LITERAL, DOMAIN = "", "=", "a", "@"
Shape = tuple[str, str, str, str, str]
Key = tuple[str, str, str, str, str]


def _kind(patterns: tuple[str, ...]) -> tuple[str, list[str]]:
    """Under which texts patterns can be entered: all literals, all `*@domain`, or none."""
    if not patterns:
        return ANY, [""]
    if not any(char in pattern for pattern in patterns for char in "*?["):
        return LITERAL, [pattern.lower() for pattern in patterns]
    rests = [pattern[2:] for pattern in patterns if pattern.startswith("*@")]
    if len(rests) == len(patterns) and not any(char in rest for rest in rests for char in "*?[@"):
        return DOMAIN, [rest.lower() for rest in rests]
    return ANY, [""]


def _entries(route: Route) -> tuple[Shape, Iterator[Key]]:
    """The shape of a route, and the keys under which it is entered."""
    sets = (route.classes, route.networks, route.destinations)
    parts: list[tuple[str, list[str]]] = [(EXACT, sorted(one)) if one else (ANY, [""]) for one in sets]
    parts += [_kind(route.senders), _kind(route.recipients)]
    while True:
        count = 1
        for _, texts in parts:
            count *= len(texts)
        if count <= KEYS_MOST:
            break
        widest = max(range(5), key=lambda at: len(parts[at][1]))
        if sum(len(texts) > 1 for _, texts in parts) == 1:
            break  # one long list: each text is a key of its own
        parts[widest] = ANY, [""]
    shape = (parts[0][0], parts[1][0], parts[2][0], parts[3][0], parts[4][0])
    keys = ((a, b, c, d, e) for a, b, c, d, e in product(*(texts for _, texts in parts)))
    return shape, keys


@dataclass
class _Table:
    first: int
    keys: dict[Key, list[int]] = field(default_factory=dict)


class Router:
    """Finds the first route that fits."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.routes = tuple(routes)
        tables: dict[Shape, _Table] = {}
        for number, route in enumerate(self.routes):
            shape, keys = _entries(route)
            table = tables.setdefault(shape, _Table(number))
            for key in keys:
                table.keys.setdefault(key, []).append(number)
        self._tables = sorted(tables.items(), key=lambda pair: pair[1].first)

    @property
    def shapes(self) -> int:
        return len(self._tables)

    def find(self, facts: Facts) -> Optional[Route]:
        """The first route that fits, or None."""
        best = len(self.routes)
        sender, recipient = facts.sender.lower(), facts.recipient.lower()
        for shape, table in self._tables:
            if table.first >= best:
                break  # tables stand by their first route: none of the rest can be earlier
            key = (
                facts.cls if shape[0] else "",
                facts.network if shape[1] else "",
                facts.destination if shape[2] else "",
                _text(shape[3], sender),
                _text(shape[4], recipient),
            )
            for number in table.keys.get(key, ()):
                if number >= best:
                    break
                if fits(self.routes[number], facts):
                    best = number
                    break
        return self.routes[best] if best < len(self.routes) else None

    def why(self, facts: Facts) -> list[tuple[str, str]]:
        """For each route up to the one that fits, which condition does not hold: for people, slowly."""
        told = []
        for route in self.routes:
            reason = next(
                (
                    text
                    for held, text in (
                        (not route.classes or facts.cls in route.classes, f"class '{facts.cls}'"),
                        (not route.networks or facts.network in route.networks, f"network '{facts.network}'"),
                        (
                            not route.destinations or facts.destination in route.destinations,
                            f"destination '{facts.destination}'",
                        ),
                        (
                            not route.senders or fits_pattern(facts.sender, route.senders),
                            f"sender '{facts.sender}'",
                        ),
                        (
                            not route.recipients or fits_pattern(facts.recipient, route.recipients),
                            f"recipient '{facts.recipient}'",
                        ),
                        (
                            not route.hours or in_hours(facts.minute, route.hours),
                            f"{facts.minute // 60:02d}:{facts.minute % 60:02d}",
                        ),
                    )
                    if not held
                ),
                "",
            )
            told.append((route.name, reason))
            if not reason:
                break
        return told


def _text(kind: str, address: str) -> str:
    if kind == DOMAIN:
        return address.rpartition("@")[2] if "@" in address else "\0"
    return address if kind == LITERAL else ""
