"""What a partner that comes back cold gets from all couriers together, and how soon it serves again.

`python benchmarks/cold_partners.py [SEEDS]`, 20 seeds by default; the decision module alone, in virtual time,
against a partner of 6 and one of 80 calls in two seconds that is away for ten seconds. Prints one table.
"""

from __future__ import annotations

import os
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product

from ashvale.lab.partner import SharedPartner, cold_load, time_to_share

OUTAGE_MS = 10_000.0, 20_000.0
UNTIL_MS = 60_000.0
LIMITS, LOADS, COURIERS = (6, 80), (0.8, 1.5), (1, 3, 20, 30, 100)


@dataclass(frozen=True)
class Play:
    limit: int
    load: float
    couriers: int
    seed: int


@dataclass(frozen=True)
class Result:
    most: float
    fell: bool
    seconds_to_serve: float
    served: int


def play(play: Play) -> Result:
    partner = SharedPartner(play.couriers, play.limit, play.load, play.seed)
    partner.outage = OUTAGE_MS
    partner.run(UNTIL_MS)
    judged = cold_load(partner)
    seconds = time_to_share(partner, OUTAGE_MS[1], 0.7) / 1000.0
    return Result(judged.most, judged.fell, seconds, len(partner.served))


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    print(
        "| calls in 2 s | load | couriers | most calls, over what makes it fall | plays in which it fell "
        "| s to 70 % of the limit, median | most | served in 60 s, mean |\n" + "| --- " * 8 + "|"
    )
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        for limit, load, couriers in product(LIMITS, LOADS, COURIERS):
            plays = [Play(limit, load, couriers, seed) for seed in range(1, seeds + 1)]
            results = list(pool.map(play, plays))
            cells = (
                limit,
                load,
                couriers,
                f"{max(r.most for r in results):.2f}",
                f"{sum(r.fell for r in results)} of {seeds}",
                f"{statistics.median(r.seconds_to_serve for r in results):.1f}",
                f"{max(r.seconds_to_serve for r in results):.1f}",
                f"{statistics.mean(r.served for r in results):.0f}",
            )
            print("| " + " | ".join(map(str, cells)) + " |", flush=True)


if __name__ == "__main__":
    main()
