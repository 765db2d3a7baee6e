"""What 36 real couriers send to partners that come back from an outage, by how the outage showed.

One play of 21 s holds all partners; see tests/cold_fleet.py.
"""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.cold_fleet import Case, Fleet, Sign, fleet

SEED = 1
CASES = [Case(sign) for sign in Sign] + [Case(sign, endpoints=4, backlog=2.0) for sign in Sign]


@pytest.fixture(scope="module")
def played() -> Iterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder, fleet(Path(folder), CASES, SEED) as made:
        made.play()
        yield made


# Guards against incident 5290f7: couriers that had seen an outage pushed the partner over when it was back.
@pytest.mark.parametrize("place", range(len(CASES)), ids=map(str, CASES))
def test_couriers_that_saw_an_outage_do_not_push_the_partner_over_when_it_is_back(
    played: Fleet, place: int
) -> None:
    judged = played.judge(played.partners[place])
    assert not judged.fell, judged
