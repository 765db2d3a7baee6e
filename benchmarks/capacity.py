"""Slopes behind docs/CAPACITY.md: what a courier needs by destinations, messages, partners down, members.

`python benchmarks/capacity.py [NAME ...]` (destinations, held, brim, down, members, lists; all by default).
Each size runs in a process of its own. Prints a table for each, with the power that fits each column best: 1
is linear, 0 does not grow. CPU is this process's alone.
"""

from __future__ import annotations

import json
import math
import multiprocessing
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ashvale import interface as api
from ashvale.control import Controller
from ashvale.exchange import Endpoint
from ashvale.fleet.members import Members, Rhythm, Status, View
from ashvale.interface import Effect, Outcome
from ashvale.net.discovery import decode_list

CLASS = api.MessageClass("rate", Effect.SAFE, 1000.0, 60_000.0)
MEGABYTE = 1e6


def resident() -> float:
    """Megabytes that this process holds."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096 / MEGABYTE


def listing(number: int) -> api.Listing:
    return api.Listing(f"endpoint-{number}".encode(), number, rate=40.0)


def known(destinations: int, **changes: object) -> Controller:
    settings = api.Settings((CLASS,), forwarders=3300, listed_rates=True, **changes)  # type: ignore[arg-type]
    controller = Controller(settings, 1)
    lines = tuple(listing(number) for number in range(destinations))
    controller.handle(api.ListKnown(api.ListKind.FULL, 1, lines), 0.0)
    return controller


def destinations(count: int) -> tuple[float, ...]:
    """The module with one endpoint a destination: seconds for the whole list, told again, and memory."""
    before, began = resident(), time.process_time()
    controller = known(count)
    first = time.process_time() - began
    held = resident() - before
    lines = tuple(listing(number) for number in range(count))
    began = time.process_time()
    controller.handle(api.ListKnown(api.ListKind.FULL, 2, lines), 1000.0)
    return first, time.process_time() - began, held


def accept(controller: Controller, count: int, partners: int, first: int = 0) -> float:
    """Seconds of CPU for so many messages, spread over partners that are all shut."""
    began = time.process_time()
    for number in range(first, first + count):
        controller.handle(api.NewMessage(number, 0, number % partners, 60_000.0 + number % 997), 1.0)
    return time.process_time() - began


def holding(max_open: int) -> Controller:
    """A module that knows no endpoint yet, so that what it takes on is held."""
    return Controller(api.Settings((CLASS,), forwarders=3300, max_open=max_open), 1)


def held(count: int) -> tuple[float, ...]:
    """Messages held for 50 partners: memory, and microseconds to take one on."""
    controller, before = holding(count + 1), resident()
    seconds = accept(controller, count, 50)
    assert controller.held == count
    return resident() - before, seconds / count * 1e6


def brim(count: int) -> tuple[float, ...]:
    """Microseconds to take a message on where `max_open` are held and one has to go for it."""
    controller = holding(count)
    accept(controller, count, 50)
    seconds = accept(controller, 200, 50, 10_000_000)
    assert controller.held >= count - 1
    return (seconds / 200 * 1e6,)


def down(count: int) -> tuple[float, ...]:
    """Share of a core for trials at so many partners that are down, each with one message that waits."""
    controller = known(count, slots=10 * count, max_open=10 * count)
    now = 10.0
    wakes: list[float] = []
    sends: list[api.Send] = []

    def feed(event: api.Event) -> None:
        for action in controller.handle(event, now):
            if isinstance(action, api.Wake):
                wakes.append(now + action.after_ms)
            elif isinstance(action, api.Send):
                sends.append(action)

    for number in range(count):
        feed(api.NewMessage(number, 0, number, 60_000.0))
    attempts: dict[int, int] = {}
    began = time.process_time()
    while now < 20_000.0:
        batch, sends[:] = list(sends), []  # what is sent meanwhile fails in the next step
        for send in batch:
            attempt = attempts[send.message] = attempts.get(send.message, -1) + 1
            failed = Outcome.CONNECT_FAILED
            feed(api.Settled(send.message, attempt, send.target, failed, 1.0, False))
            if attempt == controller.s.max_attempts - 1:  # it is given up; another comes for that partner
                feed(api.NewMessage(send.message + count, 0, send.message % count, now + 60_000.0))
        now += 50.0
        if wakes and min(wakes) <= now:
            wakes.clear()
            feed(api.Timer(controller.token))
    cpu = time.process_time() - began
    return (cpu / 20.0 * 100.0,)


def members(count: int) -> tuple[float, ...]:
    """A courier's view of a fleet of so many: microseconds a round (ask, gossip, hear, when next), and MB."""
    before = resident()
    names = tuple(f"courier-{number}" for number in range(count))
    view = Members("own", 1, names, Rhythm(), Random(1), 0.0)
    for name in view.members:
        view.heard(View(name, 1, 1, Status.SERVING), 1.0)
    taken, now, rounds = resident() - before, 10.0, 200
    began = time.process_time()
    for _ in range(rounds):
        now += 500.0
        asks, _helps = view.tick(now)
        told = view.gossip()
        for name in asks:
            view.heard(View(name, 1, 1, Status.SERVING), now)
        view.told(told, "courier-0", now)
        assert view.due > 0.0
    return len(view.members), (time.process_time() - began) / rounds * 1e6, taken


