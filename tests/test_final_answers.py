"""Answers that end a message, or all its attempts: no call may follow one, whatever can be doubted of it.

An answer 410 says that a message is over and nothing more is owed, 504 that it has had all its attempts.
Either may be the copy of another call's answer; what is done has to break no rule whichever reading is true.
"""

from __future__ import annotations

import os
import signal

import pytest

from ashvale.lab.stand_ins import answer
from tests.repeating import Copies, When
from tests.stage import Call, Endpoint, Scene, batch_ids, request, scene
from tests.test_answer_binding import (
    KEYED,
    LATE_MS,
    ONCE,
    SAFE,
    answered,
    hand_in,
    hand_in_together,
    relayed,
    start,
)
from tests.test_main import Program

FINAL = (410, 504)
CLASSES = ("rate-update", "usage-record")
AGAIN_MS = 2500.0  # a message that is called again is so within this
TIMEOUT = "6000m"
TIMEOUT_MS = 6000.0
NO_COPIES = Copies(limit=0)
PAUSE_MS = 2600.0  # after a refusal the next call goes within this


def calls(endpoint: Endpoint, id: str) -> int:
    """How many calls with a message have come."""
    return sum(
        id in (batch_ids(call.body) if call.path == "/hook/batch" else [call.headers["request-id"]])
        for call in endpoint.calls
    )


def told(s: Scene, id: str) -> bool:
    """Whether a notice of a message's end has come."""
    return any(notice["id"] == id for notice in s.discovery.notices)


def check_ended(s: Scene, endpoint: Endpoint, owed: list[str], most: dict[str, int]) -> None:
    """Each message of `owed` is told its end in time; none is called more often than `most` says."""
    s.until(lambda: all(told(s, id) for id in owed), TIMEOUT_MS + LATE_MS)
    s.rest(AGAIN_MS)
    assert {id: calls(endpoint, id) for id in most} == most


@pytest.mark.parametrize("cls", CLASSES)
def test_a_message_that_is_said_to_be_over_is_not_called_again(cls: str) -> None:
    """Guards against bd4465: a second 410 on a connection was doubted, and the message called again."""
    with relayed(NO_COPIES, 410, 410, 410) as (s, endpoint, _):
        program = start(s, endpoint)
        for number in range(1, 4):
            hand_in(program, cls, f"m{number}", TIMEOUT)
            s.until(lambda number=number: calls(endpoint, f"m{number}") == 1)
            s.rest(250.0)
        check_ended(s, endpoint, [], dict.fromkeys(("m1", "m2", "m3"), 1))


@pytest.mark.parametrize("cls", (*CLASSES, "once-only"))
def test_a_message_whose_attempts_are_spent_is_not_called_again(cls: str) -> None:
    """Guards against bd4465: a 504 was taken for an attempt that never ran, and calls went on."""
    with relayed(NO_COPIES, 504, 504, 504) as (s, endpoint, _):
        program = start(s, endpoint)
        for number in range(1, 4):
            hand_in(program, cls, f"m{number}", TIMEOUT)
            s.until(lambda number=number: calls(endpoint, f"m{number}") == 1)
            s.rest(250.0)
        check_ended(s, endpoint, ["m1", "m2", "m3"], dict.fromkeys(("m1", "m2", "m3"), 1))


