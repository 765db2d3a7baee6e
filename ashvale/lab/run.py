"""One run in virtual time: the real courier among stand-ins, with a disk that may fail, judged at the edges.

It owns the order of a run: what is listed, handed in and broken when, and the restart after a kill. It must
never reach into a courier to make a run go well; what it asks one is only whether it still owes anything.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Optional

from ashvale import config
from ashvale.courier import Courier
from ashvale.journal import Full
from ashvale.lab.disk import Killed, MemoryDisk
from ashvale.lab.judge import Broken, Edges, judge
from ashvale.lab.stand_ins import Discovery, Endpoint, hand_in, settings
from ashvale.lab.virtual import Process, VirtualLoop
from ashvale.loop import Address

DOWN_MS = 300.0  # a courier that was killed begins again after so long
GIVE_UP_MS = 90_000.0  # a run that has not come to its end by then, after the last message, is ended
SILENT_MS = 900.0  # machines that are cut off are back after so long, before the system asks again
LISTEN: Address = ("127.0.0.1", 7000)
AGENT: Address = ("127.0.0.1", 7001)


@dataclass(frozen=True)
class Partner:
    """An endpoint: `took` is its time for a call, `script` what it does with its first ones."""

    name: str
    block: int = 1
    kind: str = "direct"
    script: tuple[bytes | str, ...] = ()
    took: Callable[[], float] = lambda: 20.0


@dataclass(frozen=True)
class Message:
    """A message that a client hands in at a time."""

    at: float
    id: str
    cls: str = "rate-update"
    dest: int = 1
    timeout_ms: float = 16000.0


@dataclass(frozen=True)
class Trouble:
    """What happens at a time, or with the n-th call that reaches a partner, then `at` says how long after."""

    what: Callable[[Rehearsal], None]
    at: float = 0.0
    call: int = 0


@dataclass(frozen=True)
class Scenario:
    """All that a run is made of; `faults` of the disk are by number of the call."""

    partners: tuple[Partner, ...]
    messages: tuple[Message, ...]
    troubles: tuple[Trouble, ...] = ()
    faults: dict[int, str] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)
    disk_mb: float = 3.0
    environ: dict[str, str] = field(default_factory=dict)
    delay_ms: float = 0.2


@dataclass(frozen=True)
class Result:
    """What came of a run. Two runs of one scenario have the same digests."""

    broken: list[Broken]
    counts: dict[str, int]
    digest: str  # of all that passed at the edges
    written: str  # of all that was written to the disk
    writes: int
    virtual_ms: float
    real_ms: float
    edges: Edges


class Rehearsal:
    """A run under way."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.loop = VirtualLoop(lambda source, target: scenario.delay_ms)
        self.edges, self.disk = Edges(), MemoryDisk(self._struck)
        self.disk.faults = dict(scenario.faults)
        self.discovery = Discovery(self.loop, self.edges, AGENT)
        self.endpoints: dict[str, Endpoint] = {}
        for partner in scenario.partners:
            made = self.endpoints[partner.name] = Endpoint(
                self.loop, *partner.script, name=partner.name, edges=self.edges, took=partner.took
            )
            self.edges.partners[partner.name] = f"partner {partner.block}"
            self.discovery.list(partner.name, made, partner.block, partner.kind)
        self.process: Optional[Process] = None
        self.courier: Optional[Courier] = None
        self._by_call = [trouble for trouble in scenario.troubles if trouble.call]
        self.edges.on_call = self._called

    # What troubles may do

    def start(self) -> None:
        """Start the courier on what lies on the disk, unless it runs."""
        if self.process is not None and self.process.alive:
            return
        self.process = Process(self.loop)
        file = self.folder / "config.json"
        file.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "seed": "1f",
                    "settings": settings(self.scenario.settings),
                    "limits": {"disk_mb": self.scenario.disk_mb},
                    "known": self.discovery.whole(),
                }
            )
        )
        try:
            self.courier = Courier(
                config.load(
                    {
                        "LB_CONFIG": str(file),
                        "LB_STATE": str(self.folder),
                        "LB_LISTEN": _text(LISTEN),
                        "LB_DISCOVERY": _text(AGENT),
                        **self.scenario.environ,
                    }
                ),
                self.process,
                self.disk,
            )
        except Killed:
            pass
        except (Full, OSError):  # it cannot start; whoever keeps it running tries again
            self.process.kill()
            self._again()

    def kill(self) -> None:
        """SIGKILL: nothing of the process runs on, and it begins again after a while."""
        if self.courier is not None:
            self.disk.life += 1
            self._struck()

    def leave(self) -> None:
        """SIGTERM; it begins again once it has ended."""
        if self.courier is not None and self.process is not None and not self.courier.leaving:
            self.courier.leave()
            process = self.process

            def watch() -> None:
                if process.alive:
                    self.loop.call_at(self.loop.now() + 10.0, watch)
                else:
                    self.edges.killed(self.loop.now())
                    self._again()

            watch()

    def drain(self) -> None:
        """The first endpoint drains; two seconds later it is gone, and comes back under its old address."""
        self._tell("DRAINING")
        self.loop.call_at(self.loop.now() + 2000.0, lambda: self._tell("GONE"))
        self.loop.call_at(self.loop.now() + 2500.0, lambda: self._tell("SERVING"))

    def _tell(self, health: str) -> None:
        self.discovery.hosts[next(iter(self.endpoints))]["health"] = health
        self.discovery.seq += 1
        self.discovery.changed.fire()

    def deaf(self) -> None:
        """Discovery is down for a while, its notices too."""
        self.discovery.down, self.discovery.refuse = True, 8

        def up() -> None:
            self.discovery.down = False
            self.discovery.changed.fire()

        self.loop.call_at(self.loop.now() + 1500.0, up)

    def moved(self) -> None:
        """All connections to partners are reset."""
        self.edges.reset(self.loop.now())
        partners = {endpoint.listener.address for endpoint in self.endpoints.values()}
        for sock in list(self.loop.net.open.values()):
            if sock.peer is not None and sock.local in partners:
                sock.cut()

    def silent(self) -> None:
        """Every second partner's machine is cut off for a while: connections hang, new ones come up late."""
        cut = list(self.endpoints.values())[::2]
        for endpoint in cut:
            self.loop.net.silent.add(endpoint.listener.address)
            self.edges.silenced(self.loop.now(), endpoint.name)

        def heard() -> None:
            for endpoint in cut:
                self.loop.net.heard(endpoint.listener.address)
                self.edges.heard(self.loop.now(), endpoint.name)

        self.loop.call_at(self.loop.now() + SILENT_MS, heard)

    def _struck(self) -> None:
        self.edges.killed(self.loop.now())
        if self.courier is not None:
            self.courier.exchange.halted = True
        if self.process is not None:
            self.process.kill()
        self._again()

    def _again(self) -> None:
        self.courier = None
        self.loop.call_at(self.loop.now() + DOWN_MS, self.start)

    def _called(self, number: int) -> None:
        for trouble in self._by_call:
            if trouble.call == number:
                self._later(self.loop.now() + trouble.at, trouble)

    # The run

    def play(self) -> Result:
        """Play it to its end."""
        began, last = time.perf_counter(), max((m.at for m in self.scenario.messages), default=0.0)
        self.start()
        for message in self.scenario.messages:
            self._hand_in(message)
        for trouble in self.scenario.troubles:
            if not trouble.call:
                self._later(trouble.at, trouble)
        while self.loop.now() < last + GIVE_UP_MS:
            if self.loop.now() > last + 1000.0 and self._settled():
                break
            try:
                self.loop.turn(100.0)
            except Killed:
                pass
        if self.courier is not None:
            self.courier.halt()
        counts = Counter("delivered" if call.how == "200" else call.how or "cut" for call in self.edges.calls)
        counts.update(f"notice {state}" for told in self.edges.told.values() for _, state in told.notices)
        counts.update(
            f"answer {status or 'none'}" for told in self.edges.told.values() for _, status in told.answers
        )
        over = self.loop.now()
        return Result(
            judge(self.edges, over),
            dict(sorted(counts.items())),
            self.edges.digest,
            self.disk.digest.hexdigest(),
            self.disk.calls,
            over,
            (time.perf_counter() - began) * 1000.0,
            self.edges,
        )

    def _settled(self) -> bool:
        known = all(told.answers for told in self.edges.told.values())
        return known and self.courier is not None and self.courier.exchange.idle

    def _later(self, at: float, trouble: Trouble) -> None:
        self.loop.call_at(at, lambda: trouble.what(self))

    def _hand_in(self, m: Message) -> None:
        def begin() -> None:
            self.loop.spawn(hand_in(self.loop, LISTEN, self.edges, m.cls, m.id, m.dest, m.timeout_ms), m.id)

        self.loop.call_at(m.at, begin)


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def play(scenario: Scenario) -> Result:
    """Play a scenario in a folder that is gone afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        return Rehearsal(scenario, Path(folder)).play()


__all__ = ["Message", "Partner", "Rehearsal", "Result", "Scenario", "Trouble", "play"]