def lists(count: int) -> tuple[float, ...]:
    """A whole list as discovery writes it: megabytes, and seconds to read and decode it."""
    hosts = [
        {
            "host": f"s-{number:08x}",
            "dial": "10.1.0.18:8080",
            "site": "a",
            "class": "direct",
            "block": number,
            "health": "SERVING",
            "share": 1.0,
            "born_ms": 0,
        }
        for number in range(count)
    ]
    wire = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()
    began = time.process_time()
    told = decode_list(json.loads(wire))
    assert len(told.endpoints) == count and isinstance(told.endpoints[0], Endpoint)
    return len(wire) / MEGABYTE, time.process_time() - began


@dataclass(frozen=True)
class Slope:
    measure: Callable[[int], tuple[float, ...]]
    sizes: tuple[int, ...]
    columns: tuple[str, ...]


SLOPES = {
    "destinations": Slope(
        destinations, (3750, 15_000, 60_000, 240_000), ("s for a whole list", "s told again", "MB")
    ),
    "held": Slope(held, (1000, 4000, 16_000, 64_000), ("MB", "us to take one on")),
    "brim": Slope(brim, (250, 1000, 4000, 16_000), ("us to take one on",)),
    "down": Slope(down, (150, 600, 2400, 9400), ("% of a core",)),
    "members": Slope(members, (200, 800, 1600, 3300), ("known of them", "us a round", "MB")),
    "lists": Slope(lists, (3750, 15_000, 60_000, 240_000), ("MB", "s to decode")),
}


def power(sizes: tuple[int, ...], values: list[float]) -> tuple[float, float]:
    """The exponent of the power law that fits best, and how far the worst point lies from it (a factor)."""
    points = [(math.log(n), math.log(max(v, 1e-9))) for n, v in zip(sizes, values, strict=True)]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    exponent = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    worst = max(abs(y - mean_y - exponent * (x - mean_x)) for x, y in points)
    return exponent, math.exp(worst)


def main() -> None:
    names = sys.argv[1:] or list(SLOPES)
    if unknown := [name for name in names if name not in SLOPES]:
        sys.exit(f"unknown: {', '.join(unknown)}; known: {', '.join(SLOPES)}")
    context = multiprocessing.get_context("spawn")
    for name in names:
        slope = SLOPES[name]
        print(f"\n| {name} | " + " | ".join(slope.columns) + " |")
        print("| --- " * (1 + len(slope.columns)) + "|", flush=True)
        rows = list[tuple[float, ...]]()
        for size in slope.sizes:
            with context.Pool(1) as pool:
                rows.append(pool.apply(slope.measure, (size,)))
            print(f"| {size} | " + " | ".join(f"{value:.4g}" for value in rows[-1]) + " |", flush=True)
        for at, column in enumerate(slope.columns):
            exponent, worst = power(slope.sizes, [row[at] for row in rows])
            print(f"{column}: power {exponent:.2f}, worst point off by a factor of {worst:.2f}")


if __name__ == "__main__":
    main()
