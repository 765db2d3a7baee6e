"""How long it takes to send every courier away once and have it back, under a budget, against the ideal.

`python benchmarks/fleet_drains.py`; virtual time, agents alone. All ask to wait their turn at one moment;
each that is out is called back after its work. The ideal is waves of a whole budget, with no time between.
"""

from __future__ import annotations

import heapq
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from ashvale.fleet.permits import Budget, limit  # noqa: E402
from ashvale.fleet.state import Ask, Call, Declare  # noqa: E402
from ashvale.lab.fleet import World  # noqa: E402

WORK_MS = 5000.0  # from being out to being called back


def drains(voters: int, followers: int, out: str, seed: int) -> tuple[float, float, int]:
    """Milliseconds that it took, those of the ideal, and the most that were out at one moment."""
    world = World(seed, voters, followers, faults=0, span=0.0)
    world._due = [one for one in world._due if one[0] <= 300.0]
    names, done, gone = sorted(world.hosts), set[str](), set[str]()
    most = world.most = limit(out, len(names))
    declare = Declare("budget", Budget(out=out), "bench", "measured")
    world._order(6000.0, names[0], declare)
    for name in names:
        world._order(8000.0, name, Ask(f"go-{name}", name, "drain", "bench", "measured", True))
    peak, began = 0, 8000.0
    while world._due and len(done) < len(names) and world.now < 3.6e6:
        world.now, _, action = heapq.heappop(world._due)
        action()
        assert not world.broken, world.broken
        peak = max(peak, len(world.out))
        for name in world.out.keys() - gone:
            gone.add(name)
            world._order(WORK_MS, name, Call(f"back-{name}", name, "bench"))
        done |= gone - world.holders if len(gone) > len(done) else set()
    return world.now - began, -(-len(names) // most) * WORK_MS, peak


def main() -> None:
    print("| couriers | budget | took s | ideal s | ratio | most out |\n" + "| --- " * 6 + "|")
    for voters, followers, out in ((3, 0, "1"), (5, 35, "10 %"), (5, 195, "10 %")):
        took, ideal, peak = drains(voters, followers, out, 1)
        print(
            f"| {voters + followers} | {out} | {took / 1000:.1f} | {ideal / 1000:.1f} | {took / ideal:.2f} "
            f"| {peak} |"
        )


if __name__ == "__main__":
    main()
