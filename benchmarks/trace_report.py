"""How long `ashvale trace report` takes over so many spans, and with how much memory.

    python benchmarks/trace_report.py [--spans 1000000]

Writes messages of storm shape to a folder of its own with the store's own code, then runs the command as an
operator would, once warm, and prints time and peak memory of the whole process.
"""

from __future__ import annotations

import argparse
import random
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from ashvale.trace.sampling import Rank  # noqa: E402
from ashvale.trace.store import Store  # noqa: E402
from benchmarks.trace_store import message  # noqa: E402


def main() -> None:
    parser = argparse.ArgumentParser(description="The time of a report.")
    parser.add_argument("--spans", type=int, default=1_000_000)
    told = parser.parse_args()
    sequence, count = random.Random(7), told.spans // 7
    with tempfile.TemporaryDirectory() as name:
        store = Store(Path(name) / "n1", 1_000_000_000, 1e18, 1e12)
        for n in range(count):
            store.put(Rank.KEPT, 1e12 + n, lambda texts, n=n: [message(sequence, n, texts)])
        store.close()
        for what in (
            ["report"],
            ["report", "--dest", "7"],
            ["list", "--late-over", "4500"],
            ["show", "0" * 32],
        ):
            began = time.perf_counter()
            subprocess.run(
                [sys.executable, "-m", "ashvale", "trace", *what, "--folder", name],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            took = time.perf_counter() - began
            print(
                f"trace {' '.join(what)[:30]:30} {took:6.2f} s over {count * 7} spans of {count} messages",
                flush=True,
            )
        peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
        print(
            f"largest process {peak:.0f} MB; folder "
            f"{sum(p.stat().st_size for p in Path(name).rglob('*')) / 1e6:.1f} MB"
        )


if __name__ == "__main__":
    main()
