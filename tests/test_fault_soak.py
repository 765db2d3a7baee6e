"""A few seeds of the soak; many more are played by hand, see tests/fault_soak.py."""

from __future__ import annotations

import pytest

from tests.fault_soak import play


@pytest.mark.parametrize("seed", [1, 102, 137])
def test_couriers_whose_calls_fail_keep_every_rule_over_signals_in_series(seed: int) -> None:
    """Guards against a crash, a hang, a failed start, a lost request or message, and an end told twice."""
    broken, counts = play(seed)
    assert not broken, "\n".join([counts, *broken])
