"""What many couriers do together that one does not: shares of a limit, restarts, returns, ends of waits.

`python benchmarks/fleet_points.py`; the decision module alone, 1, 3, 40 and 100 of them against one partner
in virtual time with seeds. The partner takes LIMIT calls in each two seconds, tells what is over it to wait
for the next; a cold one falls over at twice a quarter of that. Prints one table.
"""

from __future__ import annotations

from ashvale.lab.partner import WINDOW_MS, SharedPartner, rate, time_to_share

LIMIT = 80  # calls of all couriers in a window


def push(times: list[float], start: float, end: float) -> float:
    """The most calls in any second, over what a partner that came back cold at `start` could then do."""
    inside, most, first = [at for at in times if start <= at < end], 0.0, 0
    for last, at in enumerate(inside):
        while inside[first] <= at - 1000.0:
            first += 1
        grown = min(1.0, (at - start) / 10_000.0)
        most = max(most, (last - first + 1) / (LIMIT / WINDOW_MS * 1000.0 * (0.25 + 0.75 * grown)))
    return most


def row(count: int, seed: int) -> list[str]:
    busy = SharedPartner(count, LIMIT, 1.5, seed)
    busy.run(30_000.0)
    cut = SharedPartner(count, LIMIT, 0.9, seed)
    cut.limit_at = lambda now: LIMIT / 2 if 10_000.0 <= now < 19_000.0 else LIMIT
    cut.run(40_000.0)
    fail = SharedPartner(count, LIMIT, 0.8, seed)
    fail.outage = 10_000.0, 15_000.0
    fail.run(40_000.0)
    herd = SharedPartner(count, LIMIT, 0.8, seed)
    herd.run(10_000.0)
    for n in range(count * 7 // 10):  # most begin anew at one moment
        herd.restart(n)
    herd.run(25_000.0)
    ends = [at % WINDOW_MS for at in busy.calls if at > 10_000.0]
    figures = [
        rate(busy.served, 10_000.0, 30_000.0) / LIMIT,
        rate(busy.refused, 10_000.0, 30_000.0) / LIMIT,
        sum(at < 100.0 for at in ends) / len(ends),
        time_to_share(cut, 19_000.0, 0.8) / 1000.0,
        push(fail.calls, 15_000.0, 25_000.0),
        time_to_share(fail, 15_000.0, 0.7) / 1000.0,
        rate(herd.served, 10_000.0, 14_000.0) / (0.8 * LIMIT),
        rate(herd.refused, 10_000.0, 14_000.0) / LIMIT,
    ]
    return [str(count), *(f"{figure:.2f}" for figure in figures)]


def main() -> None:
    print(
        "| couriers | served of the limit, 1.5 offered | refused of it | calls in a window's first 100 ms "
        "| s to 80 % after a cut limit | most calls in 1 s after an outage, over what it could do "
        "| s to 70 % after it | served of the offer after 7 in 10 restart | refused then |\n"
        + "| --- " * 9
        + "|"
    )
    for count in (1, 3, 40, 100):
        rows = [row(count, seed) for seed in (1, 2, 3)]
        print("| " + " | ".join(sorted(cells)[1] for cells in zip(*rows, strict=True)) + " |", flush=True)


if __name__ == "__main__":
    main()
