"""`ashvale lab`: runs of the real courier in virtual time, and sweeps of a fault over every call to the disk.

It owns the words and the exit codes: 0 all rules kept, 1 a rule broken, 2 wrong usage. It must never judge.
"""

from __future__ import annotations

import logging
import sys
from dataclasses import replace

import click

from ashvale.lab.disk import FAULTS
from ashvale.lab.run import Result, play
from ashvale.lab.scenarios import SCENARIOS


@click.group()
@click.pass_context
def lab(context: click.Context) -> None:
    """Rehearse in virtual time."""
    log = logging.getLogger("ashvale")  # what a courier logs in a run is of no use here
    usual = log.level
    log.setLevel(logging.CRITICAL)
    context.call_on_close(lambda: log.setLevel(usual))


def _told(result: Result) -> str:
    return ", ".join(f"{name} {count}" for name, count in result.counts.items())


def _broken(result: Result) -> None:
    for broken in result.broken[:3]:
        click.echo(str(broken), err=True)


@lab.command()
@click.argument("name", type=click.Choice(sorted(SCENARIOS)))
@click.option(
    "--fault",
    nargs=2,
    type=(int, click.Choice(FAULTS)),
    multiple=True,
    help="Number of the call to the disk, and what befalls it.",
)
def run(name: str, fault: tuple[tuple[int, str], ...]) -> None:
    """Play one scenario."""
    result = play(replace(SCENARIOS[name], faults=dict(fault)))
    click.echo(f"{name}: {_told(result)}")
    click.echo(
        f"{result.virtual_ms / 1000:.1f} s in {result.real_ms / 1000:.2f} s, "
        f"{result.writes} calls to the disk, edges {result.digest}, disk {result.written}"
    )
    _broken(result)
    sys.exit(1 if result.broken else 0)


@lab.command()
@click.option("--seeds", default="0:200", help="From:to, the last left out.")
def hunt(seeds: str) -> None:
    """Draw scenarios, play them, and shrink what breaks a rule."""
    from ashvale.lab.hunt import hunt as search

    first, _, last = seeds.partition(":")
    found, numbers = 0, range(int(first), int(last or int(first) + 1))
    with click.progressbar(numbers, label="seeds", file=sys.stderr) as bar:
        for seed in bar:
            if (one := search(seed)) is not None:
                found += 1
                click.echo(f"seed {seed}, after {one.tries} tries to make it smaller: {one.broken}")
                click.echo(f"  {one.scenario}")
    click.echo(f"{found} scenarios broke a rule")
    sys.exit(1 if found else 0)


@lab.command()
@click.argument("name", type=click.Choice(sorted(SCENARIOS)))
@click.option("--fault", "kinds", type=click.Choice(FAULTS), multiple=True, help="Only this one.")
def sweep(name: str, kinds: tuple[str, ...]) -> None:
    """Play one scenario once for each call to the disk, with a fault at it."""
    scenario, failed = SCENARIOS[name], 0
    for kind in kinds or FAULTS:
        runs = play(scenario).writes
        bad = 0
        for number in range(1, runs + 1):
            result = play(replace(scenario, faults={number: kind}))
            if result.broken:
                bad += 1
                click.echo(f"--fault {number} '{kind}' breaks a rule", err=True)
                _broken(result)
        click.echo(f"{kind}: {runs} runs, {bad} with a rule broken")
        failed += bad
    sys.exit(1 if failed else 0)


@lab.command()
@click.option("--seeds", default="0:100", help="From:to, the last left out.")
@click.option("--voters", default=3, type=click.IntRange(1, 7))
@click.option("--followers", default=0, type=click.IntRange(0, 500))
def agree(seeds: str, voters: int, followers: int) -> None:
    """Play fleets that agree, with kills, stalls, cuts and lost folders drawn from each seed."""
    from ashvale.lab.fleet import play as play_fleet

    first, _, last = seeds.partition(":")
    numbers, broken = range(int(first), int(last or int(first) + 1)), 0
    with click.progressbar(numbers, label="seeds", file=sys.stderr) as bar:
        for seed in bar:
            if found := play_fleet(seed, voters, followers).broken:
                broken += 1
                click.echo(f"seed {seed}: {found[0]}")
    click.echo(f"{len(numbers)} fleets of {voters + followers}, {broken} broke a rule")
    sys.exit(1 if broken else 0)


