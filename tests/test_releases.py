"""Releases: the rules by tables, and real couriers that release themselves, halt and go back.

A step's command writes a line to a file of the test's and, where it is to restart its courier, ends it; the
test starts it again, as a supervisor would. Every wait is for an event that is seen.
"""

from __future__ import annotations

import random
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from ashvale.fleet import releases as rules
from ashvale.fleet.permits import Budget
from ashvale.fleet.releases import BACK, BEGAN, DONE, FAILED, LEFT, OVER, RUNNING, WAITS, Part, Plan, Rollout
from ashvale.lab.relay import RESET, SILENT
from ashvale.lab.rig import NAME, Rig
from tests.test_fleet_processes import fleet
from tests.test_permit_processes import settled

PLAN = Plan("new", "up", (("c0",), ("c1", "c2")))


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({}, ""),
        ({"waves": ()}, "'waves': 0 waves; 1 to 200 were expected"),
        ({"waves": (("c0",), ())}, "'waves': wave 2 is empty"),
        ({"waves": (("c0", "c9"),)}, "'waves': wave 1, place 2: no courier is called 'c9'"),
        ({"waves": (("c0",), ("c1", "c0"))}, "'waves': wave 2, place 2: 'c0' is at wave 1, place 1 already"),
        ({"waves": (("c0", "c1", "c2"),)}, "'waves': wave 1 has 3, the budget lets 2 go at once"),
        ({"step": " "}, "'step': a short name was expected"),
        ({"soak_ms": -1.0}, "'soak_ms': -1 is not from 0 to a day"),
        ({"band": 0.0}, "'band': 0 is not between 0 and 1"),
        ({"least": 0}, "'least': 0 is not from 1 to 1,000,000"),
    ],
)
def test_a_plan_is_refused_by_name_and_position(changes: dict[str, object], told: str) -> None:
    plan = msgspec.structs.replace(PLAN, **changes)
    assert "; ".join(rules.faults(plan, {"c0", "c1", "c2", "c3"}, Budget(out="2"))) == told


def test_a_release_goes_by_its_waves_and_each_step_begins_once() -> None:
    r: Rollout | str = rules.begin(7, PLAN, "op", "why")

    def go(courier: str, event: str, permitted: bool = True, life: int = 1) -> None:
        nonlocal r
        assert isinstance(r, Rollout)
        r = rules.progress(r, courier, event, life, "it broke", permitted)
        assert isinstance(r, Rollout), r

    assert isinstance(r, Rollout) and r.at_work("c0") and not r.at_work("c1")
    assert rules.progress(r, "c0", BEGAN, 1, "", False) == "not its turn"  # without a permit
    assert rules.progress(r, "c1", BEGAN, 1, "", True) == "not its turn"  # of a later wave
    go("c0", BEGAN)
    assert rules.progress(r, "c0", BEGAN, 2, "", True) == "not its turn"  # twice
    assert isinstance(rules.onward(r, 0), str)
    go("c0", DONE, life=2)
    assert rules.progress(r, "c0", DONE, 2, "", True) == "no step has begun"
    r = rules.onward(r, 0)
    assert isinstance(r, Rollout) and r.wave == 1 and isinstance(rules.onward(r, 0), str)
    go("c1", BEGAN)
    go("c2", BEGAN)
    go("c1", FAILED)
    assert r.status == "halted" and r.note == "c1: it broke" and r.at_work("c2")  # what has begun ends
    back = rules.steer(r, "back", "", "")
    assert isinstance(back, Rollout) and back.way == BACK and back.current == ("c1", "c2")
    assert [back.parts[n].state for n in ("c0", "c1", "c2")] == [WAITS, WAITS, BEGAN]
    r = back
    go("c2", DONE)  # its step out has ended: it has to go back as well
    assert r.parts["c2"] == Part(WAITS, BACK, 1, "it broke") and rules.steer(r, "back", "", "") == (
        "it goes back already"
    )
    for name in ("c1", "c2"):
        go(name, BEGAN)
        go(name, DONE)
    r = rules.onward(r, 0)
    assert isinstance(r, Rollout)
    r = rules.steer(r, "skip", "c0", "")
    assert isinstance(r, Rollout) and r.parts["c0"].state == LEFT
    r = rules.onward(r, 1)
    assert isinstance(r, Rollout) and r.status == OVER and r.note == "all went back"
    assert rules.steer(r, "halt", "", "") == "no release is under way"
    first = rules.steer(rules.begin(8, PLAN, "op", "why"), "back", "", "")
    assert isinstance(first, Rollout) and {p.state for p in first.parts.values()} == {LEFT}  # nobody touched


