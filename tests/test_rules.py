"""One scene for each rule, on the module alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ashvale import interface as api
from ashvale.control import Controller
from ashvale.interface import Outcome
from tests.rulebook import Driver
from tests.samples import CLASSES, KEYED, ORDERED, SAFE, UNSAFE, ZONED, line, listed, settings


def started(*lines: api.Listing, **changes: object) -> Driver:
    driver = Driver(settings(**changes))
    driver.feed(listed(*lines))
    return driver


def message(driver: Driver, number: int, cls: api.MessageClass = SAFE, dest: int = 1, key: int = 0) -> None:
    deadline = driver.now + cls.deadline_ms
    driver.feed(api.NewMessage(number, CLASSES.index(cls), dest, deadline, 0, key))


def sends(driver: Driver, number: int) -> int:
    return len(driver.owed[number].attempts)


def test_a_message_without_an_endpoint_is_answered_in_time() -> None:
    driver = started(line("a"))
    message(driver, 1, dest=9)
    driver.close()
    assert [type(a) for a in driver.log if not isinstance(a, api.Wake)] == [api.Refuse]


def test_a_deadline_already_past_is_answered_at_once() -> None:
    driver = started(line("a"))
    driver.now = 5000.0
    driver.feed(api.NewMessage(1, 0, 1, 4999.0))
    assert isinstance(driver.log[-1], api.Refuse)


def test_an_endpoint_that_drains_and_is_listed_again_and_again_delays_no_trial_of_its_kin() -> None:
    """Guards a destination that is out against lists: each pushed its next trial out by another pause."""

    def tried(*more: api.Listing) -> float:
        driver = started(line("a"))
        message(driver, 1)
        driver.settle(1, 0, Outcome.CONNECT_FAILED)
        for at in range(100, 6000, 100):
            driver.until(float(at))
            driver.feed(listed(line("a"), *more))
            if sends(driver, 1) > 1:
                return driver.now
        return driver.now

    assert tried(line("gone", ready=api.Readiness.DRAINING)) == tried() < 5000.0


def test_an_unsafe_message_that_may_have_run_fails_at_once() -> None:
    driver = started(line("a"))
    message(driver, 1, UNSAFE)
    driver.settle(1, 0, Outcome.RESET)
    assert driver.log[-1] == api.Fail(1)


def test_an_unsafe_message_that_never_ran_is_sent_again() -> None:
    driver = started(line("a"))
    message(driver, 1, UNSAFE)
    driver.settle(1, 0, Outcome.FULL)
    driver.until(3000.0)
    assert sends(driver, 1) == 2


def test_a_keyed_message_keeps_its_zone_and_window() -> None:
    driver = started(line("a", kind=1), line("b", kind=1, zone=1))
    message(driver, 1, ZONED)
    first = driver.owed[1].attempts[0].target
    driver.settle(1, 0, Outcome.ERROR)
    driver.close()
    assert {sent.target for sent in driver.owed[1].attempts} == {first}
    assert driver.of(api.Fail) == [api.Fail(1)] and not driver.of(api.Refuse)


def test_a_keyed_message_of_all_endpoints_may_be_refused() -> None:
    driver = started(line("a"), max_attempts=1)
    message(driver, 1, KEYED)
    driver.settle(1, 0, Outcome.TIMEOUT)
    assert any(isinstance(action, api.Refuse) for action in driver.log)


def test_a_draining_endpoint_gets_nothing_new() -> None:
    driver = started(line("a"), line("b"))
    driver.feed(listed(line("a", ready=api.Readiness.DRAINING), how=api.ListKind.DELTA))
    for number in range(1, 4):
        message(driver, number)
    assert {sent.target for n in range(1, 4) for sent in driver.owed[n].attempts} == {b"b"}


def test_what_a_whole_list_leaves_out_is_gone() -> None:
    driver = started(line("a"), line("b"))
    driver.feed(listed(line("b")))
    message(driver, 1)
    assert driver.owed[1].attempts[0].target == b"b"


def test_a_returning_destination_is_not_pushed_over() -> None:
    """A backlog waits out an outage; the load then stays under what the cold destination bears."""
    driver = started(line("a", rate=4.0), listed_rates=True)
    message(driver, 1)
    driver.settle(1, 0, Outcome.CONNECT_FAILED)
    times: list[float] = []
    seen = 0
    while driver.now < 18000.0:
        driver.until(driver.now + 20.0)
        if driver.now == 8000.0:
            for number in range(2, 40):
                message(driver, number, UNSAFE)
        outcome = Outcome.OK if driver.now > 8000.0 else Outcome.CONNECT_FAILED
        seen, fresh = len(driver.log), driver.log[seen:]
        calls = [sent.at for _, _, sent in driver.out()]
        for action in fresh:
            if isinstance(action, api.Probe):
                calls.append(driver.now)
                driver.feed(api.Probed(action.target, outcome, 10.0))
        for number, attempt, _ in driver.out():
            driver.settle(number, attempt, outcome)
        times += calls if outcome is Outcome.OK else []
    assert len(times) > 5
    s = driver.settings
    for at in times:
        grown = min(1.0, (at - times[0]) / s.warm_up_ms)
        bears = 4.0 * (s.cold_share + (1 - s.cold_share) * grown) * s.overload_factor
        pushed = sum(at - s.overload_for_ms < t <= at for t in times)
        assert pushed <= 1 + bears * s.overload_for_ms / 1000  # one for chance


def test_the_trials_of_many_forwarders_keep_the_cold_pace() -> None:
    """Guards against eleven forwarders that each try a dead destination every two seconds."""
    driver = started(line("a", rate=4.0), listed_rates=True, forwarders=11)
    message(driver, 1)
    driver.settle(1, 0, Outcome.CONNECT_FAILED)
    calls = 1
    for number in range(2, 60):
        driver.until(driver.now + 1000.0)
        if number % 5 == 0:
            message(driver, number)
        for out, attempt, _ in driver.out():
            calls += 1
            driver.settle(out, attempt, Outcome.CONNECT_FAILED)
    assert calls <= 15  # every two seconds would be thirty


def test_an_order_key_goes_one_at_a_time_and_settles() -> None:
    driver = started(line("a"), line("b"))
    for number in (1, 2):
        message(driver, number, ORDERED, key=7)
    message(driver, 3, ORDERED, key=8)
    assert (sends(driver, 1), sends(driver, 2), sends(driver, 3)) == (1, 0, 1)
    driver.settle(3, 0, Outcome.OK)
    driver.settle(1, 0, Outcome.RESET)
    assert sends(driver, 2) == 0
    driver.until(driver.settings.order_settle_ms - 1)
    assert sends(driver, 2) == 0
    driver.until(3000.0)
    assert sends(driver, 2) + len(driver.of(api.Probe)) >= 1


def test_an_order_key_settles_behind_a_refusal_that_may_be_another_calls() -> None:
    """Guards the order of a key: a call whose refusal was doubted may still run, and the next one went."""
    driver = started(line("a"), line("b"))
    for number in (1, 2):
        message(driver, number, ORDERED, key=7)
    sent = driver.owed[1].attempts[0]
    driver.feed(api.Settled(1, 0, sent.target, Outcome.FULL, 5.0, False, unproven=True))
    driver.until(sent.until + driver.settings.order_settle_ms - 1)
    assert sends(driver, 2) == 0
    driver.until(sent.until + 10_000.0)
    assert sends(driver, 2) == 1


def test_a_message_that_is_spent_is_not_sent_again_and_ends_at_once_where_it_never_ran() -> None:
    """Guards against bd4465: calls went on after a 504, or after an earlier life had read one."""
    for spent in (False, True):
        driver = started(line("a"))
        driver.feed(api.NewMessage(1, CLASSES.index(SAFE), 1, 6000.0, attempts=int(spent), spent=spent))
        if not spent:
            target = driver.owed[1].attempts[0].target
            driver.feed(api.Settled(1, 0, target, Outcome.MOOT, 5.0, False, spent=True))
        assert [action.message for action in driver.of(api.Refuse)] == [1]
        driver.until(6000.0)
        assert sends(driver, 1) == (0 if spent else 1)


def test_a_message_in_doubt_is_told_its_end_at_its_calls_time_out_and_in_time() -> None:
    """Guards who hears of an end against a call behind it: its own answer had yet to come."""
    driver = started(line("a"))
    message(driver, 1, UNSAFE)
    sent = driver.owed[1].attempts[0]
    driver.feed(api.Settled(1, 0, sent.target, Outcome.FULL, 5.0, False, unproven=True))
    driver.until(sent.until - 1.0)
    assert not driver.of(api.Fail)
    driver.until(sent.until + 1.0)
    assert [action.message for action in driver.of(api.Fail)] == [1]


def test_a_told_wait_holds_the_destination_for_every_message() -> None:
    driver = started(line("a"), line("b"))
    message(driver, 1)
    driver.settle(1, 0, Outcome.FULL, wait=1500.0)
    message(driver, 2)
    driver.until(1499.0)
    assert sends(driver, 1) == 1 and sends(driver, 2) == 0
    driver.until(4500.0)
    assert sends(driver, 1) == 2 and sends(driver, 2) == 1


def test_a_told_wait_on_a_route_apart_leaves_the_others_open() -> None:
    driver = started(line("a", kind=1), line("b", kind=1))
    message(driver, 1)
    first = driver.owed[1].attempts[0].target
    driver.settle(1, 0, Outcome.FULL, wait=1500.0)
    assert sends(driver, 1) == 2 and driver.owed[1].attempts[1].target != first


def test_a_failed_subscription_is_renewed() -> None:
    driver = started(line("a"), must_subscribe=True)
    driver.feed(api.ListKnown(api.ListKind.FAILED))
    driver.until(1000.0)
    assert len(driver.of(api.Subscribe)) == 2


def test_odd_events_do_no_harm() -> None:
    driver = started(line("a"))
    message(driver, 1)
    driver.settle(1, 0, Outcome.OK)
    odd: tuple[api.Event, ...] = (
        api.Withdrawn(1),
        api.Withdrawn(99),
        api.Timer(12345),
        api.Note(2, b"x"),
        api.Started(77, 0),
        api.Settled(1, 0, b"a", Outcome.OK, 1.0, True),
        api.Probed(b"zz", Outcome.OK, 1.0),
        listed(line("a")),
    )
    for event in odd:
        driver.feed(event)
    assert len(driver.of(api.Send)) == 1


def test_what_is_shed_belongs_to_the_crowded_destination() -> None:
    """Guards messages for sound destinations against a crowd for another that fills the holding limit."""
    driver = started(line("a", 1, rate=0.5), line("b", 2, rate=0.5), listed_rates=True, max_open=12)
    for number in range(1, 10):
        message(driver, number, KEYED, dest=1)
    for number in range(10, 13):
        message(driver, number, KEYED, dest=2)
    refused = [action.message for action in driver.log if isinstance(action, api.Refuse)]
    assert refused and max(refused) < 10


def test_a_hang_noticed_late_is_an_outage() -> None:
    """Guards fail-back: the trouble began when the failed call was sent, not when it was noticed."""
    driver = started(line("a"))
    message(driver, 1)
    driver.now = 4000.0
    driver.settle(1, 0, Outcome.TIMEOUT)
    driver.until(4400.0)
    number, attempt, _ = driver.out()[0]
    driver.settle(number, attempt, Outcome.OK)
    assert driver.controller.endpoints[b"a"].ramp_from == driver.now


def first_call(driver: Driver) -> None:
    """Let time pass until a call is out."""
    for _ in range(2000):
        if driver.out():
            return
        driver.until(driver.now + 5.0)
    raise AssertionError("no call in 10 s")


@pytest.mark.parametrize("forwarders", [1, 2, 30])
def test_a_call_sent_before_a_destination_shut_does_not_end_its_outage(forwarders: int) -> None:
    """Guards review case 4: one that had been taken ended well behind a refusal that told a long wait."""
    lines = line("a", rate=60.0), line("b", rate=60.0)
    driver = started(*lines, forwarders=forwarders, warm_up_ms=11_000.0, cold_share=0.19, listed_rates=True)
    message(driver, 1)
    driver.now = 50.0
    message(driver, 2, KEYED)
    driver.now = 100.0
    driver.settle(2, 0, Outcome.FULL, wait=9000.0)
    driver.now = 180.0
    driver.settle(1, 0, Outcome.OK)
    driver.until(9000.0)
    for number in range(10, 30):
        message(driver, number, KEYED)
    first_call(driver)
    ((number, attempt, _),) = driver.out()  # a trial, and not all that waits
    driver.settle(number, attempt, Outcome.OK)
    recovery = driver.controller.dests[1].recovery
    ramps = [endpoint.ramp_from for endpoint in driver.controller.endpoints.values()]
    assert recovery.warm_from == driver.now if forwarders > 4 else max(ramps) == driver.now


@pytest.mark.parametrize("forwarders", [1, 2, 30])
def test_a_long_wait_that_another_process_was_told_is_an_outage(forwarders: int) -> None:
    """Guards fail-back as in review case 4 in an upgrade: the newcomer knows the outage by the wait alone."""
    partner = line("a", rate=60.0)
    driver = started(partner, forwarders=forwarders, warm_up_ms=11_000.0, cold_share=0.19, listed_rates=True)
    told = replace(partner, silent_until=9000.0)
    driver.feed(listed(told, how=api.ListKind.DELTA))
    driver.until(8000.0)
    for number in range(10, 30):
        message(driver, number, KEYED)
    first_call(driver)
    assert len(driver.out()) == 1 and driver.now > 9000.0


def test_a_newcomer_shares_the_trouble_of_its_kin() -> None:
    """Guards a returning destination: what waits must not jump onto an endpoint listed just then."""
    driver = started(line("a"), forwarders=40)
    message(driver, 1, KEYED)
    driver.now = 6000.0
    driver.settle(1, 0, Outcome.CONNECT_FAILED)
    driver.feed(listed(line("b"), how=api.ListKind.DELTA))
    assert driver.controller.endpoints[b"b"].out_since is not None
    assert not driver.out()


def probes_in(seconds: float, *names: str, seed: int) -> list[float]:
    """When one of forty couriers probes a partner whose endpoints fail and whose probes fail as well."""
    driver = Driver(settings(forwarders=40), seed)
    driver.feed(listed(*(line(name) for name in names)))
    for number in (1, 2):
        message(driver, number, UNSAFE)
    for number, attempt, _ in driver.out():
        driver.settle(number, attempt, Outcome.CONNECT_FAILED)
    asked: list[float] = []
    while driver.now < seconds * 1000.0:
        driver.until(driver.now + 20.0)
        for probe in driver.of(api.Probe)[len(asked) :]:
            asked.append(driver.now)
            driver.feed(api.Probed(probe.target, Outcome.CONNECT_FAILED, 1.0))
    return asked


def test_one_trial_at_a_time_for_endpoints_that_share_a_limit() -> None:
    """Guards a returning destination against probes that each of its endpoints draws from each forwarder."""
    one = [probes_in(12.0, "a", seed=seed) for seed in range(200)]
    two = [probes_in(12.0, "a", "b", seed=seed) for seed in range(200)]
    assert 0 < sum(map(len, two)) <= 1.2 * sum(map(len, one))
    assert max(map(len, two)) <= max(map(len, one)) + 1


def test_what_an_earlier_life_sent_counts_for_limit_and_window() -> None:
    """Guards rule two across a restart: attempts and the first that may have run come with the message."""
    for attempts, ran_at, cls, sent, last in (
        (5, None, SAFE, 0, api.Refuse),
        (4, None, SAFE, 1, api.Send),
        (1, -5000.0, KEYED, 0, api.Refuse),
        (1, -1000.0, KEYED, 1, api.Send),
        (1, -1000.0, UNSAFE, 0, api.Fail),
        (1, None, UNSAFE, 1, api.Send),
    ):
        controller = Driver(settings()).controller
        controller.handle(listed(line("a")), 0.0)
        actions = controller.handle(
            api.NewMessage(1, CLASSES.index(cls), 1, 12000.0, attempts=attempts, ran_at=ran_at), 0.0
        )
        told = [action for action in actions if not isinstance(action, api.Wake)]
        assert [type(action) for action in told] == [last], (attempts, ran_at, cls.name)
        assert len([a for a in told if isinstance(a, api.Send)]) == sent


def test_nothing_begins_once_the_process_is_closing() -> None:
    driver = started(line("a"))
    driver.feed(api.Closing(100.0))
    message(driver, 1)
    driver.settle(1, 0, Outcome.FULL)
    driver.until(500.0)
    message(driver, 2)
    assert (sends(driver, 1), sends(driver, 2)) == (1, 0)


def test_what_a_wait_holds_beyond_its_time_is_answered_at_once_with_the_wait() -> None:
    """Guards clients against silence: held until its time is up, a message could not be handed in again."""
    driver = started(line("a"), line("b"))
    message(driver, 1)
    message(driver, 2, SAFE)
    message(driver, 3, KEYED)
    driver.settle(1, 0, Outcome.FULL, wait=8000.0)
    driver.settle(2, 0, Outcome.FULL, wait=1.0)
    refused = {a.message: a.backoff_ms for a in driver.log if isinstance(a, api.Refuse)}
    assert refused == {1: 2000.0, 2: 2000.0} and driver.now == 0.0
    message(driver, 4)  # one that comes while the wait runs is answered as soon
    assert isinstance(driver.log[-1], api.Refuse) and driver.log[-1].message == 4
    driver.close()


def test_a_pause_that_outlasts_the_window_is_no_reason_to_hold_a_message() -> None:
    driver = started(line("a"))
    message(driver, 1, KEYED)
    driver.now = 4700.0  # the window ends at 4750, and the pause takes at least 225
    driver.settle(1, 0, Outcome.ERROR)
    assert driver.of(api.Refuse) and driver.now == 4700.0


def test_where_nothing_may_be_probed_an_unsafe_message_is_its_own_trial() -> None:
    """Guards a destination that only unsafe messages are bound for against being given up for ever."""
    driver = started(line("a"), may_probe=False)
    message(driver, 1, UNSAFE)
    driver.settle(1, 0, Outcome.CONNECT_FAILED)
    driver.until(5000.0)
    assert sends(driver, 1) == 2 and not driver.of(api.Probe)


def test_what_a_limit_cannot_serve_in_time_is_answered_when_it_comes() -> None:
    """Guards clients against a queue that is held until its time is up, when no other try is of use."""
    driver = started(line("a", rate=1.0), listed_rates=True)  # two calls in a window of two seconds
    for number in range(1, 21):
        message(driver, number)
    refused = [a.message for a in driver.log if isinstance(a, api.Refuse)]
    waiting = [n for n, owed in driver.owed.items() if not (owed.answered or owed.attempts)]
    assert driver.now == 0.0 and len(waiting) == 6 and len(refused) == 12  # six seconds serve six
    driver.close()


def test_what_a_restart_finds_untried_gives_nothing_up_however_much_it_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards a start: room is made for new messages alone, and each look goes over all that is held."""
    looks = list[int]()
    monkeypatch.setattr(Controller, "_give_up_least", lambda *_told: looks.append(1))
    driver = Driver(settings(max_open=5))
    for number in range(1, 41):
        driver.feed(api.NewMessage(number, CLASSES.index(SAFE), number % 7, 60_000.0, kept=True))
    assert not looks and len(driver.controller.messages) == 40
    driver.feed(api.NewMessage(41, CLASSES.index(SAFE), 1, 60_000.0))
    assert looks
