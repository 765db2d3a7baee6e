"""`ashvale fleet`: what a courier knows of its fleet, asked at any of them, and orders to the fleet.

It owns the words and the exit codes: 0 all well, 1 no majority in reach, this courier takes no part, or the
fleet said no, 2 the courier could not be asked. It must never decide anything: it shows what one courier
says, and says whose word it is.
"""

from __future__ import annotations

import getpass
import http.client
import json
import sys
import time
from typing import Any

import click
from rich.console import Console
from rich.table import Table

ALONE, UNREACHED = 1, 2


def ask(where: str, name: str, what: str, data: dict[str, Any] | None = None) -> Any:
    """One call to a courier's peers' door; ends the process where it cannot be asked."""
    host, _, port = where.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=8.0)
        body = None if data is None else json.dumps(data)
        connection.request("GET" if data is None else "POST", f"/fleet/1/{name}/{what}", body)
        answer = connection.getresponse()
        text = answer.read().decode()
    except (OSError, ValueError, http.client.HTTPException) as error:
        click.echo(f"{where}: cannot be asked: {error}", err=True)
        sys.exit(UNREACHED)
    if answer.status not in (200, 409) or not text.startswith(("{", "[")):
        click.echo(f"{where}: {answer.status} {text}", err=True)
        sys.exit(UNREACHED)
    return json.loads(text)


def _verdict(told: dict[str, Any]) -> int:
    """What is wrong, in a line; the exit code."""
    if told["why"] or not told["part"]:
        click.echo(f"{told['courier']} takes no part: {told['why']}", err=True)
        return ALONE
    if not told["majority"]:
        click.echo(f"{told['courier']} reaches no majority: nothing can be decided from here", err=True)
        return ALONE
    return 0


@click.group()
@click.option("--at", "where", required=True, metavar="ADDRESS:PORT", help="A courier's address for peers.")
@click.option("--fleet", "name", required=True, help="The fleet's name.")
@click.option("--json", "as_json", is_flag=True, help="As the courier says it.")
@click.pass_context
def fleet(context: click.Context, where: str, name: str, as_json: bool) -> None:
    """Ask a courier about its fleet."""
    context.obj = where, name, as_json


@fleet.command()
@click.pass_obj
def status(told: tuple[str, str, bool]) -> None:
    """Leader, term, what is decided, leases, and whether a majority is in reach."""
    where, name, as_json = told
    found = ask(where, name, "status")
    if as_json:
        click.echo(json.dumps(found, indent=1))
    elif "term" in found:
        click.echo(
            f"fleet {found['fleet']}, as {found['courier']} sees it, "
            f"in its incarnation {found['incarnation']}"
        )
        click.echo(
            f"leader {found['leader'] or 'nobody'}, term {found['term']}, decided {found['commit']}, "
            f"applied {found['applied']}, {found['last'] - found['commit']} open"
        )
        votes = "votes" if found["votes"] else "does not vote"
        click.echo(
            f"voters {', '.join(found['voters'])}; {found['courier']} {votes}"
            f"{', its folder was lost' * found['lost']}"
        )
        for lease, held in found["leases"].items():
            click.echo(f"lease {lease}: {held['holder']}, number {held['number']}, {held['ttl_ms']:g} ms")
        _service(found, _ask_leader(found, name))
    sys.exit(_verdict(found))


def _ask_leader(found: dict[str, Any], name: str) -> dict[str, Any]:
    """What the leader says, who alone knows by which bans each courier acts; else this courier's word."""
    if found["role"] == "leader" or not found["leader"]:
        return found
    try:
        told = ask(found["leader_at"], name, "status")
    except SystemExit:  # it said why
        return found
    return dict(told) if told.get("role") == "leader" else found


def _service(found: dict[str, Any], leader: dict[str, Any]) -> None:
    """Who is out of service and why, who waits, and the endpoints that are banned."""
    limits = found["budget"]
    near = f", {limits['out_building']} of a building" if limits["out_building"] else ""
    click.echo(
        f"budget: {limits['out']} out at once{near}; {limits['left']} endpoints of a partner stay; "
        f"{', '.join(limits['quiet']) or 'no'} quiet hours; out now: "
        f"{', '.join(found['counted_out']) or 'nobody'}"
    )
    for courier, permit in found["permits"].items():
        state = "called back, not seen back yet" if permit["back"] else f"out by permit ({permit['kind']})"
        despite = f", DESPITE THE BUDGET: {permit['despite']}" if permit["despite"] else ""
        click.echo(
            f"{courier}: {state}, number {permit['number']}, by {permit['who']}: {permit['why']}{despite}"
        )
    for place, one in enumerate(found["queue"], 1):
        click.echo(f"{one['courier']}: waits, place {place}, asked for by {one['who']}: {one['why']}")
    if found["by_hand"]:
        click.echo(f"banned by hand at {found['courier']} alone: {', '.join(found['by_hand'])}")
    for endpoint, ban in leader["bans"].items():
        missing = ban.get("missing")
        told = (
            "the leader could not be asked who keeps to it"
            if missing is None
            else f"not confirmed by {', '.join(missing)}"
            if missing
            else "all couriers keep to it"
        )
        click.echo(f"endpoint {endpoint} of {ban['partner']} is banned by {ban['who']}: {ban['why']}; {told}")


