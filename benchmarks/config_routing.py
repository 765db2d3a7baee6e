"""How check and load, and the search for a route, grow with a set's size.

    python benchmarks/config_routing.py [--partners 100,5000,50000] [--routes 10,1000,100000]

Sets are made by a seed. Times are of one pass, memory the growth of the process; each size has a process of
its own. Decisions are looked for with facts of which most fit a late route; `shapes` is how many kinds of
route there are.
"""

from __future__ import annotations

import argparse
import random
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))


def memory() -> int:
    lines = Path("/proc/self/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


def partners(count: int) -> None:
    from ashvale.config.check import check
    from ashvale.config.reader import Files, load
    from ashvale.routing.build import plan

    files = {
        f"partners/{at}.toml": "".join(
            f'[partner.p{n}]\ndestination = "{n}"\nrate = "{n % 9 + 1}/s"\n[partner.p{n}.endpoint.a]\n'
            f'address = "127.{n >> 16}.{n >> 8 & 255}.{n & 255}:25"\n'
            for n in range(at, min(count, at + 500))
        ).encode()
        for at in range(0, count, 500)
    }
    files["main.toml"] = b'include = ["partners/*.toml"]\n'
    before, began = memory(), time.perf_counter()
    made = load("main.toml", Files(files.__getitem__, lambda folder: list(files)))
    loaded = time.perf_counter()
    found = check(made)
    checked = time.perf_counter()
    plan(made)
    assert not found, found[:3]
    print(
        f"{count:7} partners: load {loaded - began:6.2f} s, check {checked - loaded:6.2f} s, plan "
        f"{time.perf_counter() - checked:6.2f} s, memory {(memory() - before) / 1024:6.1f} MB",
        flush=True,
    )


def routes(count: int) -> None:
    from ashvale.routing.router import Facts, Route, Router

    made = [
        Route(
            f"r{n}",
            frozenset({f"c{n % 3}"}),
            frozenset({f"n{n % 7}"}) if n % 2 else frozenset(),
            frozenset({str(n)}) if n % 5 else frozenset(),
            (),
            (f"*@d{n}.example",) if n % 3 else (),
        )
        for n in range(count)
    ]
    before, began = memory(), time.perf_counter()
    router = Router([*made, Route("rest")])
    built = time.perf_counter() - began
    sequence = random.Random(3)
    facts = [
        Facts(f"c{n % 3}", f"n{n % 7}", str(n), "", f"u@d{n}.example")
        for n in (sequence.randrange(count) for _ in range(5000))
    ]
    began = time.perf_counter()
    for one in facts:
        router.find(one)
    each = (time.perf_counter() - began) / len(facts)
    print(
        f"{count:7} routes: {router.shapes} shapes, built in {built:6.2f} s, memory "
        f"{(memory() - before) / 1024:6.1f} MB, {1 / each:9.0f} decisions a second",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description="How sets and routes grow.")
    parser.add_argument("--partners", default="100,5000,50000")
    parser.add_argument("--routes", default="10,1000,100000")
    parser.add_argument("--one", nargs=2, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.one:
        (partners if told.one[0] == "partners" else routes)(int(told.one[1]))
        return
    for what, sizes in (("partners", told.partners), ("routes", told.routes)):
        for size in sizes.split(","):
            subprocess.run([sys.executable, __file__, "--one", what, size], check=True)


if __name__ == "__main__":
    main()
