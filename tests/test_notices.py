"""Notices on an agent that fails now and then: every end is told within its time."""

from __future__ import annotations

from random import Random

import pytest

from ashvale.lab.stand_ins import DROP, STALL
from tests.stage import Scene, request, scene
from tests.test_answer_binding import KEYED, LATE_MS, SAFE
from tests.test_main import Program

FAILED = 0.3  # part of the notices that the agent does not take
MESSAGES = 80
APART_MS = 15.0


class TimedNotices(list[dict[str, object]]):
    """Notices as they come, and when the first of each message came."""

    def __init__(self, s: Scene) -> None:
        super().__init__()
        self.scene, self.at = s, dict[str, float]()

    def __iadd__(self, told: object) -> TimedNotices:  # type: ignore[misc, override]
        for notice in told:  # type: ignore[attr-defined]
            self.append(notice)
            self.at.setdefault(notice["id"], self.scene.loop.now())
        return self


@pytest.mark.parametrize("how", ["500", "503", DROP, STALL])
def test_ends_are_told_in_time_where_three_in_ten_notices_fail(how: str) -> None:
    """Guards against late ends: after each notice that failed one line went at a time, behind all others."""
    with scene(categories=[SAFE, KEYED]) as s:
        endpoint = s.endpoint()
        endpoint.usual = lambda _call: STALL  # type: ignore[method-assign, assignment, return-value]
        random = Random(f"notices {how}")
        s.discovery.notices = notices = TimedNotices(s)  # type: ignore[assignment]
        program = Program(s)
        s.discovery.script = lambda: how if random.random() < FAILED else ""
        due: dict[str, float] = {}
        for number in range(MESSAGES):
            id, timeout_ms = f"m{number}", random.uniform(600.0, 3000.0)
            due[id] = s.loop.now() + timeout_ms + LATE_MS
            taken = program.ask(request("rate-update", id, timeout=f"{timeout_ms:.0f}m"))
            assert taken.startswith(b"HTTP/1.1 202 ")
            s.rest(APART_MS)
        s.until(lambda: notices.at.keys() >= due.keys())
        assert [(id, notices.at[id] - due[id]) for id in due if notices.at[id] > due[id]] == []


def test_a_line_that_the_agent_cannot_read_holds_no_other_up() -> None:
    """Guards the others against one line: the agent answers 400 to each notice that holds it."""
    with scene(categories=[SAFE, KEYED]) as s:
        endpoint = s.endpoint()
        endpoint.usual = lambda _call: STALL  # type: ignore[method-assign, assignment, return-value]
        program = Program(s)
        s.discovery.unreadable = "m3"
        for number in range(8):
            program.ask(request("rate-update", f"m{number}", timeout="800m"))
        others = {f"m{number}" for number in range(8)} - {"m3"}
        s.until(lambda: {str(notice["id"]) for notice in s.discovery.notices} >= others, 800.0 + LATE_MS)