def test_the_band_sees_a_bad_one_of_forty_and_no_slow_spell() -> None:
    """1,000 healthy releases under noise: none halts; a share of 5 % given up at one of forty is seen."""
    draw, plan = random.Random(5), Plan("n", "s", (("c0",),), band=0.02)

    def ends(n: int, share: float) -> tuple[int, int]:
        return n, sum(draw.random() < share for _ in range(n))

    for _ in range(1000):
        spell = draw.choice((0.0, 0.02, 0.3))  # everywhere at one time
        assert rules.out_of_band(plan, ends(60, spell), ends(600, spell)) is None
    assert rules.out_of_band(plan, (200, 30), (7800, 156)) is not None
    assert rules.out_of_band(plan, (20, 20), (7800, 0)) is None  # too few to say
    assert rules.out_of_band(plan, (200, 4), (7800, 156)) is None
    assert rules.piles_up([400], [10, 30]) == "those released hold 400 messages each, the others 20"
    assert rules.piles_up([60], [10]) is None and rules.piles_up([400], [400]) is None  # a spell everywhere
    assert rules.piles_up([], [1]) is None


STEPS = """
[fleet.step.restart]
run = ["sh", "-c", "echo out $ASHVALE_PID >> {log}; kill -9 $ASHVALE_PID"]
back = ["sh", "-c", "echo back $ASHVALE_PID >> {log}; kill -9 $ASHVALE_PID"]
[fleet.step.note]
run = ["sh", "-c", "echo out $ASHVALE_PID >> {log}"]
back = ["sh", "-c", "echo back $ASHVALE_PID >> {log}"]
[fleet.step.fails]
run = ["sh", "-c", "exit 3"]
[fleet.step.hangs]
run = ["sh", "-c", "sleep 60"]
[fleet.step.nothing]
run = ["true"]
"""


def plan(step: str, *waves: list[str], **more: object) -> dict[str, object]:
    return {"name": f"try {step}", "step": step, "waves": waves, "soak_ms": 300.0, **more}


def rollout(f: Rig, name: str) -> dict[str, object]:
    return f.status(name).get("release") or {}


def last(f: Rig, name: str) -> dict[str, object]:
    past = f.status(name).get("past") or [{}]
    return past[-1]


def supervise(f: Rig, done: object, most: int = 1) -> None:
    """Start again whoever ended, as a supervisor does, until something has come to be."""

    def step() -> bool:
        for name in f.names:
            if f.processes[name].poll() is not None:
                f.start(name)
        assert len(f.away()) <= most
        return bool(done())  # type: ignore[operator]

    f.until(step, "the end of a release")


def test_a_release_goes_on_though_its_driver_restarts_and_goes_back_by_the_same_waves(tmp_path: Path) -> None:
    log = tmp_path / "steps"
    log.touch()
    with fleet(3, 3, STEPS.format(log=log)) as f:
        leader = settled(f)
        order = [leader, *(n for n in f.names if n != leader)]  # whoever drives it goes first
        waves = [[name] for name in order]
        for wave, why in ((["c0", "c0"], "is at wave 1, place 1"), (["c7"], "'c7'")):
            status, told = f.order("c0", "release", plan=plan("restart", wave))
            assert status == 409 and why in told["why"]
        assert f.order("c1", "release", plan=plan("restart", *waves), dry=True)[0] == 200
        assert not rollout(f, "c1")
        f.until(lambda: f.order("c1", "release", plan=plan("restart", *waves))[0] == 200)
        assert f.order("c2", "release", plan=plan("note", ["c0"]))[0] == 409  # one at a time
        ids = [f.hand_in(name) for name in f.names]
        supervise(f, lambda: len(log.read_text().splitlines()) == 2)
        second = order[1]
        f.until(lambda: f.order(order[2], "steer", verb="halt")[0] == 200, "a halt")
        supervise(
            f,
            lambda: (
                rollout(f, order[2]).get("status") == "halted"
                and all(part["state"] in (DONE, WAITS) for part in rollout(f, order[2])["parts"].values())
            ),
        )  # type: ignore
        f.until(lambda: f.order(order[2], "steer", verb="back")[0] == 200, "the way back")
        supervise(f, lambda: last(f, order[2]).get("note") == "all went back")
        told = [line.split()[0] for line in log.read_text().splitlines()]
        assert told == ["out", "out", "back", "back"] and second != leader
        supervise(f, lambda: all(f.delivered(id) == 1 for id in ids))
        f.until(lambda: f.order("c0", "release", plan=plan("note", *waves, restarts=False))[0] == 200)
        supervise(f, lambda: last(f, "c0").get("note") == "done")
        assert len(log.read_text().splitlines()) == 7 and not f.away()