@pytest.mark.parametrize("status", FINAL)
def test_a_final_answer_behind_a_presumed_delivery_is_final(status: int) -> None:
    """Guards against bd4465: a final answer on a connection with a presumed delivery was doubted."""
    with relayed(NO_COPIES, status, 200, status) as (s, endpoint, _):
        program = start(s, endpoint)
        for number in range(1, 4):
            hand_in(program, "rate-update", f"m{number}", TIMEOUT)
            s.until(lambda number=number: calls(endpoint, f"m{number}") >= 1)
            s.rest(250.0)
        owed = ["m1", "m3"] if status == 504 else []
        check_ended(s, endpoint, owed, {"m1": 1, "m3": 1})


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("status", FINAL)
@pytest.mark.parametrize("ends", [True, False])
def test_a_final_answer_that_breaks_off_is_final(ends: bool, status: int, cls: str) -> None:
    """Guards against a call for a message that is over: the rest of its answer never came."""

    def broken(call: Call) -> bytes | str:
        if call.headers["request-id"] != "m1":
            return answer(200)
        return f"HTTP/1.1 {status} No\r\nContent-Length: 9\r\n\r\nab".encode()

    with scene(categories=[SAFE, KEYED, ONCE]) as s:
        endpoint = s.endpoint()
        endpoint.usual = broken  # type: ignore[assignment]
        endpoint.breaks = ends
        program = Program(s)
        hand_in(program, cls, "m1", TIMEOUT)
        check_ended(s, endpoint, ["m1"], {"m1": 1})


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("status", FINAL)
def test_a_final_answer_that_takes_a_delivery_back_is_final(status: int, cls: str) -> None:
    """Guards against a call for a message that is over: its own answer came behind the copy of a delivery."""
    copies = Copies(chosen=lambda data: data.startswith(b"HTTP/1.1 200"), first=2)
    with relayed(copies, status, 200, status) as (s, endpoint, relay):
        program = start(s, endpoint)
        for number, cls_now in enumerate(("rate-update", "rate-update", cls), 1):
            hand_in(program, cls_now, f"m{number}", TIMEOUT)
            s.until(lambda number=number: calls(endpoint, f"m{number}") >= 1 and not endpoint.out)
            s.rest(50.0)
        assert relay.repeated == 1
        check_ended(s, endpoint, ["m3"] if status == 504 else [], {"m1": 1, "m3": 1})


@pytest.mark.parametrize("marks", [True, False])
@pytest.mark.parametrize("status", FINAL)
def test_a_final_answer_read_by_the_next_call_is_final_for_the_one_before(status: int, marks: bool) -> None:
    """Guards against the soak's seed 712: a presumed delivery's own 504 came while the next call was out."""
    with relayed(Copies(), 200, status) as (s, endpoint, relay):
        endpoint.marks = marks
        program = start(s, endpoint)
        hand_in(program, "rate-update", "m1", TIMEOUT)
        answered(s, endpoint, 2)
        hand_in(program, "rate-update", "m2", TIMEOUT)
        s.until(lambda: relay.repeated == 1)
        s.rest(30.0)  # the copy has been read for m2's answer; the endpoint works on
        hand_in(program, "rate-update", "m3", TIMEOUT)
        check_ended(s, endpoint, ["m2"] if status == 504 else [], {"m1": 1, "m2": 1})


@pytest.mark.parametrize("marks", [True, False])
@pytest.mark.parametrize("status", FINAL)
def test_a_final_answer_to_the_last_call_of_a_connection_is_final(status: int, marks: bool) -> None:
    """Guards against bd4465: a last answer that its endpoint did not mark was doubted, whatever it said."""
    with relayed(NO_COPIES, 200, status, 200, status) as (s, endpoint, _):
        endpoint.marks = marks
        program = start(s, endpoint)
        for number in range(1, 5):
            hand_in(program, "rate-update", f"m{number}", TIMEOUT)
            s.until(lambda number=number: calls(endpoint, f"m{number}") >= 1)
            s.rest(250.0)
        s.rest(AGAIN_MS)
        ended = [id for id, said in endpoint.given if said == status]
        assert {id: calls(endpoint, id) for id in ended} == dict.fromkeys(ended, 1)


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM, signal.SIGHUP])
@pytest.mark.parametrize("status", FINAL)
@pytest.mark.parametrize("cls", CLASSES)
def test_a_final_answer_outlasts_the_process(cls: str, status: int, end: signal.Signals) -> None:
    """Guards against a call for a message that is over: the process ended behind a 410 that was doubted."""
    with relayed(NO_COPIES, status, status) as (s, endpoint, _):
        program = start(s, endpoint)
        hand_in(program, cls, "m1", TIMEOUT)
        answered(s, endpoint, 2)
        hand_in(program, cls, "m2", TIMEOUT)
        answered(s, endpoint, 3)
        if end is signal.SIGHUP:
            os.kill(program.process.pid, end)
        else:
            program.end(end)
            Program(s)
        owed = ["m2"] if status == 504 else []
        check_ended(s, endpoint, owed, {"m1": 1, "m2": 1})


