"""How long a courier stands still for a live swap of an operator's set, and what memory a set in force costs.

    python benchmarks/config_swap.py [--sizes 10,100,1000,5000]

A courier in a process of its own is started with a set of so many partners, each with a limit and a route;
the set is changed and read anew as SIGHUP does, five times. The pause is the longest turn of the loop, which
waits for a millisecond at most, from the signal until the new set is in force.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))


def text(count: int, held: int) -> str:
    return "".join(
        f'[limit.l{n}]\nheld = {held}\n[partner.p{n}]\nkind = "direct"\ndestination = "{n}"\nlimit = "l{n}"\n'
        f'[[route]]\nname = "r{n}"\ndestinations = ["{n}"]\nto = "partner p{n}"\n'
        for n in range(count)
    )


def memory() -> float:
    lines = Path("/proc/self/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1024


def one(count: int, held: int) -> None:
    from tests.stage import scene

    with scene(limits={"max_open": held + 10}, disk_mb=40) as s:
        s.endpoint(block=1)
        before = memory()
        file = s.folder / "own.toml"
        s.environ["ASHVALE_SETTINGS"] = str(file)
        if count:
            file.write_text(text(count, 5))
        else:
            file.write_text("")
        s.start()
        pauses, whole = [], []
        for swap in range(5):
            if count:
                file.write_text(text(count, 6 + swap))
            began = time.perf_counter()
            s.courier.reload(s.told)
            longest, last = 0.0, began
            while s.courier.reading or time.perf_counter() < began + 0.05:
                s.loop.turn(1.0)
                now = time.perf_counter()
                longest, last = max(longest, now - last), now
            pauses.append(longest * 1000.0)
            whole.append((last - began) * 1000.0)
        assert bool(s.courier.exchange.doors) is (count > 0)
        print(
            f"{count:6} partners: longest turn {max(pauses):8.1f} ms, median {sorted(pauses)[2]:8.1f} ms, "
            f"until in force {sorted(whole)[2]:8.1f} ms, memory {memory() - before:6.1f} MB",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description="The pause of a live swap.")
    parser.add_argument("--sizes", default="0,10,100,1000,5000")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.one is not None:
        one(told.one, 200)
        return
    for size in told.sizes.split(","):
        subprocess.run([sys.executable, __file__, "--one", size], check=True)


if __name__ == "__main__":
    main()
