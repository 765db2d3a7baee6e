"""`ashvale fleet`: what a courier knows of its fleet, asked at any of them.

It owns the words and the exit codes: 0 all well, 1 no majority in reach or this courier takes no part, 2 the
courier could not be asked. It must never decide anything: it shows what one courier says, and says whose word
it is.
"""

from __future__ import annotations

import http.client
import json
import sys
from typing import Any

import click
from rich.console import Console
from rich.table import Table

ALONE, UNREACHED = 1, 2


def ask(where: str, name: str, what: str, data: dict[str, str] | None = None) -> Any:
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
        click.echo(f"fleet {found['fleet']}, as {found['courier']} sees it, "
                   f"in its incarnation {found['incarnation']}")
        click.echo(f"leader {found['leader'] or 'nobody'}, term {found['term']}, decided {found['commit']}, "
                   f"applied {found['applied']}, {found['last'] - found['commit']} open")
        votes = "votes" if found["votes"] else "does not vote"
        click.echo(f"voters {', '.join(found['voters'])}; {found['courier']} {votes}"
                   f"{', its folder was lost' * found['lost']}")
        for lease, held in found["leases"].items():
            click.echo(f"lease {lease}: {held['holder']}, number {held['number']}, {held['ttl_ms']:g} ms")
    sys.exit(_verdict(found))


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
