"""A fleet of real couriers and partners that are out for a while, each by a sign of its own.

Each partner is a destination with endpoints that fail from `OUT_MS` on for `OUTAGE_MS`, as in the report of
incident 5290f7: one courier is killed in the outage, and endpoints are replaced. What arrived is judged by
STANDING.md's rule; which couriers had seen the outage is read from their own logs.
"""

from __future__ import annotations

import enum
import json
import os
import re
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from ashvale import interface as api
from ashvale.lab.outages import ColdLoad, judge
from ashvale.lab.partner import Arrival
from ashvale.lab.rig import free_ports
from ashvale.lab.stand_ins import (
    DROP,
    HERE,
    STALL,
    Call,
    Discovery,
    Endpoint,
    answer,
    batch_ids,
    request,
    settings,
)
from ashvale.loop import Broken, Coroutine, Expired, Listener, Loop, connect, sleep

COURIERS = 36
RATE = 4.0  # calls a second that a partner takes, and messages a second for each
OUT_MS, OUTAGE_MS, WARM_UP_MS = 2000.0, 8000.0, 11_000.0
KILL_MS, START_MS = 5600.0, 6200.0  # of the first courier
REPLACED_MS = 5500.0, 6500.0  # when an endpoint is added, and when another begins to drain
TIMEOUT_MS = 16_000.0
READY_MS = 60_000.0
CONTRACT = {
    "drain_grace_ms": 2000.0,
    "cold_share": 0.19,
    "warm_up_ms": WARM_UP_MS,
    "overload_factor": 2.0,
    "overload_for_ms": 3000.0,
}


class Sign(enum.Enum):
    """How a call to a partner that is out ends."""

    REFUSED = "connection refused"
    HUNG = "no answer"
    RESET = "connection closed behind the request"
    CUT = "answer cut off"
    BUSY = "429"
    SHUT = "503"
    SHORT_WAIT = "503 with a wait of 0.3 s"
    ERROR = "500"


_ANSWERS: dict[Sign, bytes | str] = {
    Sign.HUNG: STALL,
    Sign.RESET: DROP,
    Sign.CUT: b"HTTP/1.1 200",
    Sign.BUSY: answer(429),
    Sign.SHUT: answer(503),
    Sign.SHORT_WAIT: answer(503, x_come_back_ms="300"),
    Sign.ERROR: answer(500),
}


@dataclass(frozen=True)
class Case:
    """One partner: how its outage shows, how many endpoints it has, and how much more comes in the outage."""

    sign: Sign
    endpoints: int = 2
    backlog: float = 1.0

    def __str__(self) -> str:
        return f"{self.sign.name.lower()}-{self.endpoints}-endpoints-backlog-{self.backlog:g}"


@dataclass
class Partner:
    """A destination, its endpoints and what arrived at them while they were up (time, courier)."""

    case: Case
    block: int
    out: bool = False
    endpoints: list[PartnerEndpoint] = field(default_factory=list)
    arrivals: list[tuple[float, int]] = field(default_factory=list)


class PartnerEndpoint(Endpoint):
    """An endpoint that answers as its partner does now."""

    def __init__(self, loop: Loop, partner: Partner) -> None:
        super().__init__(loop, took=lambda: 1.0 if partner.out else 40.0)
        self.partner, self.breaks = partner, True
        self.usual = self._answer  # type: ignore[method-assign]
        if partner.case.sign is Sign.REFUSED:  # it listens again, at a port that nobody is given meanwhile
            self.listener.close()
            self.listener = Listener(loop, (HERE, free_ports(1)[0]), self._serve, 100, "endpoint")
            self.dial = f"{HERE}:{self.listener.address[1]}"

    def _answer(self, call: Call) -> bytes:
        """What a stand-in does with the call: bytes to send, or what else becomes of it."""
        if self.partner.out:
            return _ANSWERS[self.partner.case.sign]  # type: ignore[return-value]
        id = call.headers.get("request-id") or batch_ids(call.body)[0]
        self.partner.arrivals.append((self.loop.now(), courier_of(id)))
        return Endpoint.usual(call)

    def close(self) -> None:
        """Refuse connections from now on, and end those that are open."""
        self.listener.close()
        for connection in list(self.listener.open):
            connection.close()

    def open(self) -> None:
        """Listen again, at the address that is listed."""
        self.listener = Listener(self.loop, self.listener.address, self._serve, 100, "endpoint")


