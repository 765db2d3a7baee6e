"""Settings that tests share. Figures are round ones of no deployment."""

from __future__ import annotations

from typing import Any

from ashvale import interface as api
from ashvale.interface import Effect

SAFE = api.MessageClass("safe", Effect.SAFE, 1000.0, 6000.0, 1.0, 0.2)
KEYED = api.MessageClass("keyed", Effect.KEYED, 2000.0, 12000.0, 1.0, 0.4, "all", 5000.0)
ZONED = api.MessageClass("zoned", Effect.KEYED, 2000.0, 12000.0, 1.0, 0.4, "zone", 5000.0)
UNSAFE = api.MessageClass("unsafe", Effect.UNSAFE, 2000.0, 15000.0, 3.0, 0.5)
ORDERED = api.MessageClass("ordered", Effect.UNSAFE, 2000.0, 15000.0, 2.0, 0.5, in_order=True)
CLASSES = (SAFE, KEYED, ZONED, UNSAFE, ORDERED)
KINDS = (api.Kind("shared"), api.Kind("apart", per_call=5, routes_apart=True))


def settings(**changes: Any) -> api.Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": KINDS,
        "slots": 8,
        "max_open": 50,
        "max_attempts": 5,
        "max_backoff_ms": 2000.0,
        "may_probe": True,
        "may_cancel": True,
        "drain_grace_ms": 0.0,
        "order_settle_ms": 300.0,
        "zone_fees": (0.0, 0.02),
        "zones": ("near", "far"),
        "over_share_worth": 0.1,
    }
    return api.Settings(**{**values, **changes})


def line(
    name: str,
    dest: int = 1,
    kind: int = 0,
    zone: int = 0,
    ready: api.Readiness = api.Readiness.READY,
    rate: float = 0.0,
) -> api.Listing:
    return api.Listing(name.encode(), dest, kind, zone, ready, rate)


def listed(*lines: api.Listing, how: api.ListKind = api.ListKind.FULL) -> api.ListKnown:
    return api.ListKnown(how, 1, lines)
