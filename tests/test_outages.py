"""What many couriers together send to a partner that comes back, by the sign of its outage, in virtual time.

benchmarks/outages.py prints the same plays with more seeds and rows.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from ashvale.lab.outages import Endpoints, Load, Play, Rate, Sign, run

SEEDS = range(1, 7)
SHAPES = {
    "two-endpoints": Play(),
    "one-endpoint": Play(endpoints=1),
    "twelve-endpoints": Play(endpoints=12),
    "replaced-while-out": Play(endpoints=4, change=Endpoints.REPLACED_OUT),
    "replaced-while-warming": Play(endpoints=4, change=Endpoints.REPLACED_RAMP),
    "backlog": Play(shape=Load.BACKLOG),
    "uneven": Play(shape=Load.UNEVEN),
    "batches": Play(shape=Load.BATCHES),
    "unlisted": Play(told=Rate.UNLISTED),
    "listed-too-high": Play(told=Rate.HIGH),
    "six-couriers": Play(couriers=6),
    "two-hundred-couriers": Play(couriers=200, rate=22.0),
    "half-restart": Play(restarted=0.5),
    "soon-after-the-start": Play(quiet_ms=2000.0),
}


# Guards against incident 5290f7: what was sent to a partner that is back hung on how its outage had shown.
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("sign", Sign, ids=lambda sign: sign.name.lower())
def test_no_sign_of_an_outage_has_couriers_push_the_partner_over(sign: Sign, shape: str) -> None:
    play = replace(SHAPES[shape], sign=sign)
    assert [seed for seed in SEEDS if run(replace(play, seed=seed)).cold.fell] == []


# Guards against an outage that ends for few couriers, or on routes apart, by deliveries that are taken back.
@pytest.mark.parametrize("shape", (Load.EVEN, Load.BACKLOG))
@pytest.mark.parametrize("routes_apart", (False, True))
@pytest.mark.parametrize(("couriers", "rate"), ((2, 10.0), (3, 40.0), (4, 10.0), (6, 10.0), (12, 10.0)))
def test_a_delivery_that_is_taken_back_ends_no_outage(
    couriers: int, rate: float, routes_apart: bool, shape: Load
) -> None:
    play = Play(
        Sign.PRESUMED,
        couriers,
        endpoints=1,
        load=0.8,
        shape=shape,
        rate=rate,
        routes_apart=routes_apart,
    )
    assert [seed for seed in SEEDS if run(replace(play, seed=seed)).cold.fell] == []