@pytest.mark.parametrize(
    ("step", "more", "why"),
    [
        ("fails", {}, "ended with 3"),
        ("hangs", {"step_ms": 1500.0}, "not done within 1.5 s"),
        ("unknown", {}, "no command for step 'unknown'"),
        ("nothing", {"restarts": False, "expect": "2"}, "it says version '1', '2' was expected"),
    ],
)
def test_a_step_that_fails_hangs_or_did_nothing_halts_it(
    step: str, more: dict[str, object], why: str, tmp_path: Path
) -> None:
    with fleet(3, 3, STEPS.format(log=tmp_path / "steps")) as f:
        settled(f)
        told = plan(step, ["c1"], ["c2"], **more)
        f.until(lambda: f.order("c0", "release", plan=told)[0] == 200, "a release")
        f.until(lambda: rollout(f, "c2").get("status") == "halted", "a halt")
        assert why in str(rollout(f, "c2")["note"])
        f.until(lambda: not f.away() and not f.status("c0")["permits"], "it serves again")
        assert f.order("c2", "steer", verb="skip", courier="c1")[0] == 200
        assert f.order("c2", "steer", verb="abandon", why="enough")[0] == 200
        f.until(lambda: last(f, "c2").get("note") == "abandoned: enough")


def test_a_released_courier_that_dies_halts_it_and_a_split_decides_on_one_side(tmp_path: Path) -> None:
    with fleet(3, 3, STEPS.format(log=tmp_path / "steps")) as f:
        leader = settled(f)
        one, other = (n for n in f.names if n != leader)
        told = plan("note", [one], [other], restarts=False, soak_ms=60_000.0)
        f.until(lambda: f.order(leader, "release", plan=told)[0] == 200)
        f.until(lambda: rollout(f, leader)["parts"][one]["state"] == DONE)  # type: ignore[index]
        f.until(lambda: not f.status(leader)["permits"])
        f.kill(one)
        f.until(lambda: rollout(f, leader).get("status") == "halted", "a halt")
        assert f"{one}, released, is" in str(rollout(f, leader)["note"])
        f.start(one)
        settled(f)
        assert f.order(other, "steer", verb="skip", courier=one)[0] == 200
        assert f.order(other, "steer", verb="resume")[0] == 200
        f.cut_off(one, SILENT)
        f.until(lambda: f.views(f.leader([leader, other])).get(one) == "out")
        f.order_unheard(one, "steer", verb="back")  # in the minority
        f.until(lambda: f.order(leader, "steer", verb="halt", why="by hand")[0] == 200, "a halt")
        f.heal()
        f.until(
            lambda: all(
                rollout(f, n).get("note") == "by hand" or rollout(f, n).get("way") == BACK for n in f.names
            ),
            "one view",
        )
        assert f.order(one, "steer", verb="abandon", why="x")[0] == 200


def test_one_that_never_begins_halts_it(tmp_path: Path) -> None:
    with fleet(3, 3, STEPS.format(log=tmp_path / "steps")) as f:
        leader = settled(f)
        one, other = (n for n in f.names if n != leader)
        f.signal(one, signal.SIGSTOP)
        told = plan("note", [one], [other], restarts=False, step_ms=1200.0)
        f.until(lambda: f.order(leader, "release", plan=told)[0] == 200)
        f.until(lambda: rollout(f, leader).get("status") == "halted", "a halt")
        assert rollout(f, leader)["note"] == f"{one}: has a permit and has not begun"
        f.signal(one, signal.SIGCONT)
        f.until(lambda: not f.status(leader)["permits"] and not f.away(), "it is back")
        assert f.order(other, "steer", verb="resume")[0] == 200
        f.until(lambda: last(f, leader).get("note") == "done")
        assert len((tmp_path / "steps").read_text().splitlines()) == 2


def test_an_override_halts_it(tmp_path: Path) -> None:
    with fleet(3, 3, STEPS.format(log=tmp_path / "steps")) as f:
        leader = settled(f)
        one, other = (n for n in f.names if n != leader)
        told = plan("note", [one], restarts=False, soak_ms=60_000.0)
        f.until(lambda: f.order(leader, "release", plan=told)[0] == 200)
        f.until(lambda: rollout(f, leader)["parts"][one]["state"] == DONE)  # type: ignore[index]
        assert rollout(f, leader)["status"] == RUNNING
        assert f.order(other, "drain", despite="smoke")[0] == 200
        f.until(lambda: rollout(f, leader)["status"] == "halted")
        assert "despite the budget: smoke" in str(rollout(f, leader)["note"])