def courier_of(id: str) -> int:
    """The courier that a message was handed to, by its id."""
    return int(id.split("-")[0])


class Fleet:
    """Real couriers, their partners and clients, on one loop."""

    def __init__(self, folder: Path, cases: list[Case], seed: int) -> None:
        self.folder, self.loop, self.random = folder, Loop(), Random(seed)
        self.discovery = Discovery(self.loop)
        self.partners = [Partner(case, number + 1) for number, case in enumerate(cases)]
        for partner in self.partners:
            for _ in range(partner.case.endpoints):
                self._add_endpoint(partner)
        self.ports = free_ports(COURIERS)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.sent = 0
        told = settings(
            {
                "peers_total": COURIERS,
                "contract": CONTRACT,
                "weight_kind": "nominal",
                "limits": {"max_open": 400},
                "family_info": {"max_calls": 32},
            }
        )
        for number in range(COURIERS):
            place = self._place(number)
            place.mkdir()
            config = {"settings": told, "limits": {"disk_mb": 3}, "known": self.discovery.whole()}
            (place / "config.json").write_text(json.dumps(config))
            self.processes.append(self._start(number))

    def _place(self, number: int) -> Path:
        return self.folder / f"n{number}"

    def _add_endpoint(self, partner: Partner) -> PartnerEndpoint:
        endpoint = PartnerEndpoint(self.loop, partner)
        partner.endpoints.append(endpoint)
        name = f"s-{partner.block}-{len(partner.endpoints)}"
        self.discovery.list(name, endpoint, partner.block)
        self.discovery.hosts[name]["share"] = RATE
        return endpoint

    def _start(self, number: int) -> subprocess.Popen[bytes]:
        place = self._place(number)
        told = {
            "LB_CONFIG": str(place / "config.json"),
            "LB_STATE": str(place),
            "LB_LISTEN": f"{HERE}:{self.ports[number]}",
            "LB_DISCOVERY": f"{HERE}:{self.discovery.listener.address[1]}",
            "ASHVALE_LOG": "DEBUG",
        }
        with (place / "log").open("ab") as log:
            return subprocess.Popen([sys.executable, "-m", "ashvale"], stderr=log, env={**os.environ, **told})

    def play(self) -> None:
        """Play from second 0, when all couriers are ready, until the partners are warm."""
        self._until_ready()
        self.began, self.wall = self.loop.now(), time.time()
        for partner in self.partners:
            self.loop.spawn(self._clients(partner), "clients")
            self.loop.spawn(self._outage(partner), "outage")
            self.loop.spawn(self._replace(partner), "replace")
        self.loop.spawn(self._restart(), "restart")
        end = self.began + OUT_MS + OUTAGE_MS + WARM_UP_MS
        while self.loop.now() < end:
            self.loop.turn(20.0)

    def _until_ready(self) -> None:
        end = self.loop.now() + READY_MS
        for number in range(COURIERS):
            log = self._place(number) / "log"
            while b"event=serving" not in log.read_bytes():
                assert self.loop.now() < end, "a courier is not ready"
                self.loop.turn(20.0)

    def _wait_until(self, since_start_ms: float) -> Coroutine[None]:
        yield from sleep(self.loop, self.began + since_start_ms - self.loop.now())

    def _clients(self, partner: Partner) -> Coroutine[None]:
        """Hand messages in at couriers drawn evenly; more in the outage, where the case says so."""
        random = Random(self.random.random())
        while True:
            more = partner.case.backlog if partner.out else 1.0
            yield from sleep(self.loop, random.expovariate(RATE * more / 1000.0))
            self.sent += 1
            courier = random.randrange(COURIERS)
            id = f"{courier}-{self.sent}"
            self.loop.spawn(self._hand_in(courier, id, partner.block), "hand in")

    def _hand_in(self, courier: int, id: str, block: int) -> Coroutine[None]:
        until = self.loop.now() + 1000.0
        try:
            connection = yield from connect(self.loop, (HERE, self.ports[courier]), until)
            yield from connection.send(request("rate-update", id, block, timeout=f"{TIMEOUT_MS:.0f}m"), until)
            yield from connection.receive(until)
            connection.close()
        except (Broken, Expired):
            pass  # the courier was killed

    def _outage(self, partner: Partner) -> Coroutine[None]:
        yield from self._wait_until(OUT_MS)
        partner.out = True
        if partner.case.sign is Sign.REFUSED:
            for endpoint in partner.endpoints:
                endpoint.close()
        yield from self._wait_until(OUT_MS + OUTAGE_MS)
        partner.out = False
        if partner.case.sign is Sign.REFUSED:
            for endpoint in partner.endpoints:
                endpoint.open()

    def _replace(self, partner: Partner) -> Coroutine[None]:
        """One endpoint more, and one less, while the partner is out."""
        yield from self._wait_until(REPLACED_MS[0])
        added = self._add_endpoint(partner)
        if partner.case.sign is Sign.REFUSED:
            added.close()
        yield from self._wait_until(REPLACED_MS[1])
        self.discovery.list(f"s-{partner.block}-1", partner.endpoints[0], partner.block, health="DRAINING")

    def _restart(self) -> Coroutine[None]:
        yield from self._wait_until(KILL_MS)
        self.processes[0].kill()
        self.processes[0].wait()
        yield from self._wait_until(START_MS)
        self.processes[0] = self._start(0)

    def judge(self, partner: Partner) -> ColdLoad:
        """What the partner got since it came back, by the rule on cold servers."""
        back = self.began + OUT_MS + OUTAGE_MS
        seen = self._saw_outage(partner)
        arrivals = [Arrival(at, n, seen.get(n, float("inf")) <= at) for at, n in partner.arrivals]
        contract = api.Settings((), cold_share=0.19, warm_up_ms=WARM_UP_MS, overload_for_ms=3000.0)
        return judge(arrivals, contract, RATE, back)

    def _saw_outage(self, partner: Partner) -> dict[int, float]:
        """When each courier first read that a call made in the outage had failed, by its own log."""
        found: dict[int, float] = {}
        pattern = re.compile(rf"at=([\d.]+) .*event=attempt .*endpoint=s-{partner.block}-\d+ outcome=(\w+)")
        for number in range(COURIERS):
            for line in (self._place(number) / "log").read_text().splitlines():
                if (match := pattern.search(line)) and match[2] != "ok":
                    at = self.began + 1000.0 * (float(match[1]) - self.wall)
                    if at >= self.began + OUT_MS:
                        found.setdefault(number, at)
        return found

    def close(self) -> None:
        """End every process and stand-in."""
        for process in self.processes:
            process.kill()
            process.wait()
        endpoints = [endpoint for partner in self.partners for endpoint in partner.endpoints]
        for listener in [self.discovery.listener, *(endpoint.listener for endpoint in endpoints)]:
            listener.close()
            for connection in list(listener.open):
                connection.close()
        self.loop.close()


@contextmanager
def fleet(folder: Path, cases: list[Case], seed: int) -> Iterator[Fleet]:
    """A fleet that is closed however its play ended."""
    made = Fleet(folder, cases, seed)
    try:
        yield made
    finally:
        made.close()
