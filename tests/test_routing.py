"""Routes, pools and limits: the index against the plain meaning, weights, spill, budgets, and swaps."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashvale.config import check
from ashvale.routing.build import plan
from ashvale.routing.limits import BUDGET_MS, FOREVER, RESERVE_PER_S, Limit, Limits, Meter
from ashvale.routing.pools import choose
from ashvale.routing.router import DAY, Facts, Route, Router, fits, in_hours
from tests.test_config_language import read

words = st.sampled_from(["a", "b", "c"])
patterns = st.sampled_from(
    [
        "x@a.example",
        "X@A.example",
        "*@a.example",
        "*@b.example",
        "*",
        "y*@*",
        "?@a.example",
        "*@*.example",
        "[xy]@b.example",
    ]
)
addresses = st.sampled_from(["x@a.example", "y@b.example", "yy@c.example", "", "x", "Y@B.EXAMPLE"])
minutes = st.integers(0, DAY)
spans = st.lists(st.tuples(minutes, minutes).filter(lambda s: s[0] != s[1]), max_size=2)
routes = st.builds(
    Route,
    st.just("r"),
    st.frozensets(words, max_size=2),
    st.frozensets(words, max_size=2),
    st.frozensets(words, max_size=3),
    st.lists(patterns, max_size=2).map(tuple),
    st.lists(patterns, max_size=2).map(tuple),
    spans.map(tuple),
)
facts = st.builds(Facts, words, words, words, addresses, addresses, st.integers(0, DAY - 1))


@given(st.lists(routes, max_size=12), st.lists(facts, min_size=1, max_size=6))
def test_the_index_finds_what_the_plain_rules_find(made: list[Route], messages: list[Facts]) -> None:
    numbered = [Route(**{**vars(route), "name": str(n)}) for n, route in enumerate(made)]
    router = Router(numbered)
    for message in messages:
        slow = next((route for route in numbered if fits(route, message)), None)
        assert router.find(message) is slow
        told = router.why(message)
        assert (told[-1] == (slow.name, "")) if slow else all(reason for _, reason in told)


def test_wide_conditions_are_entered_under_a_bounded_number_of_keys() -> None:
    many = frozenset(map(str, range(400)))
    router = Router([Route("wide", many, many, many), Route("long", destinations=many), Route("rest")])
    assert sum(len(table.keys) for _, table in router._tables) <= 400 + 400 + 1
    for cls, dest, name in (("5", "7", "wide"), ("x", "7", "long"), ("x", "y", "rest")):
        found = router.find(Facts(cls, "5", dest))
        assert found is not None and found.name == name


def test_routes_of_one_shape_cost_one_probe() -> None:
    router = Router(
        [
            Route(f"r{n}", destinations=frozenset({str(n)}), recipients=(f"*@d{n}.example",))
            for n in range(5000)
        ]
        + [Route("rest")]
    )
    assert router.shapes == 2
    found = router.find(Facts(destination="4321", recipient="u@d4321.example"))
    assert found is not None and found.name == "r4321"
    assert router.find(Facts(destination="4321", recipient="u@d1.example")) is router.routes[-1]


@pytest.mark.parametrize(
    ("minute", "spans_", "inside"),
    [
        (480, ((480, 1200),), True),
        (1200, ((480, 1200),), False),
        (1380, ((1320, 360),), True),
        (359, ((1320, 360),), True),
        (360, ((1320, 360),), False),
        (1439, ((1080, 1440),), True),
        (0, ((1080, 1440),), False),
        (5, ((60, 120), (0, 10)), True),
    ],
)
def test_hours(minute: int, spans_: tuple[tuple[int, int], ...], inside: bool) -> None:
    assert in_hours(minute, spans_) is inside


conditions = st.fixed_dictionaries(
    {},
    optional={
        "classes": st.lists(words, min_size=1, max_size=2, unique=True),
        "destinations": st.lists(words, min_size=1, max_size=2, unique=True),
        "recipients": st.lists(patterns, min_size=1, max_size=2, unique=True),
    },
)


@given(st.lists(conditions, max_size=8))
def test_shadowed_routes_are_found_as_by_comparing_all(made: list[dict[str, list[str]]]) -> None:
    text = "".join(f'[class.{c}]\nrepeat = "safe"\ndeadline = "1 s"\n' for c in "abc") + "".join(
        f'[[route]]\nname = "r{n}"\nrefuse = "1 s"\n' + "".join(f"{k} = {v}\n" for k, v in route.items())
        for n, route in enumerate(made)
    )
    loaded, found = read({"main.toml": text.encode()})
    slow = [
        r.place
        for n, r in enumerate(loaded.routes)
        if any(
            all(check._covers(earlier, r, key) for key in check.CONDITIONS) for earlier in loaded.routes[:n]
        )
    ]
    assert [m.place for m in found if m.code == "E0161"] == slow


# Pools

POOL = Route(
    "r",
    pool="p",
    tiers=((("a", 3), ("b", 1)), (("c", 1), ("z", 0)), (("d", 1),)),
    spill=frozenset({"shut", "full"}),
)


def counts(state: dict[str, str], route: Route = POOL, most: int = 4000) -> Counter[str]:
    found = (choose(route, f"m{n}", lambda name: state.get(name, "")) for n in range(most))
    return Counter(choice.partner for choice in found if choice)


def test_weights_share_a_tier_and_only_the_share_of_one_that_goes_moves() -> None:
    both = counts({})
    assert both.keys() == {"a", "b"} and 0.72 < both["a"] / 4000 < 0.78
    for n in range(500):
        before = choose(POOL, f"m{n}", lambda name: "")
        after = choose(POOL, f"m{n}", lambda name: "shut" if name == "b" else "")
        assert before and after and (before.partner == after.partner or before.partner == "b")


@pytest.mark.parametrize(
    ("state", "partners", "tier"),
    [
        ({"a": "shut"}, {"b"}, 1),
        ({"a": "shut", "b": "full"}, {"c"}, 2),
        ({"a": "waiting", "b": "waiting"}, {"a", "b"}, 1),  # the pool does not spill for a wait
        ({"a": "shut", "b": "shut", "c": "full"}, {"d"}, 3),
        ({"a": "shut", "b": "shut", "c": "shut", "d": "shut"}, {"a", "b"}, 1),
    ],
)
def test_spill(state: dict[str, str], partners: set[str], tier: int) -> None:
    assert counts(state, most=300).keys() == partners
    choice = choose(POOL, "m", lambda name: state.get(name, ""))
    assert choice is not None and choice.tier == tier and len(choice.passed) == tier - 1


def test_a_pool_without_weights_has_no_partner() -> None:
    assert choose(Route("r", tiers=((("a", 0),),)), "m", lambda name: "") is None


# Limits


@given(st.floats(0.5, 200.0), st.lists(st.floats(0.0, 900.0), min_size=1, max_size=200))
def test_a_rate_holds_over_every_window(rate: float, pauses: list[float]) -> None:
    """Whatever the arrivals: in any window of T seconds at most rate x (T + 1) + 1 calls go."""
    meter, now, went = Meter(Limit("l", rate=rate), 0.0), 0.0, list[float]()
    for pause in pauses:
        now += pause
        if (wait := meter.wait(now, False)) == 0.0:
            meter.went(now, False)
            meter.came()
            went.append(now)
        else:
            assert meter.wait(now + wait + 0.001, False) == 0.0  # the wait is true
    for first in range(len(went)):
        for last in range(first, len(went)):
            assert last - first + 1 <= rate * ((went[last] - went[first]) / 1000.0 + 1.0) + 1.000001


def test_calls_at_once_and_messages_held() -> None:
    meter = Meter(Limit("l", at_once=2, held=1), 0.0)
    for _ in range(2):
        assert meter.wait(0.0, False) == 0.0
        meter.went(0.0, False)
    assert meter.wait(0.0, False) == FOREVER
    meter.came()
    assert meter.wait(0.0, False) == 0.0 and meter.room()
    meter.took()
    assert not meter.room()
    meter.gave()
    assert meter.room()


@pytest.mark.parametrize("share", [0.1, 0.2, 0.5])
def test_a_failed_pool_is_not_hammered(share: float) -> None:
    """All calls fail for a minute, at 50 first tries a second, and each would be tried again at once."""
    meter, retries, firsts, now = Meter(Limit("l", retries=share), 0.0), 0, 0, 0.0
    waiting = 0
    while now < 60_000.0:
        now += 20.0
        firsts += 1
        meter.went(now, False)
        waiting += 1
        while waiting and meter.wait(now, True) == 0.0:
            meter.went(now, True)
            retries += 1
            waiting -= 1
    assert 0.5 * share * firsts < retries <= share * firsts + RESERVE_PER_S * 60 + 2


def test_a_quiet_destination_may_be_tried_again_and_its_wait_is_true() -> None:
    meter = Meter(Limit("l", retries=0.0), 0.0)
    wait = meter.wait(0.0, True)
    assert 0.0 < wait <= 1000.0 / RESERVE_PER_S
    assert meter.wait(wait - 1.0, True) > 0.0 and meter.wait(wait + 0.001, True) == 0.0
    for n in range(1000):
        meter.went(float(n), False)
    assert meter.budget(1000.0 + 10 * BUDGET_MS) <= max(1.0, RESERVE_PER_S * BUDGET_MS / 1000.0)


@given(st.floats(0.5, 50.0), st.floats(0.5, 50.0), st.integers(1, 60))
def test_a_swap_opens_no_limit(before: float, after: float, used: int) -> None:
    limits = Limits({"l": Limit("l", rate=before, at_once=5), "gone": Limit("gone", rate=1.0)})
    for _ in range(used):
        limits.went(("l", "gone"), 0.0, False)
    waits = limits.wait(("l",), 0.0, False)
    limits.swap({"l": Limit("l", rate=after, at_once=5)}, 0.0)
    assert len(limits) == 1 and limits.meter("l", 0.0).out == used
    if used >= 5:
        assert limits.wait(("l",), 0.0, False) == FOREVER
    elif waits > 0.0:
        assert limits.meter("l", 0.0)._due > 0.0
    with pytest.raises(KeyError):
        limits.meter("gone", 0.0)


def test_quiet_limits_are_forgotten() -> None:
    limits = Limits({f"l{n}": Limit(f"l{n}", rate=5.0) for n in range(5000)})
    sequence = random.Random(1)
    for second in range(200):
        for _ in range(50):
            name = f"l{sequence.randrange(5000)}"
            limits.went((name,), second * 1000.0, False)
            limits.came((name,), second * 1000.0)
        limits.tidy(second * 1000.0)
        assert len(limits) <= 50 * 13
    limits.went(("l1",), 300_000.0, False)  # a call that is out keeps its limit
    limits.tidy(900_000.0)
    assert len(limits) == 1


# From files


SET = b"""
[network.kempen]
limit = "of-kempen"
[limit.of-kempen]
held = 5
[limit.night]
rate = "10/s"
retries = "20 %"
[partner.kpn]
kind = "hub"
destination = "7"
limit = "of-kpn"
[limit.of-kpn]
at_once = 3
[partner.base]
kind = "hub"
[pool.p]
spill = ["waiting"]
limit = "night"
[[pool.p.member]]
partner = "base"
tier = 2
[[pool.p.member]]
partner = "kpn"
weight = 2
[[route]]
name = "night"
to = "pool p"
hours = ["22:00-06:00"]
networks = ["kempen"]
[[route]]
name = "closed"
refuse = "90 s"
recipients = ["*@old.example"]
[[route]]
name = "rest"
to = "partner kpn"
"""


def test_a_set_becomes_routes_limits_and_partners() -> None:
    made, found = read({"main.toml": SET})
    assert not found
    snapshot = plan(made)
    night = snapshot.router.find(Facts(network="kempen", minute=30))
    assert night is not None and night.tiers == ((("kpn", 2),), (("base", 1),)) and night.spill == {"waiting"}
    assert snapshot.limits_of(night, "kpn", "kempen") == ("of-kempen", "night", "of-kpn")
    assert snapshot.limits["night"] == Limit("night", 10.0, None, None, 0.2)
    closed = snapshot.router.find(Facts(recipient="u@old.example", minute=30))
    assert closed is not None and closed.refuse_ms == 90_000.0
    rest = snapshot.router.find(Facts(minute=30))
    assert rest is not None and rest.name == "rest" and rest.tiers == ((("kpn", 1),),)
    assert dict(snapshot.destinations) == {"kpn": "7", "base": "base"}


def test_a_set_without_routes_serves_each_destination_by_its_partner() -> None:
    made, _ = read({"main.toml": SET.partition(b"[pool.p]")[0]})
    snapshot = plan(made)
    for destination, partner in (("7", "kpn"), ("base", "base")):
        route = snapshot.router.find(Facts(destination=destination))
        assert route is not None and route.tiers == (((partner, 1),),)
    assert snapshot.router.find(Facts(destination="8")) is None


def test_a_plan_that_follows_shares_what_stays_and_says_what_is_new() -> None:
    made, _ = read({"main.toml": SET})
    text = SET.replace(b"held = 5", b"held = 6").replace(b"[limit.of-kpn]\nat_once = 3", b"")
    changed, _ = read({"main.toml": text.replace(b'limit = "of-kpn"', b"")})
    old, new = plan(made), plan(changed)
    following = old.followed_by(new)
    assert following.limits == new.limits != old.limits and following.own == new.own
    assert following.destinations == old.destinations and following.router is old.router
    assert following.limits["night"] is old.limits["night"] and "of-kpn" not in following.limits
    assert old.limits["of-kempen"].held == 5  # the snapshot that was in force is what it was
