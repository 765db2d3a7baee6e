"""What agreement costs: idle messages and CPU of the agents at 3, 40 and 200 couriers, the time from a
leader's death to the next decision, and decisions a second, all in virtual time; and memory after imports.

`python benchmarks/fleet_cost.py`; prints one table. CPU is the agents' alone, without sockets.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from ashvale.fleet.record import Role  # noqa: E402
from ashvale.fleet.state import Put  # noqa: E402
from ashvale.lab.fleet import World  # noqa: E402

MEMORY = "import {}; print([int(x.split()[1]) / 1024 for x in open('/proc/self/status') if 'VmRSS' in x][0])"


def leader(world: World) -> str:
    return next((n for n, h in world.hosts.items() if h.agent and h.agent.record.role is Role.LEADER), "")


def run_until(world: World, done: object, limit: float) -> None:
    import heapq

    while world._due and world.now < limit and not done():  # type: ignore[operator]
        world.now, _, action = heapq.heappop(world._due)
        action()


def idle(voters: int, followers: int) -> tuple[float, float]:
    """Messages a second and share of a core, each a courier, over 20 s in which nothing is decided."""
    world = World(1, voters, followers, faults=0, span=0.0)
    world._due = [one for one in world._due if one[0] <= 300.0]
    run_until(world, lambda: False, 8000.0)
    sent, began = world.counts["messages"], time.process_time()
    run_until(world, lambda: False, 28_000.0)
    cpu = time.process_time() - began
    count = voters + followers
    return (world.counts["messages"] - sent) / 20.0 / count, cpu / 20.0 / count


def after_death(seed: int) -> float:
    """Milliseconds from the leader's end to a decision that another courier asked for at once."""
    world = World(seed, 5, 0, faults=0, span=0.0)
    world._due = [one for one in world._due if one[0] <= 300.0]
    run_until(world, lambda: bool(leader(world)) and world.now > 6000.0, 20_000.0)
    gone = leader(world)
    world.hosts[gone].kill()
    died, other = world.now, next(n for n in world.hosts if n != gone)
    while "x" not in world.known and world.now < died + 20_000.0:
        world.commands["x"] = Put("x", "k", "v")
        if "x" not in world.hosts[other].agent.requests:  # type: ignore[union-attr]
            world.hosts[other].request(world.commands["x"])
        run_until(
            world,
            lambda: "x" in world.known or "x" not in (world.hosts[other].agent.requests),
            died + 20_000.0,
        )  # type: ignore[union-attr]
    return world.now - died


def decisions() -> float:
    """Decisions a second of CPU, five voters, all agents in one process."""
    world = World(1, 5, 0, faults=0, span=0.0)
    world._due = [one for one in world._due if one[0] <= 300.0]
    run_until(world, lambda: bool(leader(world)) and world.now > 6000.0, 20_000.0)
    name, began = leader(world), time.process_time()
    for number in range(2000):
        world.commands[f"d{number}"] = Put(f"d{number}", f"k{number % 50}", "v")
        world.hosts[name].request(world.commands[f"d{number}"])
        if number % 20 == 19:
            run_until(world, lambda number=number: f"d{number}" in world.known, 90_000.0)  # type: ignore
    return 2000.0 / (time.process_time() - began)


def main() -> None:
    print("| couriers | messages a second a courier | CPU a courier |\n| --- | --- | --- |")
    for voters, followers in ((3, 0), (5, 35), (5, 195)):
        messages, cpu = idle(voters, followers)
        print(f"| {voters + followers} | {messages:.1f} | {cpu:.3%} of a core |")
    times = sorted(after_death(seed) for seed in range(100))
    print(
        f"\nleader's death to the next decision, ms: median {statistics.median(times):.0f}, "
        f"99 of 100 under {times[98]:.0f}, most {times[-1]:.0f}"
    )
    print(f"decisions a second of CPU, five voters in one process: {decisions():.0f}")
    for what in ("ashvale.__main__", "ashvale.__main__, ashvale.fleet.node"):
        told = subprocess.run(
            [sys.executable, "-c", MEMORY.format(what)],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent,
        )
        print(f"memory after importing {what}: {float(told.stdout):.1f} MB")


if __name__ == "__main__":
    main()
