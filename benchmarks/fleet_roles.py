"""What the leader, another voter and a follower need by the size of the fleet, with nothing to decide.

`python benchmarks/fleet_roles.py [FOLLOWERS ...]`; the agents in virtual time, five voters, 20 s: CPU without
sockets, messages and their bytes in the wire form, in and out, of the one in a role that needs most. Prints
one table, and the power that fits each role's CPU best.
"""

from __future__ import annotations

import heapq
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from capacity import power

from ashvale.fleet.agent import Agent
from ashvale.fleet.messages import Envelope
from ashvale.fleet.record import Role
from ashvale.lab.fleet import World

FOLLOWERS = (20, 60, 180, 540)
VOTERS = 5
SETTLE_MS, UNTIL_MS = 8000.0, 28_000.0


class Meter:
    """Counts what each courier's agent does, by its name."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.cpu, self.messages, self.bytes = Counter[str](), Counter[str](), Counter[str]()
        send, encode = world.send, msgspec.msgpack.Encoder().encode

        def counted(sender: str, peer: str, envelope: Envelope) -> None:
            size = len(encode(envelope))
            for name in (sender, peer):
                self.messages[name] += 1
                self.bytes[name] += size
            send(sender, peer, envelope)

        world.send = counted  # type: ignore[method-assign]

    def timed(self, step: Callable[..., Any]) -> Callable[..., Any]:
        def run(agent: Agent, *told: Any) -> Any:
            began = time.process_time()
            try:
                return step(agent, *told)
            finally:
                self.cpu[agent.setup.name] += time.process_time() - began

        return run


def run_until(world: World, at: float) -> None:
    while world._due and world.now < at:
        world.now, _, action = heapq.heappop(world._due)
        action()


def measure(followers: int) -> dict[str, tuple[float, float, float]]:
    """By role: percent of a core, messages and kilobytes a second, of the one that needs most."""
    tick, receive = Agent.tick, Agent.receive
    world = World(1, VOTERS, followers, faults=0, span=0.0)
    world._due = [one for one in world._due if one[0] <= 300.0]
    run_until(world, SETTLE_MS)
    meter = Meter(world)
    Agent.tick, Agent.receive = meter.timed(tick), meter.timed(receive)  # type: ignore[method-assign]
    try:
        run_until(world, UNTIL_MS)
    finally:
        Agent.tick, Agent.receive = tick, receive  # type: ignore[method-assign]
    seconds = (UNTIL_MS - SETTLE_MS) / 1000.0
    roles: dict[str, list[str]] = {"leader": [], "voter": [], "follower": []}
    for name, host in world.hosts.items():
        assert host.agent is not None
        record = host.agent.record
        leads = record.role is Role.LEADER
        roles["leader" if leads else "voter" if name in record.voters else "follower"].append(name)
    return {
        role: (
            max(meter.cpu[name] for name in names) / seconds * 100.0,
            max(meter.messages[name] for name in names) / seconds,
            max(meter.bytes[name] for name in names) / seconds / 1000.0,
        )
        for role, names in roles.items()
        if names
    }


def main() -> None:
    sizes = tuple(int(size) for size in sys.argv[1:]) or FOLLOWERS
    print("| couriers | role | % of a core | messages a second | KB a second |\n" + "| --- " * 5 + "|")
    found = []
    for followers in sizes:
        found.append(measure(followers))
        for role, (cpu, messages, kilobytes) in found[-1].items():
            row = f"| {followers + VOTERS} | {role} | {cpu:.3f} | {messages:.1f} | {kilobytes:.2f} |"
            print(row, flush=True)
    couriers = tuple(size + VOTERS for size in sizes)
    for role in ("leader", "voter", "follower"):
        exponent, worst = power(couriers, [one[role][0] for one in found])
        print(f"{role}: power {exponent:.2f}, worst point off by a factor of {worst:.2f}")


if __name__ == "__main__":
    main()
