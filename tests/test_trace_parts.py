"""The pure parts of tracing: trace context, spans, reasons, and what is kept."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashvale import interface as api
from ashvale.control import Controller
from ashvale.trace import codec, context, sampling
from ashvale.trace.context import Context
from ashvale.trace.model import (
    ATTEMPTS_MOST,
    SPANS_MOST,
    Attempt,
    End,
    Kind,
    Life,
    Reason,
    Span,
    cause,
)
from ashvale.trace.reasons import FOREVER, Timeline, outlook
from ashvale.trace.sampling import Cause, Details, Rank, Slowest
from tests.samples import line as listing
from tests.samples import listed, settings

ID, PARENT = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
GOOD = f"00-{ID}-{PARENT}-01"


@pytest.mark.parametrize(
    ("text", "found"),
    [
        (GOOD, Context(ID, PARENT, True)),
        (f" {GOOD}\t", Context(ID, PARENT, True)),
        (f"00-{ID}-{PARENT}-00", Context(ID, PARENT)),
        (f"00-{ID}-{PARENT}-fe", Context(ID, PARENT)),
        (f"cc-{ID}-{PARENT}-01", Context(ID, PARENT, True)),
        (f"cc-{ID}-{PARENT}-01-more", Context(ID, PARENT, True)),
        (f"00-{ID}-{PARENT}-01-more", None),
        (f"ff-{ID}-{PARENT}-01", None),
        (f"00-{'0' * 32}-{PARENT}-01", None),
        (f"00-{ID}-{'0' * 16}-01", None),
        (GOOD.upper(), None),
        (GOOD[:-1], None),
        (GOOD + "0", None),
        ("", None),
        (f"00-{ID[:-1]}-{PARENT}-01", None),
        (f"00-{ID}-{PARENT}-0x", None),
        (f"0-{ID}-{PARENT}-01", None),
        (f"00_{ID}_{PARENT}_01", None),
        (GOOD.replace("0af7", "0ag7"), None),
        (f"{GOOD},{GOOD}", None),
        (f"cc-{ID}-{PARENT}-01-" + "x" * 9000, None),
        (GOOD + "\n", None),
        (f"00-{ID}-{PARENT}-01\0", None),
        ("\xff" * 55, None),
        ("٠٠" + GOOD[2:], None),
    ],
    ids=lambda value: str(value)[:30],
)
def test_a_hostile_parent_starts_a_trace_of_its_own(text: str, found: Context | None) -> None:
    assert context.parse_parent(text) == found
    joined = context.join(text, "a=1", bytes(range(16)))
    assert joined.trace_id == (ID if found else bytes(range(16)).hex())
    assert joined.state == ("a=1" if found else "")


@pytest.mark.parametrize(
    ("text", "kept"),
    [
        ("a=1", "a=1"),
        (" a=1 ,\tb@c=x y ", "a=1,b@c=x y"),
        ("a=1,,b=2", "a=1,b=2"),
        ("a=1,a=2", ""),
        ("a", ""),
        ("A=1", ""),
        ("a=", ""),
        ("a=1,b=\x01", ""),
        ("a=b=c", ""),
        ("a=1;b", "a=1;b"),
        ("é=1", ""),
        (",".join(f"k{n}=v" for n in range(33)), ""),
        ("a=" + "x" * 300, ""),
        ("\r\nX: y", ""),
    ],
)
def test_tracestate(text: str, kept: str) -> None:
    assert context.parse_state(text) == kept


def test_a_long_tracestate_loses_whole_members_from_its_end() -> None:
    kept = context.parse_state(",".join(f"k{n}={'v' * 100}" for n in range(8)))
    assert kept.split(",") == [f"k{n}={'v' * 100}" for n in range(4)]


@given(st.sampled_from(["", PARENT]), st.booleans(), st.sampled_from(["", "a=1", "a=x y,b=2"]))
def test_a_context_outlasts_the_process(parent: str, sampled: bool, state: str) -> None:
    made = Context(ID, parent, sampled, state)
    assert Context.unpack(made.pack()) == made
    assert made.header(3) == f"00-{ID}-{made.attempt(3)}-0{int(sampled)}" and len(made.header(3)) == 55
    assert len({made.span, *(made.attempt(n) for n in range(9))}) == 10


@pytest.mark.parametrize("text", ["", "x", f"{ID}-{PARENT}", f"{ID}-{PARENT}-2", f"{ID[:9]}--1"])
def test_a_context_that_is_none(text: str) -> None:
    assert Context.unpack(text) is None


NOW = 1_796_128_000_000.0


@pytest.mark.parametrize(
    ("text", "at"),
    [
        ("t=1796127999.5", NOW - 500),
        ("1796127999500", NOW - 500),
        ("t=1796127999500000", NOW - 500),
        ("t=1796128000.1", None),
        ("t=1796100000", None),
        ("soon", None),
        ("", None),
        ("t=-5", None),
        ("t=nan", None),
        ("t=" + "9" * 40, None),
        ("t=1796127999,5", None),
    ],
)
def test_the_hand_in_is_known_or_unknown_and_never_guessed(text: str, at: float | None) -> None:
    assert context.hand_in(text, NOW, 16000.0) == at


# Spans


steps = st.lists(
    st.tuples(
        st.floats(-50.0, 500.0),
        st.sampled_from(list(Kind)),
        st.sampled_from(list(Reason)),
        st.integers(-1, 3),
    ),
    max_size=120,
)


@given(st.floats(0.0, 1e9), steps, st.floats(0.0, 100.0))
def test_spans_meet_whatever_comes(
    start: float, moves: list[tuple[float, Kind, Reason, int]], more: float
) -> None:
    """No gap, no overlap, one end: the sum over the spans is the life, however times and kinds may come."""
    life, latest = Life(start), start
    for step, kind, reason, ref in moves:
        life.advance(latest + step, kind, reason, ref)
        latest = max(latest, life.at)
    life.end(latest + more, Kind.NOTICE)
    end = life.at
    life.end(latest + more + 5.0, Kind.NOTICE)
    life.advance(latest + 900.0, Kind.WAIT)
    assert life.at == end and life.total == pytest.approx(sum(s.ms for s in life.spans), abs=1e-3)
    assert all(s.ms > 0 for s in life.spans) and len(life.spans) <= SPANS_MOST
    back = codec.unpack_spans(codec.pack_spans(life.spans))
    assert sum(round(s.ms * 10) for s in back) == round(sum(s.ms for s in life.spans) * 10)
    assert [(s.kind, s.reason, s.ref) for s in back] == [(s.kind, s.reason, s.ref) for s in life.spans]


def test_too_many_stretches_are_merged_and_counted() -> None:
    life = Life(0.0)
    for n in range(400):
        life.advance(10.0 * (n + 1), Kind.WAIT, Reason.RING if n % 2 else Reason.TURN)
    for n in range(60):
        life.begin_attempt(Attempt(n + 1, "e"))
    assert len(life.spans) <= SPANS_MOST and len(life.attempts) == ATTEMPTS_MOST
    assert life.total == 4000.0 == sum(s.ms for s in life.spans) and life.shed > 300


@pytest.mark.parametrize(
    ("spans", "place"),
    [
        ([], None),
        ([Span(Kind.DOOR, Reason.NONE, 1.0)], 0),
        (
            [
                Span(Kind.WAIT, Reason.RING, 30.0),
                Span(Kind.ATTEMPT, Reason.NONE, 50.0),
                Span(Kind.WAIT, Reason.RING, 40.0),
            ],
            2,
        ),
        (
            [
                Span(Kind.ATTEMPT, Reason.NONE, 99.0),
                Span(Kind.WAIT, Reason.RING, 40.0),
                Span(Kind.WAIT, Reason.PAUSE, 40.0),
            ],
            0,
        ),
    ],
)
def test_the_cause_is_what_took_the_most_time(spans: list[Span], place: int | None) -> None:
    assert cause(spans) == place


# Reasons


def told(controller: Controller, *events: tuple[float, api.Event]) -> None:
    for at, event in events:
        controller.handle(event, at)


def arrives(number: int, at: float) -> tuple[float, api.Event]:
    return at, api.NewMessage(number, 0, 1, at + 6000.0)


def ends(number: int, at: float, outcome: api.Outcome, wait: float = 0.0) -> tuple[float, api.Event]:
    return at, api.Settled(number, 0, b"a", outcome, 10.0, outcome is api.Outcome.OK, wait)


LISTED = (0.0, listed(listing("a")))
CASES = {
    "no endpoint": ([arrives(1, 0.0)], 1.0, [Reason.NO_ENDPOINT]),
    "its turn": ([LISTED], 1.0, [Reason.TURN]),
    "draining": ([(0.0, listed(listing("a", ready=api.Readiness.DRAINING)))], 1.0, [Reason.NO_ENDPOINT]),
    "told wait, then ring": (
        [LISTED, arrives(1, 1.0), ends(1, 11.0, api.Outcome.FULL, 700.0)],
        12.0,
        [Reason.TOLD_WAIT, Reason.PAUSE, Reason.RING, Reason.TURN],
    ),
    "own pause, then ring": (
        [LISTED, arrives(1, 1.0), ends(1, 11.0, api.Outcome.FULL)],
        12.0,
        [Reason.PAUSE, Reason.RING, Reason.TURN],
    ),
    "held to fail": (
        [LISTED, arrives(1, 1.0), ends(1, 11.0, api.Outcome.ERROR)],
        12.0,
        [Reason.HELD_OUT, Reason.TURN],
    ),
    "slots": ([LISTED, *(arrives(n, 1.0) for n in range(1, 9))], 2.0, [Reason.NO_SLOT]),
    "overdue": ([LISTED, arrives(1, 1.0), arrives(2, 1040.0)], 1050.0, [Reason.OVERDUE, Reason.TURN]),
    "two overdue": ([LISTED, arrives(1, 1.0), arrives(2, 2.0)], 1600.0, [Reason.HELD_OUT, Reason.TURN]),
    "about to end": ([LISTED, (5.0, api.Closing(8.0))], 9.0, [Reason.CLOSING]),
}


@pytest.mark.parametrize("name", CASES)
def test_reasons_are_read_and_nothing_is_changed(name: str) -> None:
    events, now, reasons = CASES[name]
    controller = Controller(settings(), 1)
    told(controller, *events)
    waits = [at + x.wait_ms for at, x in events if isinstance(x, api.Settled)]

    def state() -> str:
        lanes = [(vars(e), vars(e.lane)) for e in controller.endpoints.values()]
        return repr((lanes, len(controller.dests)))

    before = state()
    steps = outlook(controller, 1, now, lambda e: max(waits) if "told" in name else 0.0)
    outlook(controller, 77, now)
    assert state() == before
    assert [reason for _, reason in steps] == reasons
    assert steps[-1][0] == FOREVER and [u for u, _ in steps] == sorted(u for u, _ in steps)


def test_an_outlook_foresees_when_the_next_call_goes() -> None:
    """The reasons are true: the message leaves at the moment at which the last of them is over."""
    controller = Controller(settings(), 1)
    told(controller, LISTED, arrives(1, 1.0), ends(1, 11.0, api.Outcome.FULL, 700.0))
    opens = outlook(controller, 1, 12.0, lambda e: 711.0)[-2][0]
    for at, goes in ((opens - 1.0, False), (opens + 1.0, True)):
        actions = controller.handle(api.Timer(controller.token), at)
        assert any(isinstance(action, api.Send) for action in actions) is goes


@given(
    st.lists(
        st.tuples(
            st.floats(1.0, 50.0),
            st.lists(st.tuples(st.floats(1.0, 80.0), st.sampled_from(list(Reason))), max_size=3),
        ),
        max_size=40,
    ),
    st.floats(0, 900),
    st.floats(0.1, 900),
)
def test_a_timeline_reads_back_without_gap(
    looks: list[tuple[float, list[tuple[float, Reason]]]], start: float, length: float
) -> None:
    line, now = Timeline(), 0.0
    for step, foreseen in looks:
        now += step
        at, steps = now, list[tuple[float, Reason]]()
        for ms, reason in foreseen:
            at += ms
            steps.append((at, reason))
        line.look(now, [*steps, (FOREVER, Reason.TURN)])
    ends_ = [until for until, _ in line.stretch(start, start + length)]
    assert ends_ == sorted(ends_) and ends_[-1] == start + length and ends_[0] > start


# What is kept


def test_the_share_is_the_same_everywhere_and_about_as_large_as_asked() -> None:
    ids = [f"{(n * 0x9E3779B97F4A7C15) % (1 << 64):032x}" for n in range(20000)]
    small = {i for i in ids if sampling.chosen(i, 0.01)}
    large = {i for i in ids if sampling.chosen(i, 0.1)}
    assert small <= large and 150 <= len(small) <= 250 and 1900 <= len(large) <= 2100
    assert all(sampling.chosen(i, 1.0) for i in ids) and not any(sampling.chosen(i, 0.0) for i in ids)


@pytest.mark.parametrize(
    ("end", "late", "sampled", "kept"),
    [
        (End.DELIVERED, -5.0, False, Rank.DROP),
        (End.DELIVERED, -5.0, True, Rank.SAMPLE),
        (End.DELIVERED, 0.1, False, Rank.KEPT),
        (End.FAILED, 0.0, False, Rank.KEPT),
        (End.RETURNED, 0.0, True, Rank.KEPT),
        (End.REFUSED, 0.0, False, Rank.KEPT),
        (End.WITHDRAWN, 0.0, False, Rank.KEPT),
        (End.OPEN, 0.0, False, Rank.KEPT),
    ],
)
def test_what_went_wrong_is_kept(end: End, late: float, sampled: bool, kept: Rank) -> None:
    assert sampling.rank(end, late, sampled) is kept


def test_the_slowest_of_each_destination_and_minute_are_kept() -> None:
    slowest = Slowest[int](2)
    for n in range(100):
        assert slowest.offer(f"d{n % 3}", float(n), 1000.0, n) == []
    assert sorted(slowest.offer("d0", 1.0, 61000.0, -1)) == [94, 95, 96, 97, 98, 99]
    for n in range(1000):
        slowest.offer(f"x{n}", 1.0, 61000.0, n)
    assert len(slowest.take()) <= sampling.DESTS_MOST


def test_detail_is_bounded_for_each_cause_and_minute() -> None:
    details = Details()
    one, two = (Cause("1", Kind.ATTEMPT, Reason.NONE, e) for e in "ab")
    assert [details.allowed(one, 0.0, 2) for _ in range(4)] == [True, True, False, False]
    assert details.allowed(two, 0.0, 2) and details.allowed(one, 60000.0, 2)


@pytest.mark.parametrize(
    ("sizes", "first"),
    [
        ({Rank.SAMPLE: 1, Rank.DETAIL: 9, Rank.KEPT: 9}, Rank.SAMPLE),
        ({Rank.DETAIL: 1, Rank.KEPT: 9}, Rank.DETAIL),
        ({Rank.SAMPLE: 0, Rank.KEPT: 1}, Rank.KEPT),
        ({}, None),
    ],
)
def test_ordinary_samples_go_first(sizes: dict[Rank, int], first: Rank | None) -> None:
    assert sampling.first_to_go(sizes) is first
