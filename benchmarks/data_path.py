"""CPU and memory of one real courier for each message: taken, journalled, delivered over HTTP, forgotten.

`python benchmarks/data_path.py [MESSAGES ...]`; the program as `run` starts it, with eight clients that keep
their connections and four endpoints that answer after 20 ms, all in this process. Prints one row each.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from ashvale.lab.stand_ins import HERE, Discovery, Endpoint, request, settings
from ashvale.loop import FOREVER, Coroutine, Loop, connect, sleep

MESSAGES = (500, 1000, 2000, 4000)
CLIENTS, ENDPOINTS, CALLS = 8, 4, 32
GAP_MS = 25.0  # between two messages of one client: 300 a second in all, which the endpoints keep up with
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096 / 1e6


class Run:
    """One courier and its surroundings."""

    def __init__(self, folder: Path) -> None:
        self.loop = Loop()
        self.discovery = Discovery(self.loop)
        self.endpoints = [Endpoint(self.loop) for _ in range(ENDPOINTS)]
        for number, endpoint in enumerate(self.endpoints):
            self.discovery.list(f"s-{number}", endpoint, block=1 + number)
        changes = {"limits": {"max_open": 1000}, "family_info": {"max_calls": CALLS}}
        told = {"settings": settings(changes), "known": self.discovery.whole()}
        (folder / "config.json").write_text(json.dumps(told))
        environ = {
            "LB_CONFIG": str(folder / "config.json"),
            "LB_STATE": str(folder),
            "LB_LISTEN": f"{HERE}:0",
            "LB_DISCOVERY": f"{HERE}:{self.discovery.listener.address[1]}",
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ashvale"], stderr=subprocess.PIPE, env={**os.environ, **environ}
        )
        assert self.process.stderr is not None
        line = b""
        while b"serving" not in line:
            line = self.process.stderr.readline()
        found = re.search(rb"listen_platform\W+[\d.]+:(\d+)", line)
        assert found is not None
        self.port = int(found[1])
        self.answered = 0

    def client(self, first: int, count: int) -> Coroutine[None]:
        connection = yield from connect(self.loop, (HERE, self.port), FOREVER)
        for number in range(first, first + count):
            data = request("rate-update", f"m{number}", 1 + number % ENDPOINTS)
            yield from connection.send(data, FOREVER)
            yield from connection.receive(FOREVER)
            self.answered += 1
            yield from sleep(self.loop, GAP_MS)

    def until(self, delivered: int) -> None:
        while sum(len(endpoint.calls) for endpoint in self.endpoints) < delivered:
            self.loop.turn(20.0)

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        assert self.process.stderr is not None
        self.process.stderr.close()


def measure(messages: int) -> tuple[float, float]:
    """Microseconds of CPU a message, and resident megabytes at the end."""
    with tempfile.TemporaryDirectory() as name:
        run = Run(Path(name))
        try:
            began = cpu_seconds(run.process.pid)
            each = messages // CLIENTS
            for client in range(CLIENTS):
                run.loop.spawn(run.client(client * each, each), "client")
            run.until(each * CLIENTS)
            used = cpu_seconds(run.process.pid) - began
            return used / (each * CLIENTS) * 1e6, resident_mb(run.process.pid)
        finally:
            run.end()


def main() -> None:
    print("| messages | us of CPU a message | MB resident |\n| --- | --- | --- |")
    for messages in [int(word) for word in sys.argv[1:]] or MESSAGES:
        cpu, memory = measure(messages)
        print(f"| {messages} | {cpu:.0f} | {memory:.1f} |", flush=True)


if __name__ == "__main__":
    main()
