"""What all couriers together send to a partner that comes back from an outage, by how the outage showed.

`python benchmarks/outages.py [SEEDS]`, 10 seeds by default: the decision modules alone, in virtual time. Each
row changes one thing of a play of 37 couriers at 4 calls a second. Prints one table.
"""

from __future__ import annotations

import os
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from ashvale.lab.outages import Endpoints, Load, Play, Rate, Sign, run

FLEETS = 2, 4, 6, 12, 100, 200  # couriers
CHANGES = Endpoints.REPLACED_OUT, Endpoints.REPLACED_RAMP


def rows() -> list[tuple[str, Play]]:
    """The rows of the table, each by what it changes."""
    base = Play()
    found = [(f"sign: {sign.value}", replace(base, sign=sign)) for sign in Sign]
    for sign in (Sign.REFUSED, Sign.SHUT, Sign.RESET, Sign.HUNG):
        shown = replace(base, sign=sign)
        name = f"{sign.value}; "
        found += [(f"{name}{n} endpoints", replace(shown, endpoints=n)) for n in (1, 4, 12)]
        found += [
            (f"{name}{c.value}", replace(shown, endpoints=4, change=c))
            for c in Endpoints
            if c is not Endpoints.STAY
        ]
        found += [
            (f"{name}{n} couriers", replace(shown, couriers=n, rate=max(4.0, n / 9.0)))
            for n in (2, 4, 6, 12, 100, 200)
        ]
        found += [(f"{name}half of the couriers restart", replace(shown, restarted=0.5))]
        found += [(f"{name}{s.value} load", replace(shown, shape=s)) for s in Load if s is not Load.EVEN]
        found += [(f"{name}rate {r.value}", replace(shown, told=r)) for r in Rate if r is not Rate.LISTED]
        found += [
            (f"{name}40 calls a second", replace(shown, rate=40.0)),
            (f"{name}out 2 s after the start", replace(shown, quiet_ms=2000.0)),
            (f"{name}load 0.6", replace(shown, load=0.6)),
        ]
    return found


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    print(
        "| play | most calls, over the budget | by couriers that knew, over two thirds of it "
        "| plays in which it fell | s to 70 %, median | most | served, mean |\n" + "| --- " * 7 + "|"
    )
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        tasks = [
            (name, [pool.submit(run, replace(play, seed=seed)) for seed in range(1, seeds + 1)])
            for name, play in rows()
        ]
        for name, futures in tasks:
            results = [future.result() for future in futures]
            cells = (
                name,
                f"{max(r.cold.most for r in results):.2f}",
                f"{max(r.cold.most_knew for r in results):.2f}",
                f"{sum(r.cold.fell for r in results)} of {seeds}",
                f"{statistics.median(r.seconds_to_serve for r in results):.1f}",
                f"{max(r.seconds_to_serve for r in results):.1f}",
                f"{statistics.mean(r.served for r in results):.0f}",
            )
            print("| " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
