"""Real couriers in processes of their own, a relay on each directed link between them, and faults on both.

Every wait is for an event that is seen; no verdict rests on speed.
"""

from __future__ import annotations

import json
import shutil
import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from ashvale.lab.relay import RESET, SILENT, Relay
from ashvale.lab.stands import HERE
from tests.stage import Endpoint, Scene, request, scene
from tests.test_main import Program, ask

TIMES = 'election = "400 ms"\nbeat = "80 ms"\nevery = "150 ms"\nsuspect = "800 ms"\nfollow = "200 ms"\n'


def free_ports(count: int) -> list[int]:
    held = [socket.create_server((HERE, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Fleet:
    """`count` couriers; `voters` of them vote."""

    def __init__(self, s: Scene, count: int, voters: int) -> None:
        self.s, self.endpoint = s, s.endpoint()
        self.names = [f"c{n}" for n in range(count)]
        self.ports = dict(zip(self.names, free_ports(count), strict=True))
        self.links = {(a, b): Relay(s.loop, (HERE, self.ports[b]))
                      for a in self.names for b in self.names if a != b}
        self.voters, self.programs = self.names[:voters], dict[str, Program]()
        self.sent = 0
        for name in self.names:
            self.start(name)

    def folder(self, name: str) -> Path:
        return self.s.folder / name

    def start(self, name: str) -> None:
        self.folder(name).mkdir(exist_ok=True)
        peers = "".join(
            f'[[fleet.peer]]\nname = "{other}"\nvotes = {str(other in self.voters).lower()}\naddress = '
            f'"{HERE}:{self.ports[name] if other == name else self.links[name, other].address[1]}"\n'
            for other in self.names)
        file = self.folder(name) / "own.toml"
        file.write_text(f'[fleet]\nname = "west"\ncourier = "{name}"\n{TIMES}{peers}')
        self.programs[name] = Program(self.s, LB_STATE=str(self.folder(name)), ASHVALE_SETTINGS=str(file))

    def call(self, name: str, method: str, what: str, body: str = "") -> tuple[int, Any]:
        head = f"{method} /fleet/1/west/{what} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        data = ask(self.s, self.ports[name], head.encode() + body.encode())
        if b"\r\n\r\n" not in data:
            return 0, None
        status, text = int(data.split(b" ", 2)[1]), data.partition(b"\r\n\r\n")[2]
        try:
            return status, json.loads(text)
        except ValueError:  # a long answer came in pieces; ask again
            return 0, None

    def status(self, name: str) -> dict[str, Any]:
        return self.call(name, "GET", "status")[1] or {}

    def put(self, name: str, key: str, data: str) -> tuple[int, Any]:
        return self.call(name, "POST", "put", json.dumps({"key": key, "data": data}))

    def until(self, condition: Callable[[], bool]) -> None:
        """Look again and again, with the relays running in between."""
        self.s.until(lambda: (self.s.rest(60.0), condition())[1], 40_000.0)

    def leader(self, among: list[str] | None = None) -> str:
        """Wait until those named know of one leader, which leads."""
        found: list[str] = []

        def agreed() -> bool:
            told = [self.status(name) for name in among or self.names]
            leads = {one.get("leader") for one in told}
            found[:] = [str(leads.copy().pop())] if len(leads) == 1 and all(leads) else []
            return bool(found) and found[0] in (among or self.names) and (
                self.status(found[0]).get("role") == "leader")

        self.until(agreed)
        return found[0]

    def decide(self, name: str, key: str, data: str) -> None:
        self.until(lambda: self.put(name, key, data)[0] == 200)

    def all_hold(self, key: str, data: str) -> bool:
        return all(self.status(name).get("keys", {}).get(key, {}).get("data") == data for name in self.names)

    def deliver(self, name: str) -> None:
        """A message handed in there arrives, whatever the fleet does."""
        self.sent += 1
        id = f"m{self.sent}"
        assert self.programs[name].ask(request("rate-update", id)).startswith(b"HTTP/1.1 202 ")
        self.s.until(lambda: any(call.headers["request-id"] == id for call in self.endpoint.calls))

    def cut_off(self, name: str, mode: str) -> None:
        for (a, b), link in self.links.items():
            if name in (a, b):
                link.cut(mode)

    def heal(self) -> None:
        for link in self.links.values():
            link.heal()


@contextmanager
def fleet(count: int, voters: int) -> Iterator[Fleet]:
    with scene() as s:
        made = Fleet(s, count, voters)
        try:
            yield made
        finally:
            for program in made.programs.values():
                if program.process.poll() is None:
                    program.process.send_signal(signal.SIGCONT)
                    program.end(signal.SIGKILL)
            for link in made.links.values():
                link.close()


def test_three_couriers_agree_outlive_their_leader_and_take_a_lost_one_in_again() -> None:
    with fleet(3, 3) as f:
        first = f.leader()
        for name in f.names:
            f.decide(name, f"by {name}", "1")
        f.until(lambda: f.all_hold("by c2", "1"))
        f.programs[first].end(signal.SIGKILL)
        others = [name for name in f.names if name != first]
        second = f.leader(others)
        f.decide(others[0], "after", "2")
        f.deliver(others[1])
        f.start(first)  # on its folder
        f.until(lambda: f.all_hold("after", "2"))
        assert f.status(first)["incarnation"] == 2 and not f.status(first)["lost"]
        third = next(name for name in f.names if name != second)
        f.programs[third].end(signal.SIGKILL)
        shutil.rmtree(f.folder(third) / "fleet")
        f.start(third)
        f.until(lambda: f.status(third).get("votes", False) and f.status(third)["incarnation"] > 2)
        f.until(lambda: f.all_hold("after", "2"))
        copy = f.folder(second) / "copy"
        shutil.copytree(f.folder(second) / "fleet", copy)
        f.decide(third, "later", "3")
        f.programs[second].end(signal.SIGKILL)
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
        f.until(lambda: all(one["status"] == "out" for one in f.status(alone)["members"][1:]))
        f.heal()
        f.leader()
        f.until(lambda: f.all_hold("meanwhile", "2"))
        assert "alone" not in f.status(others[0])["keys"]


def test_a_leader_that_is_stopped_wakes_to_a_new_one_and_a_one_way_cut_keeps_nobody_leader() -> None:
    with fleet(3, 3) as f:
        first = f.leader()
        f.programs[first].process.send_signal(signal.SIGSTOP)
        others = [name for name in f.names if name != first]
        second = f.leader(others)
        f.decide(second, "while it slept", "1")
        f.programs[first].process.send_signal(signal.SIGCONT)
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
                ("/fleet/1/east", b"x", 409), ("/fleet/2/west", b"x", 409), ("/fleet/1/west", b"x" * 40, 400),
                ("/other", b"", 404), ("/fleet/1/west/none", b"", 404), ("/fleet/1/west/put", b"{}", 400)]:
            head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            assert int(ask(f.s, f.ports["c0"], head + body).split(b" ", 2)[1]) == told, path
        large = f"POST /fleet/1/west HTTP/1.1\r\nHost: x\r\nContent-Length: {1 << 30}\r\n\r\n".encode()
        with socket.create_connection((HERE, f.ports["c0"])) as stranger:
            stranger.sendall(large + b"x" * 100_000)  # and never the rest
            leader = f.leader()
            f.programs["c3"].process.send_signal(signal.SIGTERM)
            f.until(lambda: "gone" in {m["status"] for m in f.status(leader)["members"] if m["name"] == "c3"})
            f.start("c3")  # beside the one that leaves: it takes part once that has ended
            f.until(lambda: {m["status"] for m in f.status(leader)["members"]} == {"serving"})
            gone = ["c3", next(name for name in f.voters if name != leader)]
            for name in gone:
                f.programs[name].end(signal.SIGKILL)
            f.decide("c4", "k", "2")
            f.until(lambda: {m["name"] for m in f.status(leader)["members"]
                             if m["status"] == "out"} == set(gone))
            f.deliver("c4")


__all__ = ["Endpoint"]