@fleet.command()
@click.pass_obj
def members(told: tuple[str, str, bool]) -> None:
    """Who is there, as this courier sees it."""
    where, name, as_json = told
    found = ask(where, name, "status")
    if as_json:
        click.echo(json.dumps(found.get("members", []), indent=1))
    else:
        table = Table("courier", "status", "for s", "incarnation", box=None)
        for one in found.get("members", []):
            since = f"{one['since_ms'] / 1000:.1f}"
            table.add_row(one["name"], one["status"], since, str(one["incarnation"]))
        Console().print(table)
    sys.exit(_verdict(found))


@fleet.command()
@click.pass_obj
def log(told: tuple[str, str, bool]) -> None:
    """The latest decided entries."""
    where, name, as_json = told
    found = ask(where, name, "log")
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        for entry in found:
            click.echo(f"{entry['index']:>8} term {entry['term']:>4} {entry['kind']:<7}{entry['data']}")


@fleet.command()
@click.pass_obj
def who(told: tuple[str, str, bool]) -> None:
    """Which process answers under which name."""
    where, name, as_json = told
    found = ask(where, name, "status")
    keys = ("courier", "fleet", "incarnation", "life", "role", "lost", "why")
    brief = {key: found.get(key) for key in keys}
    click.echo(json.dumps(brief) if as_json else " ".join(f"{key}={value}" for key, value in brief.items()))


@fleet.command()
@click.argument("key")
@click.argument("data")
@click.option("--who", "by", default="", help="Who decides; kept in the record.")
@click.pass_obj
def put(told: tuple[str, str, bool], key: str, data: str, by: str) -> None:
    """Have a key's value decided by the fleet."""
    where, name, _ = told
    found = ask(where, name, "put", {"key": key, "data": data, "who": by})
    click.echo(f"decided at {found['number']}" if found["ok"] else f"not decided: {found['why']}")
    sys.exit(0 if found["ok"] else ALONE)


def _order(told: tuple[str, str, bool], what: str, **order: Any) -> dict[str, Any]:
    """Have something decided; shows what came of it, and ends the process where that is a no."""
    where, name, as_json = told
    found: dict[str, Any] = ask(where, name, what, {"who": getpass.getuser()} | order)
    if as_json:
        click.echo(json.dumps(found))
    elif found["ok"]:
        click.echo(f"decided at {found['number']}" if found["number"] else "it would be granted now")
    else:
        again = f"; come again in {found['after_ms'] / 1000:.0f} s" if found.get("after_ms") else ""
        click.echo(f"no: {found['why']}{again}")
    if not found["ok"] and not (order.get("wait") and found["why"].startswith("it waits")):
        sys.exit(ALONE)
    return found


def _until(told: tuple[str, str, bool], seconds: float, what: str, done: Any) -> None:
    """Ask until it has come to be; exit code 1 where it has not within `seconds`."""
    where, name, _ = told
    end = time.monotonic() + seconds
    while not done(ask(where, name, "status")):
        if time.monotonic() > end:
            click.echo(f"{what}: not within {seconds:g} s; it goes on", err=True)
            sys.exit(ALONE)
        time.sleep(0.2)
    click.echo(what)


_why = click.option("--why", required=True, help="The reason; kept in the record.")
_who = click.option("--who", default=getpass.getuser, help="Who orders it; kept in the record.")
_despite = click.option(
    "--despite-budget",
    "despite",
    default="",
    metavar="REASON",
    help="Set the budget aside, for this reason; it is shown until it ends.",
)
_courier = click.option("--courier", default="", help="Another courier than the one that is asked.")
_seconds = click.option("--for", "seconds", default=60.0, help="How many seconds to watch for it at most.")


