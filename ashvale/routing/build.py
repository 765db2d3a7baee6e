"""Router, limits and partners from a set of operators' files that was read and found right.

It owns the translation and must never check anything: what is wrong was told by `ashvale.config.check`. A set
without routes serves each destination by its own partner.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Optional, TypeVar

from immutables import Map

from ashvale.config.check import hours
from ashvale.config.reader import Entry, Loaded
from ashvale.routing.limits import Limit
from ashvale.routing.router import Facts, Route, Router

K = TypeVar("K")
V = TypeVar("V")


@dataclass(frozen=True)
class Plan:
    """An immutable snapshot of what routes and limits say."""

    router: Router
    limits: Map[str, Limit]
    destinations: Map[str, str]  # of partners, by name
    own: Map[tuple[str, str], str]  # limits of networks and partners, by kind and name

    def followed_by(self, plan: Plan) -> Plan:
        """Another plan that shares with this one all that is the same in both."""
        same = plan.router.routes == self.router.routes
        return Plan(
            self.router if same else plan.router,
            _shared(self.limits, plan.limits),
            _shared(self.destinations, plan.destinations),
            _shared(self.own, plan.own),
        )

    def limits_of(self, route: Optional[Route], partner: str, network: str) -> tuple[str, ...]:
        """The limits that a message meets: its network's, its route's and pool's, its partner's."""
        own = (self.own.get(("network", network)), self.own.get(("partner", partner)))
        return tuple(
            dict.fromkeys(name for name in (own[0], *(route.limits if route else ()), own[1]) if name)
        )


def plan(made: Loaded) -> Plan:
    """Translate a set."""
    limits = {
        name: Limit(
            name, entry.amounts.get("rate"), entry.data.at_once, entry.data.held, entry.amounts.get("retries")
        )
        for name, entry in made.entries["limit"].items()
    }
    partners = made.entries["partner"]
    destinations = {name: entry.data.destination or name for name, entry in partners.items()}
    own = {
        (kind, name): entry.data.limit
        for kind in ("network", "partner")
        for name, entry in made.entries[kind].items()
        if entry.data.limit
    }
    routes = [_route(made, entry) for entry in made.routes] or [
        Route(f"partner {name}", destinations=frozenset({destinations[name]}), tiers=(((name, 1),),))
        for name in partners
    ]
    return Plan(Router(routes), Map(limits), Map(destinations), Map(own))


def _shared(old: Map[K, V], new: Map[K, V]) -> Map[K, V]:
    """The new map, as the old one with its changes: entries that stay are not held twice."""
    changed = old.mutate()
    for key in old:
        if key not in new:
            del changed[key]
    for key, value in new.items():
        if key not in old or old[key] != value:
            changed[key] = value
    return changed.finish()


def _route(made: Loaded, entry: Entry) -> Route:
    data = entry.data
    kind, _, name = (data.to or "").partition(" ")
    tiers: tuple[tuple[tuple[str, int], ...], ...] = ()
    spill, limits = frozenset[str](), [data.limit] if data.limit else []
    if kind == "partner":
        tiers = (((name, 1),),)
    elif kind == "pool":
        pool = made.entries["pool"][name].data
        spill = frozenset(pool.spill)
        limits += [pool.limit] if pool.limit else []
        numbers = sorted({member.tier for member in pool.member})
        tiers = tuple(tuple((m.partner, m.weight) for m in pool.member if m.tier == n) for n in numbers)
    spans = [span for text in data.hours if (span := hours(text)) is not None]
    return Route(
        data.name,
        frozenset(data.classes),
        frozenset(data.networks),
        frozenset(data.destinations),
        tuple(data.senders),
        tuple(data.recipients),
        tuple(spans),
        name if kind == "pool" else "",
        tiers,
        spill,
        tuple(limits),
        data.policy or "",
        entry.amounts.get("refuse"),
    )


__all__ = ["Facts", "Plan", "plan"]
