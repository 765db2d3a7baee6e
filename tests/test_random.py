"""Random legal events: no exception, and no rule broken; a guard taken out is found."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import Phase, given
from hypothesis import settings as budget
from hypothesis import strategies as st

from ashvale import control
from ashvale import interface as api
from ashvale.control import Controller
from ashvale.interface import Outcome
from ashvale.state import Message
from tests.rulebook import Driver, RuleBroken
from tests.samples import CLASSES, line, listed, settings

LINES = [line("a", 1), line("b", 1, zone=1), line("c", 2, kind=1), line("d", 2, kind=1, zone=1), line("e", 3)]
OUTCOMES = [Outcome.OK, Outcome.OK, *[o for o in Outcome if o is not Outcome.MOOT]]

PICK = st.integers(0, 30)
STEP = st.one_of(
    st.tuples(st.just("message"), st.integers(0, len(CLASSES) - 1), st.integers(1, 4), st.integers(0, 2)),
    st.tuples(st.just("settle"), PICK, st.sampled_from(OUTCOMES), st.sampled_from([0, 400, 3000])),
    st.tuples(st.just("settle"), PICK, st.sampled_from(OUTCOMES), st.just(0)),
    st.tuples(st.just("pass"), st.sampled_from([1, 20, 300, 2500]), st.none(), st.none()),
    st.tuples(st.just("list"), PICK, st.sampled_from([*api.Readiness]), st.booleans()),
    st.tuples(st.just("withdraw"), st.integers(0, 30), st.none(), st.none()),
    st.tuples(st.just("probed"), PICK, st.sampled_from([Outcome.OK, Outcome.TIMEOUT]), st.none()),
)
SETUP = st.builds(
    settings,
    slots=st.sampled_from([1, 3, 20]),
    max_open=st.sampled_from([1, 5, 100]),
    max_attempts=st.sampled_from([1, 3, 12]),
    forwarders=st.sampled_from([1, 3]),
    may_probe=st.booleans(),
    may_cancel=st.booleans(),
    must_subscribe=st.booleans(),
    tenants=st.sampled_from([(), (api.Tenant("one", 0.5, 2.0), api.Tenant("two", 0.5, 0.0))]),
)


def play(driver: Driver, steps: list[tuple]) -> None:
    driver.feed(listed(*LINES, how=api.ListKind.CACHED))
    count = 0
    for what, first, second, third in steps:
        if what == "message":
            count += 1
            cls = CLASSES[first]
            driver.feed(api.NewMessage(count, first, second, driver.now + cls.deadline_ms, third % 2, third))
        elif what == "settle" and driver.out():
            message, number, _ = driver.out()[first % len(driver.out())]
            report = {"x0": 0.4, "x1": 3.0} if first % 3 else None
            driver.settle(message, number, second, float(third), report)
        elif what == "pass":
            driver.until(driver.now + first)
        elif what == "list":
            old = LINES[first % len(LINES)]
            news = line(old.target.decode(), old.destination, old.kind, old.zone, second)
            driver.feed(listed(news, how=api.ListKind.DELTA) if third else api.ListKnown(api.ListKind.FAILED))
        elif what == "withdraw" and count:
            message = first % count + 1
            if not driver.owed[message].answered:
                driver.feed(api.Withdrawn(message))
        elif what == "probed" and driver.of(api.Probe):
            driver.feed(api.Probed(LINES[first % len(LINES)].target, second, 40.0))
    driver.close()


@given(SETUP, st.lists(STEP, max_size=40))
@budget(max_examples=150)
def test_rules_hold_on_random_events(setup: api.Settings, steps: list[tuple]) -> None:
    play(Driver(setup), steps)


@given(SETUP, st.lists(STEP, max_size=40))
@budget(max_examples=15)
def test_same_events_same_actions(setup: api.Settings, steps: list[tuple]) -> None:
    one, two, other = Driver(setup, 5), Driver(setup, 5), Driver(setup, 6)
    play(one, steps)
    play(other, steps)
    play(two, steps)
    assert one.log == two.log


@pytest.mark.parametrize(
    ("owner", "guard"),
    [
        (Controller, "_may_send"),
        (control, "may_refuse"),
        (control, "repeat_by"),
        (Controller, "_expire"),
    ],
)
def test_a_guard_taken_out_is_found(owner: object, guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def taken_out(*given: Any) -> float | bool:
        message = next(each for each in given if isinstance(each, Message))
        return 1e18 if guard == "repeat_by" else (guard != "_expire" and not message.done)

    monkeypatch.setattr(owner, guard, taken_out)

    @given(SETUP, st.lists(STEP, min_size=20, max_size=40))
    @budget(max_examples=200, phases=(Phase.generate,), report_multiple_bugs=False)
    def search(setup: api.Settings, steps: list[tuple]) -> None:
        play(Driver(setup), steps)

    with pytest.raises((RuleBroken, BaseExceptionGroup)):
        search()
