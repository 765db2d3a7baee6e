"""What a message is worth beyond its tenant's share: a leaky bucket for each tenant. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass

from ashvale import interface as api

BURST_S = 2.0  # seconds of its share that a tenant may send at once


@dataclass
class Bucket:
    """How much of its share a tenant has used up, when it last sent."""

    level: float = 0.0  # messages
    at: float = 0.0


class TenantShares:
    """One forwarder's part of each tenant's share."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self._buckets = [Bucket() for _ in settings.tenants]

    def configure(self, settings: api.Settings) -> None:
        """Take other settings over; tenants that they still name keep their buckets."""
        names = [tenant.name for tenant in self._settings.tenants]
        known = dict(zip(names, self._buckets, strict=True))
        self._settings = settings
        self._buckets = [known.get(tenant.name, Bucket()) for tenant in settings.tenants]

    def weigh(self, tenant: int, now: float) -> float:
        """Take a message in; return 1, or what one is worth beyond the share."""
        settings = self._settings
        if tenant >= len(settings.tenants):
            return 1.0
        rate = settings.tenants[tenant].quota_per_s / settings.forwarders
        if rate <= 0:
            return 1.0
        bucket = self._buckets[tenant]
        level = max(0.0, bucket.level - rate * (now - bucket.at) / 1000.0)
        over = level > BURST_S * rate + 1.0
        bucket.level, bucket.at = level if over else level + 1.0, now
        return settings.over_share_worth if over else 1.0
