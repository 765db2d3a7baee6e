"""What tracing costs a courier: CPU, memory and bytes written, for each message.

    python benchmarks/trace_cost.py [--seconds 20] [--rounds 5] [--rates 120,350] [--against CHECKOUT]

Starts couriers one at a time as the platform would, against stand-ins on the loopback, at steady rates:
tracing off, on at 1 % and on at 100 %, in turn, so many rounds; prints medians with the least and the most.
With `--against` the same load goes to another checkout too, tracing off. It takes rounds x rates x cases x
seconds, and wants three cores to itself.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections import deque
from pathlib import Path
from statistics import median

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ashvale.loop import FOREVER, Broken, Coroutine, Expired, Loop, Signal, connect, sleep  # noqa: E402
from tests.stage import SETTINGS, Discovery, Endpoint, request  # noqa: E402

DESTS, CLIENTS = 30, 40


class Load:
    """So many messages a second on connections that are kept; what finds none free waits in line."""

    def __init__(self, loop: Loop, port: int) -> None:
        self.loop, self.port, self.due = loop, port, deque[bytes]()
        self.more, self.answers = Signal(), dict[str, int]()
        self.tasks = [loop.spawn(self._client(), "client") for _ in range(CLIENTS)]

    def _client(self) -> Coroutine[None]:
        connection = None
        while True:
            while not self.due:
                yield self.more, FOREVER
            data = self.due.popleft()
            try:
                if connection is None:
                    where, until = ("127.0.0.1", self.port), self.loop.now() + 2000.0
                    connection = yield from connect(self.loop, where, until)
                yield from connection.send(data, self.loop.now() + 2000.0)
                head = yield from connection.receive(self.loop.now() + 2000.0)
            except (Broken, Expired):
                head, connection = b"HTTP/1.1 000", None
            word = head[9:12].decode()
            self.answers[word] = self.answers.get(word, 0) + 1
            if connection is not None and (b"close" in head or connection.stale):
                connection.close()
                connection = None

    def run(self, rate: float, seconds: float) -> Coroutine[None]:
        start, count = self.loop.now(), 0
        while (now := self.loop.now()) < start + seconds * 1000.0:
            while count < (now - start) / 1000.0 * rate:
                count += 1
                self.due.append(
                    request(
                        "rate-update",
                        f"{count:016x}",
                        dest=count % DESTS + 1,
                        body=b"x" * 212,
                        timeout="28000m",
                    )
                )
            self.more.fire()
            yield from sleep(self.loop, 4.0)


def once(checkout: Path, share: float | None, rate: float, seconds: float) -> dict[str, float]:
    """One courier for one stretch of load; figures for each message that it answered with 202."""
    loop = Loop()
    discovery = Discovery(loop)
    endpoints = [Endpoint(loop) for _ in range(DESTS)]
    for number, endpoint in enumerate(endpoints, 1):
        discovery.list(f"s-{number:08x}", endpoint, block=number)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "state").mkdir()
        settings = json.loads(json.dumps(SETTINGS)) | {"tick_ms": 5.0}
        settings["family_info"]["max_calls"], settings["limits"]["max_open"] = 64, 4000
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n1",
                    "seed": "1f",
                    "settings": settings,
                    "known": discovery.whole(),
                    "limits": {"disk_mb": 3, "sockets": 256},
                }
            )
        )
        (folder / "own.toml").write_text(
            "[trace]\n"
            if share is None
            else (f'[trace]\nenabled = true\nshare = "{share * 100:g} %"\nbudget = "1 MB"\n')
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "ashvale"],
            cwd=checkout,
            stderr=subprocess.PIPE,
            env={
                **os.environ,
                "LB_CONFIG": str(folder / "config.json"),
                "LB_STATE": str(folder / "state"),
                "LB_LISTEN": "127.0.0.1:0",
                "LB_DISCOVERY": f"127.0.0.1:{discovery.listener.address[1]}",
                "ASHVALE_SETTINGS": str(folder / "own.toml"),
                "PYTHONPATH": str(checkout),
            },
        )
        try:
            assert process.stderr is not None
            line = b""
            while b"listen_platform=" not in line:
                line = process.stderr.readline()
            port = int(line.split(b"listen_platform=127.0.0.1:")[1].split()[0])
            load = Load(loop, port)
            finish(loop, load.run(rate, 2.0))
            before = figures(process.pid)
            load.answers.clear()
            finish(loop, load.run(rate, seconds))
            after = figures(process.pid)
            taken = load.answers.get("202", 0)
            return {
                "cpu_us": (after["cpu"] - before["cpu"]) / taken * 1e6,
                "written": (after["written"] - before["written"]) / taken,
                "rss_mb": after["rss"] / 1024,
                "peak_mb": after["peak"] / 1024,
                "taken": taken / (rate * seconds),
            }
        finally:
            process.kill()
            process.wait()
            for listener in [discovery.listener, *(e.listener for e in endpoints)]:
                listener.close()
                for connection in list(listener.open):
                    connection.close()
            loop.close()


def finish(loop: Loop, steps: Coroutine[None]) -> None:
    task = loop.spawn(steps, "load")
    while not task.done:
        loop.turn(20.0)


def figures(pid: int) -> dict[str, float]:
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    io = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
    return {
        "cpu": (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK"),
        "written": float(io["wchar"]),
        "rss": float(status["VmRSS"].split()[0]),
        "peak": float(status["VmHWM"].split()[0]),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description="What tracing costs a courier.")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--rates", default="120,350")
    parser.add_argument("--against", type=Path, help="another checkout, run with tracing off")
    told = parser.parse_args()
    cases: list[tuple[str, Path, float | None]] = [
        ("off", ROOT, None),
        ("1 %", ROOT, 0.01),
        ("100 %", ROOT, 1.0),
    ]
    if told.against:
        cases.insert(0, ("other checkout", told.against.resolve(), None))
    for rate in map(float, told.rates.split(",")):
        results: dict[str, list[dict[str, float]]] = {name: [] for name, _, _ in cases}
        for _ in range(told.rounds):
            for name, checkout, share in cases:
                results[name].append(once(checkout, share, rate, told.seconds))
        print(
            f"\n{rate:g} messages a second, {told.rounds} rounds of {told.seconds:g} s: median (least, most)"
        )
        for name, found in results.items():
            row = []
            for key in ("cpu_us", "written", "rss_mb", "peak_mb", "taken"):
                values = [one[key] for one in found]
                row.append(f"{key} {median(values):.2f} ({min(values):.2f}, {max(values):.2f})")
            print(f"{name:15}" + "  ".join(row), flush=True)


if __name__ == "__main__":
    main()
