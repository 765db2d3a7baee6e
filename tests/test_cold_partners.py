"""What all couriers together send to a partner that comes back cold, in virtual time with seeds.

A partner falls over when it gets more than N + 2 x root of N + 2 calls within `overload_for_ms`, N being what
the settings allow it then. benchmarks/cold_partners.py plays the same with more seeds.
"""

from __future__ import annotations

import pytest

from ashvale.lab.partner import Arrival, SharedPartner, cold_load, time_to_share

OUTAGE_MS = 10_000.0, 20_000.0
SEEDS = (1, 2, 3)


def after_outage(couriers: int, limit: int, load: float, seed: int, until: float) -> SharedPartner:
    partner = SharedPartner(couriers, limit, load, seed)
    partner.outage = OUTAGE_MS
    partner.run(until)
    return partner


@pytest.mark.parametrize("couriers", (1, 3, 20, 30, 100))
@pytest.mark.parametrize("limit", (6, 80))
@pytest.mark.parametrize("load", (0.8, 1.5))
def test_all_couriers_together_do_not_push_a_cold_partner_over(
    couriers: int, limit: int, load: float
) -> None:
    for seed in SEEDS:
        judged = cold_load(after_outage(couriers, limit, load, seed, 30_000.0))
        assert judged.most <= 1.0, seed
        assert not judged.fell


@pytest.mark.parametrize(("couriers", "limit"), ((3, 6), (20, 6), (3, 80), (30, 80), (100, 80)))
def test_a_partner_is_not_left_cold_for_lack_of_trials(couriers: int, limit: int) -> None:
    for seed in SEEDS:
        partner = after_outage(couriers, limit, 0.8, seed, 50_000.0)
        assert time_to_share(partner, OUTAGE_MS[1], 0.7) <= 20_000.0


def test_the_judge_tells_who_pushed_a_partner_over() -> None:
    """A fall counts only where over two thirds of the calls came from couriers that had seen the outage."""
    partner = SharedPartner(3, 6, 0.8, 1)
    partner.outage = OUTAGE_MS
    for saw, fell in ((True, True), (False, False)):
        partner.arrivals = [Arrival(20_000.0 + 10.0 * call, 0, saw) for call in range(8)]
        assert cold_load(partner).fell is fell