@fleet.command()
@_courier
@_why
@_who
@_despite
@_seconds
@click.option("--restart", is_flag=True, help="For a restart: it is back once its next process serves.")
@click.option("--wait", is_flag=True, help="Wait for its turn, in the order of asking.")
@click.option("--dry-run", "dry", is_flag=True, help="Only say what would come of it.")
@click.pass_obj
def drain(
    told: tuple[str, str, bool],
    courier: str,
    why: str,
    who: str,
    despite: str,
    seconds: float,
    restart: bool,
    wait: bool,
    dry: bool,
) -> None:
    """Send a courier's clients away, if the fleet's budget lets it go."""
    found = _order(
        told,
        "drain",
        courier=courier,
        why=why,
        who=who,
        despite=despite,
        wait=wait,
        dry=dry,
        kind="restart" if restart else "drain",
    )
    if wait and not found["ok"]:
        name = courier or ask(told[0], told[1], "status")["courier"]
        _until(told, seconds, f"{name} is out", lambda now: name in now.get("permits", {}))


@fleet.command()
@_courier
@_who
@_seconds
@click.option("--wait", is_flag=True, help="Until it is seen back.")
@click.pass_obj
def ready(told: tuple[str, str, bool], courier: str, who: str, seconds: float, wait: bool) -> None:
    """Call a courier back into service, or out of the queue."""
    _order(told, "ready", courier=courier, who=who)
    if wait:
        name = courier or ask(told[0], told[1], "status")["courier"]
        _until(told, seconds, f"{name} is back", lambda now: name not in now.get("permits", {name: 0}))


@fleet.command()
@click.argument("courier")
@_why
@_who
@click.pass_obj
def forget(told: tuple[str, str, bool], courier: str, why: str, who: str) -> None:
    """End the permit of a courier that never comes back; it counts as out as long as nobody sees it."""
    _order(told, "forget", courier=courier, why=why, who=who)


@fleet.command()
@click.argument("endpoint")
@_why
@_who
@_despite
@_seconds
@click.option("--ends", "ends", default=0.0, help="Seconds after which it ends; it has no end by itself.")
@click.option("--wait", is_flag=True, help="Until every courier keeps to it.")
@click.pass_obj
def ban(
    told: tuple[str, str, bool],
    endpoint: str,
    why: str,
    who: str,
    despite: str,
    seconds: float,
    ends: float,
    wait: bool,
) -> None:
    """Give an endpoint nothing new, from any courier."""
    _order(told, "ban", endpoint=endpoint, why=why, who=who, despite=despite, ends_ms=ends * 1000.0)
    if wait:

        def kept(now: dict[str, Any]) -> bool:
            return bool(_ask_leader(now, told[1])["bans"].get(endpoint, {}).get("missing") == [])

        _until(told, seconds, f"every courier keeps to the ban of {endpoint}", kept)


@fleet.command()
@click.argument("endpoint")
@_who
@click.pass_obj
def unban(told: tuple[str, str, bool], endpoint: str, who: str) -> None:
    """Let an endpoint serve again."""
    _order(told, "unban", endpoint=endpoint, who=who)


@fleet.command()
@_why
@_who
@click.option("--out", help="The most couriers out at once: a count, or a share such as '10 %'.")
@click.option("--out-building", help="The same in one building.")
@click.option("--left", help="The fewest endpoints of a partner that stay in service.")
@click.option("--left-building", help="The same in one building.")
@click.option("--apart", type=float, help="Seconds between two that go, at the least.")
@click.option("--warm", type=float, help="Seconds for which a courier has to serve until it counts as back.")
@click.option("--quiet", multiple=True, metavar="HH:MM-HH:MM", help="UTC; nobody goes then. 'none' for none.")
@click.pass_obj
def budget(
    told: tuple[str, str, bool],
    why: str,
    who: str,
    out: str | None,
    out_building: str | None,
    left: str | None,
    left_building: str | None,
    apart: float | None,
    warm: float | None,
    quiet: tuple[str, ...],
) -> None:
    """Declare the budget; what is not named stays as it is."""
    changes = {
        "out": out,
        "out_building": out_building,
        "left": left,
        "left_building": left_building,
        "apart_ms": None if apart is None else apart * 1000.0,
        "warm_ms": None if warm is None else warm * 1000.0,
        "quiet": ([] if quiet == ("none",) else list(quiet)) if quiet else None,
    }
    now = ask(told[0], told[1], "status").get("budget", {})
    _order(
        told,
        "budget",
        why=why,
        who=who,
        budget=now | {key: value for key, value in changes.items() if value is not None},
    )