@pytest.mark.parametrize("word", ["over", "spent"])
def test_a_final_word_of_a_batch_is_final(word: str) -> None:
    """Guards against bd4465: a message that a batch's answer called spent was called again."""

    def ends(call: Call) -> bytes:
        ids = batch_ids(call.body) if call.path == "/hook/batch" else [call.headers["request-id"]]
        named = "".join(f"{id} {word if id.startswith('m') else 'delivered'}\r\n" for id in ids)
        return answer(200, named.encode() if call.path == "/hook/batch" else b"")

    with scene(categories=[SAFE, KEYED, ONCE]) as s:
        endpoint = s.endpoint(kind="hub")
        endpoint.usual = ends  # type: ignore[method-assign]
        program = Program(s)
        hand_in(program, "rate-update", "w0")
        s.until(lambda: calls(endpoint, "w0") == 1)
        ids = ["m1", "m2", "m3"]
        hand_in_together(program, ids)
        s.until(lambda: all(calls(endpoint, id) for id in ids))
        named = [id for call in endpoint.calls if call.path == "/hook/batch" for id in batch_ids(call.body)]
        owed = [id for id in named if id in ids] if word == "spent" else []
        check_ended(s, endpoint, owed, dict.fromkeys(set(named) & set(ids), 1))


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("timeout_ms", [400, 450])
def test_no_call_reaches_an_endpoint_behind_its_messages_end(timeout_ms: int, cls: str) -> None:
    """Guards against seed 536 of the soak: a doubted refusal ended a message whose call was on its way."""
    copies = Copies(when=When.UNDER_WAY, hold_ms=120.0)
    with relayed(copies, 503) as (s, endpoint, _):
        program = start(s, endpoint)
        hand_in(program, "rate-update", "m1", "350m")  # a refusal's pause is longer: it is returned
        s.until(lambda: told(s, "m1"))
        s.rest(PAUSE_MS)
        hand_in(program, cls, "m2", f"{timeout_ms}m")
        s.until(lambda: told(s, "m2") or ("m2", 200) in endpoint.given, timeout_ms + LATE_MS)
        known = calls(endpoint, "m2")
        s.rest(500.0)
        assert calls(endpoint, "m2") == known > 0


def test_endpoints_that_ignore_the_wish_for_an_end_run_each_message_once() -> None:
    """Guards against a second run with no fault: an unmarked last answer counted as lost (58 of 462)."""
    with relayed(NO_COPIES, work_ms=50.0) as (s, endpoint, _):
        endpoint.marks = endpoint.ends = False
        program = start(s, endpoint)
        ids = [f"m{number}" for number in range(60)]
        for id in ids:
            assert program.ask(request("usage-record", id, timeout=TIMEOUT)).startswith(b"HTTP/1.1 202 ")
            s.rest(20.0)
        s.until(lambda: all(calls(endpoint, id) for id in ids), TIMEOUT_MS)
        s.rest(AGAIN_MS)
        assert {id: calls(endpoint, id) for id in ids} == dict.fromkeys(ids, 1)


def test_a_wait_behind_an_unmarked_last_answer_binds_at_once() -> None:
    """Guards told waits: the own 429 of a last call came behind a copy, and was heard at its time-out."""
    with relayed(Copies(lag=2), 200, 200, 429) as (s, endpoint, relay):
        endpoint.marks = endpoint.ends = False
        scripted = endpoint.usual

        def waits(call: Call) -> bytes:
            data = scripted(call)
            return data.replace(b"\r\n", b"\r\nX-Come-Back-Ms: 2000\r\n", 1) if data[9:12] == b"429" else data

        endpoint.usual = waits  # type: ignore[method-assign]
        program = start(s, endpoint)
        for number in (1, 2):
            hand_in(program, "rate-update", f"m{number}", TIMEOUT)
            answered(s, endpoint, 1 + number)
        hand_in(program, "rate-update", "m3", TIMEOUT)
        s.until(lambda: relay.repeated == 1)
        answered(s, endpoint, 4)
        assert endpoint.given[-1] == ("m3", 429)
        told_at, known = s.loop.now(), len(endpoint.calls)
        hand_in(program, "rate-update", "m4", TIMEOUT)
        s.until(lambda: len(endpoint.calls) > known)
        assert s.loop.now() - told_at >= 1900.0
