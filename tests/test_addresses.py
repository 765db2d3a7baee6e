"""A new endpoint at the address of one that has gone: it is never taken for the old one."""

from __future__ import annotations

from dataclasses import replace

from ashvale import interface as api
from ashvale.interface import Outcome, Readiness
from ashvale.lab.stand_ins import Endpoint
from tests.rulebook import Driver
from tests.samples import line, listed, settings
from tests.stage import Scene, scene
from tests.test_rules import message


def replaced(s: Scene, born_ms: float = 0.0) -> Endpoint:
    """An endpoint of destination 2 that discovery tells of at the address of s-1, which stays listed."""
    endpoint = s.endpoint()
    s.start()
    s.until(lambda: s.courier.exchange.listed)
    s.discovery.list("s-9", endpoint, 2, "direct")
    s.discovery.hosts["s-9"]["born_ms"] = born_ms
    s.until(lambda: s.courier.exchange.serves("2"))
    return endpoint


def test_work_for_an_endpoint_that_has_gone_does_not_go_to_the_one_at_its_address() -> None:
    """Guards against calls in the wrong place: its end is told later (issue 59, picture d)."""
    with scene() as s:
        endpoint = replaced(s)
        s.hand_in(dest=1, id="for-1", timeout="1500m")
        s.hand_in(dest=2, id="for-2")
        s.until(lambda: bool(s.discovery.notices))
        assert [notice["id"] for notice in s.discovery.notices] == ["for-1"]
        assert [call.headers["request-id"] for call in endpoint.calls] == ["for-2"]


def test_a_whole_list_that_names_both_has_the_later_one_alone() -> None:
    """Guards against calls in the wrong place where both are listed (issue 59, picture d)."""
    with scene() as s:
        endpoint = replaced(s, born_ms=1e12)
        s.again()  # it begins with a whole list, which names both
        s.until(lambda: s.courier.exchange.listed)
        names = [each.name for each in s.courier.exchange._told_now() if not each.gone]
        assert "s-9" in names and "s-1" not in names and not endpoint.calls


def test_an_endpoint_that_comes_again_for_another_destination_gets_none_of_the_old_work() -> None:
    """Guards against calls in the wrong place where a name comes again (issue 59, picture d)."""
    driver = Driver(settings(forwarders=40))
    driver.feed(listed(line("a")))
    message(driver, 1)
    driver.feed(listed(replace(line("a"), destination=2), how=api.ListKind.DELTA))
    message(driver, 2)
    message(driver, 3, dest=2)
    driver.until(500.0)
    assert [len(driver.owed[number].attempts) for number in (1, 2, 3)] == [1, 0, 1]
    driver.settle(1, 0, Outcome.CONNECT_FAILED)  # the call that was out is still followed
    assert len(driver.owed[1].attempts) == 1
    driver.feed(listed(line("a", 2, ready=Readiness.GONE), how=api.ListKind.DELTA))
    driver.close()