@fleet.group()
def release() -> None:
    """Releases that the fleet runs by itself: waves, a halt, a way back."""


def _plan(file: str) -> dict[str, Any]:
    """A plan as TOML; times in seconds as `soak` and `step_time`. Ends the process where it is none."""
    import tomllib

    try:
        with open(file, "rb") as source:
            told = tomllib.load(source)
    except (OSError, tomllib.TOMLDecodeError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(UNREACHED)
    for key, name in (("soak", "soak_ms"), ("step_time", "step_ms")):
        if key in told:
            told[name] = told.pop(key) * 1000.0
    return told


def _show(one: dict[str, Any] | None) -> Table | str:
    """A release as a table of its waves."""
    if not one:
        return "no release is under way"
    plan = one["plan"]
    title = (
        f"{plan['name']}: {one['status']}, on its way {one['way']}, wave {one['wave'] + 1} of "
        f"{len(plan['waves'])}, by {one['who']}: {one['why']}"
    )
    table = Table("wave", "courier", "state", "way", "why", title=title, box=None, caption=one["note"])
    for number, wave in enumerate(plan["waves"], 1):
        for name in wave:
            part = one["parts"][name]
            table.add_row(str(number), name, part["state"], part["way"], part["why"])
    return table


@release.command("plan")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.pass_obj
def release_plan(told: tuple[str, str, bool], file: str) -> None:
    """Only check a plan against the fleet and its budget."""
    _order(told, "release", why="checked", plan=_plan(file), dry=True)


@release.command("start")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@_why
@_who
@click.pass_obj
def release_start(told: tuple[str, str, bool], file: str, why: str, who: str) -> None:
    """Begin a release."""
    _order(told, "release", why=why, who=who, plan=_plan(file))


@release.command("status")
@click.pass_obj
def release_status(told: tuple[str, str, bool]) -> None:
    """The release under way, as this courier knows it; exit code 1 where it is halted."""
    found = ask(told[0], told[1], "status").get("release")
    if told[2]:
        click.echo(json.dumps(found, indent=1))
    else:
        Console().print(_show(found))
    sys.exit(ALONE if found and found["status"] == "halted" else 0)


@release.command("watch")
@click.option("--report", type=click.Path(dir_okay=False), help="An HTML file for what was seen, with plots.")
@click.pass_obj
def release_watch(told: tuple[str, str, bool], report: str | None) -> None:
    """The waves as they go, until the release is over or halted."""
    from rich.live import Live

    from ashvale.cli.report import Samples, page

    status = ask(told[0], told[1], "status")
    found, samples = status.get("release"), Samples()
    with Live(_show(found), console=Console()) as live:
        while found:
            samples.add(found, _ask_leader(status, told[1]).get("health", {}))
            if found["status"] != "running":
                break
            time.sleep(0.5)
            status = ask(told[0], told[1], "status")
            now, past = status.get("release"), status.get("past", [])
            if now is None:  # over: how it stands among those that were
                found = next((one for one in past if one["number"] == found["number"]), None)
            else:
                found = now
            live.update(_show(found))
    if report is not None and samples.rows:
        with open(report, "w", encoding="utf-8") as file:
            file.write(page(samples))
        click.echo(f"report: {report}")
    sys.exit(ALONE if found and found["status"] == "halted" else 0)


@release.command("history")
@click.pass_obj
def release_history(told: tuple[str, str, bool]) -> None:
    """The latest releases that are over."""
    past = ask(told[0], told[1], "status").get("past", [])
    if told[2]:
        click.echo(json.dumps(past, indent=1))
    for one in () if told[2] else past:
        click.echo(f"{one['number']:>8} {one['plan']['name']}: {one['note']}; by {one['who']}: {one['why']}")


def _steering(verb: str, text: str) -> None:
    @release.command(verb, help=text)
    @click.option("--why", default="", help="The reason; kept in the record.")
    @click.option("--courier", default="", help="With `skip`: which.")
    @_who
    @click.pass_obj
    def order(told: tuple[str, str, bool], why: str, courier: str, who: str) -> None:
        _order(told, "steer", verb=verb, why=why, who=who, courier=courier)


for _verb, _text in (
    ("halt", "Begin nothing more; steps that have begun end."),
    ("resume", "Go on where it halted; whoever failed is tried again."),
    ("back", "Those that were touched go back, from the last wave on."),
    ("skip", "Leave one courier as it is."),
    ("abandon", "End it where it stands."),
):
    _steering(_verb, _text)