def test_released_couriers_that_give_more_up_than_the_others_halt_it(tmp_path: Path) -> None:
    """Healthy while it was idle; under load its way to the partner turns out to be broken."""
    with fleet(3, 3, STEPS.format(log=tmp_path / "steps")) as f:
        leader = settled(f)
        bad = next(n for n in f.names if n != leader)
        told = plan("note", [bad], [leader], restarts=False, soak_ms=60_000.0, least=8, band=0.2)
        f.until(lambda: f.order(leader, "release", plan=told)[0] == 200)
        f.until(lambda: rollout(f, leader)["parts"][bad]["state"] == DONE)  # type: ignore[index]
        f.until(lambda: not f.status(leader)["permits"])
        f.rest(600.0)  # all have told how they stand since
        f.to_partner[bad, "partner"].cut(RESET)
        ids = {name: [f.hand_in(name, "700m") for _ in range(20)] for name in f.names}
        f.until(lambda: rollout(f, leader)["status"] == "halted", "a halt")
        note = str(rollout(f, leader)["note"])
        assert "ends at those released were given up" in note and "0 of " in note
        f.until(lambda: all(f.delivered(id) or f.noticed(id) for sent in ids.values() for id in sent))
        f.to_partner[bad, "partner"].heal()
        assert f.order(bad, "steer", verb="back")[0] == 200
        f.until(
            lambda: (
                rollout(f, leader)["parts"][bad]
                == {  # type: ignore[index]
                    "state": DONE,
                    "way": BACK,
                    "life": 1,
                    "why": "",
                }
            )
        )
        f.deliver(bad)
        assert f.order(leader, "steer", verb="abandon", why="gone back")[0] == 200


def test_the_command_line_shows_and_steers(tmp_path: Path) -> None:
    with fleet(3, 3, STEPS.format(log=tmp_path / "steps")) as f:
        settled(f)
        file = tmp_path / "plan.toml"
        file.write_text(
            'name = "new"\nstep = "note"\nrestarts = false\nsoak = 0.2\nwaves = [["c1"], ["c2"]]\n'
        )

        def say(*words: str) -> tuple[int, str]:
            at = f"127.0.0.1:{f.ports['c0']}"
            process = subprocess.Popen(
                [sys.executable, "-m", "ashvale", "fleet", "--at", at, "--fleet", NAME, *words],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            f.until(lambda: process.poll() is not None, " ".join(words))
            assert process.stdout is not None
            return process.returncode, process.stdout.read()

        f.until(lambda: say("drain", "--why", "x", "--dry-run")[0] == 0)
        assert say("release", "plan", str(file)) == (0, "it would be granted now\n")
        file.write_text(file.read_text().replace('"c2"', '"c9"'))
        code, told = say("release", "plan", str(file))
        assert code == 1 and "wave 2, place 1: no courier is called 'c9'" in told
        file.write_text(file.read_text().replace('"c9"', '"c2"'))
        assert say("release", "start", str(file), "--why", "a <new> version")[0] == 0
        assert say("release", "watch", "--report", str(tmp_path / "report.html"))[0] == 0
        f.until(lambda: last(f, "c0").get("note") == "done")
        page = (tmp_path / "report.html").read_text()
        assert "<h1>new: done</h1>" in page and "a &lt;new&gt; version" in page and page.count("<svg") == 2
        assert not any(word in page for word in ("src=", "<link", "@import", "url(http"))  # from elsewhere
        assert "new: done; by " in say("release", "history")[1]
        assert say("release", "halt")[0] == 1 and "no release" in say("release", "status")[1]
        assert say("drain", "--courier", "c2", "--why", "disk")[0] == 0
        f.until(lambda: f.away() == ["c2"])
        code, told = say("drain", "--why", "me too")
        assert code == 1 and "1 of 3 are out already (c2)" in told and "come again in 5 s" in told
        f.until(lambda: "c2" in f.status("c0")["permits"])
        assert "c2: out by permit (drain)" in say("status")[1]
        assert say("ready", "--courier", "c2", "--wait")[0] == 0
        f.until(lambda: not f.away())
        assert say("budget", "--out", "0", "--why", "x")[0] == 1
        assert say("budget", "--out", "2", "--why", "x")[0] == 0
