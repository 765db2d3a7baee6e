"""Real couriers in processes of their own, on the laboratory's rig: faults on them and on the links between.

Every wait is for an event that is seen; no verdict rests on speed.
"""

from __future__ import annotations

import resource
import shutil
import signal
import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from ashvale.lab.relay import RESET, SILENT
from ashvale.lab.rig import Rig
from ashvale.lab.stand_ins import HERE


@contextmanager
def fleet(count: int, voters: int, steps: str = "") -> Iterator[Rig]:
    with tempfile.TemporaryDirectory() as folder:
        made = Rig(Path(folder), count, voters, steps)
        try:
            yield made
            assert not made.judge()
        finally:
            made.close()


def test_three_couriers_agree_outlive_their_leader_and_take_a_lost_one_in_again() -> None:
    with fleet(3, 3) as f:
        first = f.leader()
        for name in f.names:
            f.decide(name, f"by {name}", "1")
        f.until(lambda: f.all_hold("by c2", "1"))
        f.kill(first)
        others = [name for name in f.names if name != first]
        second = f.leader(others)
        f.decide(others[0], "after", "2")
        f.deliver(others[1])
        f.start(first)  # on its folder
        f.until(lambda: f.all_hold("after", "2"))
        assert f.status(first)["incarnation"] == 2 and not f.status(first)["lost"]
        third = first  # which has begun twice; the test once took whichever did not lead, and waited in vain
        f.kill(third)
        shutil.rmtree(f.folder(third) / "fleet")
        f.start(third)
        f.until(lambda: f.status(third).get("votes", False) and f.status(third)["incarnation"] > 2)
        f.until(lambda: f.all_hold("after", "2"))
        copy = f.folder(second) / "copy"
        shutil.copytree(f.folder(second) / "fleet", copy)
        f.decide(third, "later", "3")
        f.kill(second)
        shutil.rmtree(f.folder(second) / "fleet")
        copy.rename(f.folder(second) / "fleet")
        f.start(second)  # on an old copy, of this very incarnation
        f.until(lambda: f.status(second).get("votes", False) and f.all_hold("later", "3"))
        assert f"readmit/{second}" in f.status(second)["keys"]  # it was seen to be a copy, and taken in again


@pytest.mark.parametrize("mode", [SILENT, RESET])
def test_a_courier_that_is_cut_off_decides_nothing_delivers_on_and_learns_what_happened(mode: str) -> None:
    with fleet(3, 3) as f:
        alone = f.leader()
        f.decide(alone, "before", "1")
        f.cut_off(alone, mode)
        others = [name for name in f.names if name != alone]
        f.leader(others)
        f.decide(others[0], "meanwhile", "2")
        status, told = f.put(alone, "alone", "x")
        assert status == 409 and not told["ok"]
        f.deliver(alone)
        f.deliver(others[1])
        f.until(lambda: set(f.views(alone).values()) == {"out"})
        f.heal()
        f.leader()
        f.until(lambda: f.all_hold("meanwhile", "2"))
        assert "alone" not in f.status(others[0])["keys"]


def test_a_leader_that_is_stopped_wakes_to_a_new_one_and_a_one_way_cut_keeps_nobody_leader() -> None:
    with fleet(3, 3) as f:
        first = f.leader()
        f.signal(first, signal.SIGSTOP)
        others = [name for name in f.names if name != first]
        second = f.leader(others)
        f.decide(second, "while it slept", "1")
        f.signal(first, signal.SIGCONT)
        f.until(lambda: f.status(first).get("leader") == second or f.leader() != first)
        f.until(lambda: f.all_hold("while it slept", "1"))
        heard = f.leader()
        for (_, to), link in f.links.items():
            if to == heard:
                link.cut(SILENT)  # it is heard, and hears nobody
        f.until(lambda: f.status(heard).get("role") != "leader")
        rest = [name for name in f.names if name != heard]
        f.leader(rest)
        f.decide(rest[0], "one way", "2")
        f.deliver(heard)
        f.heal()
        f.until(lambda: f.all_hold("one way", "2"))


def test_five_with_a_follower_lose_two_and_refuse_strangers() -> None:
    with fleet(5, 3) as f:
        f.leader()
        f.decide("c4", "k", "1")  # one that does not vote
        f.until(lambda: f.all_hold("k", "1"))
        for path, body, told in [
            ("/fleet/1/east", b"x", 409),
            ("/fleet/2/west", b"x", 409),
            ("/fleet/1/west", b"x" * 40, 400),
            ("/other", b"", 404),
            ("/fleet/1/west/none", b"", 404),
            ("/fleet/1/west/put", b"{}", 400),
        ]:
            head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            assert int(f.ask(f.ports["c0"], head + body).split(b" ", 2)[1]) == told, path
        large = f"POST /fleet/1/west HTTP/1.1\r\nHost: x\r\nContent-Length: {1 << 30}\r\n\r\n".encode()
        with socket.create_connection((HERE, f.ports["c0"])) as stranger:
            stranger.sendall(large + b"x" * 100_000)  # and never the rest
            leader = f.leader()
            f.signal("c3", signal.SIGTERM)
            f.until(lambda: f.views(leader).get("c3") == "gone")
            f.start("c3")  # beside the one that leaves: it takes part once that has ended
            f.until(lambda: set(f.views(leader).values()) == {"serving"})
            gone = ["c3", next(name for name in f.voters if name != leader)]
            for name in gone:
                f.kill(name)
            f.decide("c4", "k", "2")
            f.until(lambda: {n for n, view in f.views(leader).items() if view == "out"} == set(gone))
            f.deliver("c4")


def test_links_that_trickle_jitter_end_at_a_byte_or_answer_nothing_hold_no_decision_up_for_ever() -> None:
    with fleet(3, 3) as f:
        f.leader()
        f.decide("c0", "k", "whole")
        for link in f.links.values():
            link.delay_ms, link.jitter_ms, link.trickle = 5.0, 25.0, 64
        f.decide("c1", "k", "slow")
        f.heal()
        for byte in (0, 1, 7, 60, 150, 230, 400):  # in a head, in a body, between two
            for link in f.links.values():
                link.cut_at = byte
            f.decide("c2", f"cut {byte}", "x")
        f.heal()
        leader = f.leader()
        other = next(n for n in f.names if n != leader)
        f.links[leader, other].half_open = True  # what it says arrives, and is never answered
        f.decide(leader, "half", "x")
        f.deliver(other)
        f.heal()
        f.until(lambda: f.all_hold("half", "x") and f.all_hold("cut 400", "x"))


def test_a_leader_whose_disk_is_full_leads_no_more_refuses_at_its_door_and_takes_part_again() -> None:
    with fleet(3, 3) as f:
        leader = f.leader()
        f.decide(leader, "before", "1")
        process = f.processes[leader]
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))  # no write succeeds
        status, told = f.put(leader, "full", "x")  # which once was never answered
        assert status == 409 and "not saved" in told["why"]
        others = [n for n in f.names if n != leader]
        f.leader(others)
        f.decide(others[0], "after", "2")
        assert f.sent[f.hand_in(leader)] != b"HTTP/1.1 202"
        f.deliver(others[1])
        assert "not saved" in f.status(leader)["why"]
        f.kill(leader)
        f.start(leader)
        f.until(lambda: f.all_hold("after", "2"))
        f.decide(leader, "again", "3")
