"""Restarts of real processes: many at once, on full folders, with discovery down, and right behind a 202."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

from ashvale.journal import Entry, Full, Journal
from ashvale.lab.stand_ins import DROP, Endpoint
from tests.stage import Scene, request, scene
from tests.test_main import Program, ask

PROCESSES = 30
READY_S = 10.0
DISK_MB = 3
UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


def fill(folder: Path) -> int:
    """Write messages until the journal has no room for more, as a courier that was killed leaves them."""
    folder.mkdir()
    journal = Journal(folder, DISK_MB * 1_000_000)
    deadline = time.time() * 1000.0 + 60_000.0
    number = 0
    try:
        while True:
            entry = Entry(
                0, f"m{number}", "platform", "rate-update", str(1 + number % 40), "home", "", deadline, b"x"
            )
            journal.take(entry)
            number += 1
    except Full:
        journal.close()
    return number


@dataclass
class Restarted:
    process: subprocess.Popen[bytes]
    began: float

    def ready(self, s: Scene) -> float:
        """Read the log up to the line that it serves, ask `/up`, and return the seconds since its start."""
        assert self.process.stderr is not None
        log = b""
        while b"event=serving" not in log and (line := self.process.stderr.readline()):
            log += line
        found = re.search(rb"listen_platform\W+[\d.]+:(\d+)", log)
        assert found is not None, log.decode()
        assert ask(s, int(found[1]), UP).startswith(b"HTTP/1.1 200 ")
        self.held = int(re.search(rb"held=(\d+)", log)[1])  # type: ignore[index]
        return time.monotonic() - self.began


def test_thirty_at_once_on_full_folders_are_ready_in_time_with_discovery_down() -> None:
    with scene() as s:
        s.discovery.down = True
        endpoint = s.endpoint()
        owed = fill(s.folder / "state-0")
        assert owed > 1000
        written = (s.folder / "state-0" / "journal").read_bytes()
        told = {"settings": s.settings, "limits": {"disk_mb": DISK_MB}, "known": s.discovery.whole()}
        (s.folder / "config.json").write_text(json.dumps(told))
        restarted = list[Restarted]()
        for number in range(PROCESSES):
            state = s.folder / f"state-{number}"
            state.mkdir(exist_ok=True)
            (state / "journal").write_bytes(written)
            environ = {**os.environ, **s.told, "LB_STATE": str(state)}
            command = [sys.executable, "-m", "ashvale"]
            process = subprocess.Popen(command, stderr=subprocess.PIPE, env=environ)
            restarted.append(Restarted(process, time.monotonic()))
        try:
            times = sorted(each.ready(s) for each in restarted)
            assert times[int(0.9 * PROCESSES) - 1] <= READY_S, times
            assert {each.held for each in restarted} == {owed}
            s.until(lambda: len(endpoint.calls) > 0)  # what a restart finds untried is tried
        finally:
            for each in restarted:
                each.process.kill()
                each.process.wait()
                assert each.process.stderr is not None
                each.process.stderr.close()


@pytest.mark.parametrize("cls", ("usage-record", "once-only"))
def test_a_kill_right_behind_a_202_neither_loses_a_message_nor_doubles_what_may_run_once(cls: str) -> None:
    """The window for repeats is one second. What may have run goes by its class's effect."""
    keyed = {"name": "usage-record", "repeat": "token", "key_scope": "all", "objective_ms": 2000}
    keyed |= {"give_up_ms": 16000, "dedup_window_ms": 1000, "late_worth": 0.3}
    once = {"name": "once-only", "repeat": "side_effect", "objective_ms": 2000, "give_up_ms": 16000}
    with scene(categories=[keyed, once]) as s:
        endpoint = s.endpoint(*([DROP] * 200))  # read whole, and then no answer: it may have run
        for life in range(6):
            program = Program(s)
            for number in range(3):
                taken = program.ask(request(cls, f"m{life}-{number}"))
                assert taken.startswith(b"HTTP/1.1 202 ")
            program.end(signal.SIGKILL)
        s.rest(1100.0)  # the window of whatever may have run is over
        endpoint.script.clear()
        program = Program(s)
        s.until(lambda: len(called(endpoint) | {notice["id"] for notice in s.discovery.notices}) == 18)
        assert "owed=0" in program.end(signal.SIGTERM)
        for id in called(endpoint):
            at = [call.at for call in endpoint.calls if call.headers["request-id"] == id]
            assert len(at) == 1 or cls == "usage-record"
            assert at[-1] - at[0] < 1000.0


def called(endpoint: Endpoint) -> set[str]:
    return {call.headers["request-id"] for call in endpoint.calls}
