"""Endpoints that leave in an outage and come back: what is known of the destination outlasts them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ashvale import interface as api
from ashvale.interface import Effect, Outcome, Readiness
from ashvale.lab.outages import Endpoints, Load, Play, Sign, run
from ashvale.slow_start import ROUTES_MOST
from tests.rulebook import Driver
from tests.samples import line, listed, settings

KINDS = (api.Kind("shared"), api.Kind("apart", routes_apart=True))
SHARED, APART = range(len(KINDS))
PATIENT = api.MessageClass("patient", Effect.SAFE, 1000.0, 90_000.0, 1.0, 0.2)
WARM_UP_MS = 11_000.0
RATE = 30.0  # calls a second that the destination takes
DRAINS, GONE, UNLISTED = "drains", "gone", "left out of the list"
FLEETS = {2: 10.0, 3: 40.0, 6: 10.0, 12: 10.0}  # couriers, and calls a second that the partner takes


def leave(driver: Driver, how: str, kind: int, *names: str) -> None:
    """Endpoints of destination 1 go out of service."""
    if how == UNLISTED:
        driver.feed(listed())
        return
    readiness = Readiness.DRAINING if how == DRAINS else Readiness.GONE
    lines = [line(name, kind=kind, ready=readiness) for name in names]
    driver.feed(listed(*lines, how=api.ListKind.DELTA))


def come_back(driver: Driver, kind: int, *names: str) -> None:
    driver.feed(listed(*(line(name, kind=kind, rate=RATE) for name in names), how=api.ListKind.DELTA))


def serving(kind: int, forwarders: int) -> Driver:
    """A driver with one endpoint to which two calls are out."""
    told = settings(
        classes=(PATIENT,), kinds=KINDS, forwarders=forwarders, warm_up_ms=WARM_UP_MS, listed_rates=True
    )
    driver = Driver(told)
    come_back(driver, kind, "a")
    hand_in(driver, 1, 2)
    assert out(driver) == 2
    return driver


def hand_in(driver: Driver, *numbers: int) -> None:
    for number in numbers:
        driver.feed(api.NewMessage(number, 0, 1, driver.now + PATIENT.deadline_ms))


def out(driver: Driver) -> int:
    return len(driver.out())


def until_one_is_out(driver: Driver) -> None:
    while not out(driver):
        assert driver.now < 60_000.0, "nothing goes any more"
        driver.until(driver.now + 10.0)


def settle(driver: Driver, outcome: Outcome, wait: float = 0.0) -> None:
    """Every attempt that is out ends."""
    for number, attempt, _ in driver.out():
        driver.settle(number, attempt, outcome, wait)


# Guards against review case 8: an endpoint called back was sent to as if its destination had never failed.
@pytest.mark.parametrize("how", (DRAINS, GONE, UNLISTED))
@pytest.mark.parametrize("kind", (SHARED, APART))
@pytest.mark.parametrize("forwarders", (1, 2, 3, 6, 12))
def test_an_endpoint_that_left_out_of_service_comes_back_cold(forwarders: int, kind: int, how: str) -> None:
    driver = serving(kind, forwarders)
    settle(driver, Outcome.CONNECT_FAILED)
    leave(driver, how, kind, "a")
    driver.until(10_000.0)
    hand_in(driver, *range(3, 13))
    come_back(driver, kind, "a")
    until_one_is_out(driver)
    assert out(driver) == 1
    settle(driver, Outcome.OK)
    assert out(driver) <= 1  # it serves, and is cold


# Guards against the same in a warm-up: the destination was held to be warm once its endpoint came back.
@pytest.mark.parametrize("kind", (SHARED, APART))
@pytest.mark.parametrize("forwarders", (2, 6))
def test_a_warm_up_goes_on_where_it_was_and_ends(forwarders: int, kind: int) -> None:
    driver = serving(kind, forwarders)
    settle(driver, Outcome.CONNECT_FAILED)
    driver.until(4000.0)
    until_one_is_out(driver)
    settle(driver, Outcome.OK)
    leave(driver, DRAINS, kind, "a")
    driver.until(driver.now + 1000.0)
    hand_in(driver, *range(3, 13))
    come_back(driver, kind, "a")
    until_one_is_out(driver)
    assert out(driver) == 1
    end = driver.now + WARM_UP_MS
    while driver.now < end:
        settle(driver, Outcome.OK)
        driver.until(driver.now + 100.0)
    settle(driver, Outcome.OK)
    leave(driver, DRAINS, kind, "a")
    assert not driver.controller.dests[1].routes
    come_back(driver, kind, "a")
    hand_in(driver, *range(13, 23))
    assert out(driver) > 1


# Guards a healthy destination against a slow start that nothing asks for.
@pytest.mark.parametrize("kind", (SHARED, APART))
@pytest.mark.parametrize("forwarders", (2, 6))
def test_endpoints_that_never_failed_come_back_warm(forwarders: int, kind: int) -> None:
    driver = serving(kind, forwarders)
    settle(driver, Outcome.OK)
    leave(driver, DRAINS, kind, "a")
    driver.until(5000.0)
    hand_in(driver, *range(3, 13))
    come_back(driver, kind, "a")
    assert out(driver) > 1


# Guards told waits: a route apart that left and came back was sent to while the wait still ran.
def test_a_wait_that_a_route_apart_told_outlasts_its_leaving() -> None:
    driver = serving(APART, 1)
    settle(driver, Outcome.FULL, wait=3000.0)
    leave(driver, DRAINS, APART, "a")
    come_back(driver, APART, "a")
    driver.until(2900.0)
    assert not out(driver)
    until_one_is_out(driver)


# Guards an outage against a delivery from before it that is taken back: it began anew, and seemed short.
@pytest.mark.parametrize("forwarders", (2, 6))
def test_a_delivery_from_before_an_outage_that_is_taken_back_does_not_shorten_it(forwarders: int) -> None:
    driver = serving(SHARED, forwarders)
    driver.settle(1, 0, Outcome.OK)
    driver.until(100.0)
    hand_in(driver, 3)
    driver.settle(3, 0, Outcome.CONNECT_FAILED)
    driver.until(3000.0)
    taken_back = api.TakenBack(b"a", 0.0)
    again = api.NewMessage(4, 0, 1, driver.now + 1000.0, attempts=1, failed=True, taken_back=taken_back)
    driver.feed(again)
    recovery = driver.controller.dests[1].recovery
    assert recovery.failures and recovery.failing_since <= 100.0


def test_what_is_remembered_of_routes_apart_is_bounded() -> None:
    driver = Driver(settings(classes=(PATIENT,), kinds=KINDS))
    names = [f"r{number}" for number in range(2 * ROUTES_MOST)]
    for number, name in enumerate(names, 1):
        come_back(driver, APART, name)
        hand_in(driver, number)
        driver.settle(number, 0, Outcome.CONNECT_FAILED)
        driver.feed(api.Withdrawn(number))
        leave(driver, GONE, APART, name)
    assert list(driver.controller.dests[1].routes) == [name.encode() for name in names[-ROUTES_MOST:]]


# Guards against review case 8 for all couriers together, whatever sign the outage showed.
@pytest.mark.parametrize("sign", Sign, ids=lambda sign: sign.name.lower())
@pytest.mark.parametrize("couriers", FLEETS)
@pytest.mark.parametrize(
    ("change", "routes_apart"),
    (
        (Endpoints.BANNED_OUT, False),
        (Endpoints.RENAMED_OUT, False),
        (Endpoints.UNLISTED_OUT, True),
        (Endpoints.BANNED_RAMP, True),
    ),
)
def test_endpoints_that_leave_and_come_back_have_nobody_push_the_partner_over(
    change: Endpoints, routes_apart: bool, couriers: int, sign: Sign
) -> None:
    play = Play(
        sign,
        couriers,
        endpoints=1,
        change=change,
        load=0.8,
        shape=Load.BACKLOG,
        rate=FLEETS[couriers],
        routes_apart=routes_apart,
    )
    assert not run(play).cold.fell


# Guards against a courier that restarts while an operator's ban holds: the new process knows of no outage.
def test_a_restart_while_endpoints_are_out_of_service_keeps_the_outage() -> None:
    play = Play(
        Sign.ERROR,
        couriers=3,
        endpoints=1,
        change=Endpoints.BANNED_OUT,
        load=0.8,
        shape=Load.BACKLOG,
        rate=40.0,
        restarted=1.0,
    )
    assert [seed for seed in range(1, 7) if run(replace(play, seed=seed)).cold.fell] == []
