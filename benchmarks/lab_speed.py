"""How much faster than real time the laboratory plays one courier, with more and more messages.

    python benchmarks/lab_speed.py [--seconds 20] [--rates 10,50,200]

Messages come evenly to eight partners of one endpoint, which take 20 ms; one of them drops its first ten.
"""

from __future__ import annotations

import argparse
import resource
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from ashvale.lab.run import Message, Partner, Scenario, play  # noqa: E402
from ashvale.lab.scenarios import CLASSES  # noqa: E402
from ashvale.lab.stand_ins import DROP  # noqa: E402


def main() -> None:
    parser = argparse.ArgumentParser(description="Virtual over real time.")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rates", default="10,50,200")
    told = parser.parse_args()
    for rate in map(float, told.rates.split(",")):
        count = int(told.seconds * rate)
        partners = tuple(Partner(f"p{n}", n, script=(DROP,) * 10 * (n == 1)) for n in range(1, 9))
        messages = tuple(Message(1000.0 * n / rate, f"m{n}", CLASSES[n % 2], n % 8 + 1) for n in range(count))
        result = play(
            Scenario(
                partners, messages, settings={"family_info": {"max_calls": 64}, "limits": {"max_open": 2000}}
            )
        )
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        print(
            f"{rate:6.0f} messages a second: {result.virtual_ms / 1000:6.1f} s in "
            f"{result.real_ms / 1000:6.2f} s, {result.virtual_ms / result.real_ms:6.1f} times real time, "
            f"{count / result.real_ms * 1000:6.0f} messages a second of this machine, "
            f"{len(result.broken)} rules broken, {memory:.0f} MB",
            flush=True,
        )


if __name__ == "__main__":
    main()