@lab.command()
@click.option("--report", type=click.Path(dir_okay=False), help="A file for what happened, as JSON.")
def fleet(report: str | None) -> None:
    """Three real couriers that agree: one partner stalls, one courier is cut off, the leader is killed."""
    import json
    import tempfile
    import time
    from pathlib import Path

    from ashvale.lab.relay import SILENT
    from ashvale.lab.rig import Rig
    from ashvale.lab.stand_ins import STALL

    began, events = time.monotonic(), list[dict[str, object]]()

    def tell(what: str) -> None:
        events.append({"at_s": round(time.monotonic() - began, 1), "event": what})
        click.echo(f"{events[-1]['at_s']:>6} s  {what}")

    with tempfile.TemporaryDirectory() as folder:
        tell("three couriers, a partner and discovery start on the loopback")
        rig = Rig(Path(folder), 3, 3)
        try:
            leader = rig.leader()
            tell(f"they have agreed that {leader} leads")
            rig.decide(leader, "demo", "before")
            ids = [rig.hand_in(rig.names[number % 3]) for number in range(30)]
            rig.until(lambda: all(rig.delivered(id) for id in ids), "delivery")
            tell("30 messages handed in and delivered")
            rig.endpoint.script += [STALL] * 3
            ids = [rig.hand_in(rig.names[number % 3]) for number in range(15)]
            tell("the partner stalls: three calls are never answered")
            rig.cut_off(leader, SILENT)
            others = [name for name in rig.names if name != leader]
            tell(f"{leader} is cut off from the others, and falls silent to them")
            second = rig.leader(others)
            rig.decide(second, "demo", "while cut off")
            tell(f"{second} leads now; the two decide without {leader}")
            _, told = rig.put(leader, "demo", "alone")
            tell(f"asked for a decision, {leader} says: {told['why']}")
            rig.deliver(leader)
            tell(f"and {leader} goes on delivering")
            rig.heal()
            rig.until(lambda: rig.all_hold("demo", "while cut off"), "one view")
            tell(f"healed: {leader} has learned what was decided")
            last = rig.leader()
            rig.kill(last)
            rig.decide(next(name for name in rig.names if name != last), "demo", "after")
            tell(f"{last} is killed; the others have decided once more")
            rig.start(last)
            rig.until(lambda: rig.all_hold("demo", "after"), "one view")
            rig.until(lambda: all(rig.delivered(id) for id in ids), "delivery")
            tell(f"{last} is back on its folder; every message has arrived")
            broken = rig.judge()
        except AssertionError as error:
            broken = [str(error)]
        finally:
            rig.close()
    verdict = "all rules kept" if not broken else f"broken: {'; '.join(broken)}"
    tell(f"verdict: {verdict}; {len(rig.sent)} messages")
    if report is not None:
        Path(report).write_text(json.dumps({"verdict": verdict, "events": events}, indent=1))
        click.echo(f"report: {report}")
    sys.exit(1 if broken else 0)


@lab.command()
@click.option("--couriers", default=15, type=click.IntRange(3, 40))
@click.option("--seed", default=1)
@click.option("--seconds", default=60.0)
def campaign(couriers: int, seed: int, seconds: float) -> None:
    """Real couriers under drawn drains, releases and faults; for outside CI."""
    import tempfile
    from pathlib import Path

    from ashvale.lab.campaign import play as play_campaign

    with tempfile.TemporaryDirectory() as folder:
        broken, counts = play_campaign(Path(folder), couriers, seed, seconds, click.echo)
    click.echo(", ".join(f"{name} {count}" for name, count in sorted(counts.items())))
    click.echo(f"seed {seed}: {'all rules kept' if not broken else broken[0]}")
    sys.exit(1 if broken else 0)
