"""`ashvale config`: check, explain, show, what-if, fmt, diff, convert, schema and reference.

It owns the words around mistakes. Only `fmt` changes files, none that it cannot read. Exit codes: 0 all well
(warnings may be told), 1 mistakes or differences, 2 wrong usage or input that cannot be used.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click


def loaded(file: str) -> tuple[Any, Any]:
    """A set and all that is wrong with it."""
    from ashvale.config.check import check
    from ashvale.config.mailset import files_below
    from ashvale.config.reader import load

    path = Path(file)
    made = load(path.name, files_below(path.parent))
    return made, check(made)


def shown(mistake: Any, sources: Any) -> str:
    """A mistake for people: place, what is wrong, the line with a caret, what is meant, further places."""
    from ashvale.config.codes import CODES

    word = "warning" if CODES[mistake.code].warning else "error"
    lines = [f"{mistake.place}: {word} {mistake.code}: {mistake.what}"]
    source = sources.get(mistake.place.file)
    if source is not None and (text := source.line(mistake.place.line)):
        cut = text[:200]
        under = "".join("\t" if char == "\t" else " " for char in cut[: mistake.place.column - 1])
        width = max(1, min(mistake.place.length, len(cut) - mistake.place.column + 1))
        lines += [f"    {cut}", f"    {under}{'^' * width}"]
    if mistake.meant:
        lines.append(f"    meant: {mistake.meant}")
    lines += [f"    {place}: {what}" for place, what in mistake.others]
    return "\n".join(lines)


def as_json(mistake: Any) -> dict[str, Any]:
    from ashvale.config.codes import CODES

    def at(place: Any) -> dict[str, Any]:
        return {"file": place.file, "line": place.line, "column": place.column, "length": place.length}

    return {
        "code": mistake.code,
        "severity": "warning" if CODES[mistake.code].warning else "error",
        **at(mistake.place),
        "what": mistake.what,
        "meant": mistake.meant,
        "others": [{**at(place), "what": what} for place, what in mistake.others],
    }


@click.group()
def config() -> None:
    """Operators' files: routes, pools, partners and limits."""


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option("--json", "json_", is_flag=True, help="A JSON object a mistake.")
@click.option("--strict", is_flag=True, help="Warnings count as mistakes.")
def check(files: tuple[str, ...], json_: bool, strict: bool) -> None:
    """Find all that is wrong with sets of files, each named by its first file."""
    from ashvale.config.check import errors

    bad = 0
    for file in files:
        made, found = loaded(file)
        bad += len(found if strict else errors(found))
        for mistake in found:
            print(json.dumps(as_json(mistake)) if json_ else shown(mistake, made.sources))
        if not json_:
            count = sum(map(len, made.entries.values())) + len(made.routes) + len(made.listen)
            print(
                f"{file}: {len(made.sources)} files, {count} entries, {len(errors(found))} errors, "
                f"{len(found) - len(errors(found))} warnings",
                file=sys.stderr,
            )
    sys.exit(1 if bad else 0)


@config.command()
@click.argument("code")
def explain(code: str) -> None:
    """Say what a code of a mistake means."""
    from ashvale.config.codes import CODES

    known = CODES.get(code.upper())
    if known is None:
        raise click.BadParameter(f"no code '{code}'; codes are {min(CODES)} to {max(CODES)}")
    print(f"{code.upper()}: {known.title}{' (a warning)' if known.warning else ''}\n\n{known.page}")


@config.command()
def schema() -> None:
    """Print the JSON Schema of a file, for editors."""
    from ashvale.config.declare import schema

    print(json.dumps(schema(), indent=2, sort_keys=True))


@config.command("what-if")
@click.argument("file", type=click.Path())
@click.option(
    "--message",
    default="",
    help="What is known of it: class=…,network=…,destination=…,sender=…,recipient=…,at=HH:MM,id=…",
)
@click.option("--state", multiple=True, help="PARTNER=full, shut or waiting.")
@click.option("--json", "json_", is_flag=True, help="One JSON object.")
def what_if(file: str, message: str, state: tuple[str, ...], json_: bool) -> None:
    """Say which route, pool, partner and limits a message meets, and why: exit code 1 where no route fits."""
    from ashvale.config.check import errors
    from ashvale.routing.build import plan
    from ashvale.routing.pools import STATES, choose

    known = _pairs(
        message.split(",") if message else [],
        ("class", "network", "destination", "sender", "recipient", "at", "id"),
        "--message",
    )
    states = _pairs(list(state), None, "--state")
    for name, what in states.items():
        if what not in STATES:
            raise click.BadParameter(f"'{name}={what}': one of {', '.join(STATES)} was expected")
    made, found = loaded(file)
    if bad := errors(found):
        for mistake in bad:
            print(shown(mistake, made.sources), file=sys.stderr)
        sys.exit(2)
    snapshot = plan(made)
    facts = _facts(known)
    route = snapshot.router.find(facts)
    told: dict[str, Any] = {
        "route": route.name if route else None,
        "passed": [{"route": name, "why": why} for name, why in snapshot.router.why(facts) if why],
    }
    choice = choose(route, known.get("id", ""), lambda name: states.get(name, "")) if route else None
    if route is not None:
        told |= {"pool": route.pool, "refuse_ms": route.refuse_ms, "policy": route.policy}
    if choice is not None and route is not None:
        told |= {
            "partner": choice.partner,
            "tier": choice.tier,
            "spilt": list(choice.passed),
            "destination": snapshot.destinations.get(choice.partner, ""),
            "limits": list(snapshot.limits_of(route, choice.partner, facts.network)),
        }
    if json_:
        print(json.dumps(told))
    else:
        _tell(told)
    sys.exit(0 if route else 1)


def _pairs(words: list[str], known: Any, what: str) -> dict[str, str]:
    pairs = dict(word.strip().partition("=")[::2] for word in words)
    for name in pairs:
        if known is not None and name not in known:
            raise click.BadParameter(f"{what}: no '{name}', one of {', '.join(known)} was expected")
    return pairs


def _facts(known: dict[str, str]) -> Any:
    from ashvale.config.check import hours
    from ashvale.routing.router import Facts

    span = hours(f"{known.get('at', '12:00')}-24:00")
    if span is None:
        raise click.BadParameter(f"at={known['at']} is no time of day, HH:MM was expected")
    return Facts(
        known.get("class", ""),
        known.get("network", ""),
        known.get("destination", ""),
        known.get("sender", ""),
        known.get("recipient", ""),
        span[0],
    )


def _tell(told: dict[str, Any]) -> None:
    for passed in told["passed"]:
        print(f"not '{passed['route']}': it does not take {passed['why']}")
    if told["route"] is None:
        print("no route fits")
        return
    print(f"route '{told['route']}'" + (f", pool '{told['pool']}'" if told["pool"] else ""))
    if told["refuse_ms"] is not None:
        print(f"refused, to come back after {told['refuse_ms']:g} ms")
    for number, passed in enumerate(told.get("spilt", []), 1):
        print(f"tier {number} passed over: {passed}")
    if "partner" in told:
        print(f"partner '{told['partner']}', destination '{told['destination']}', tier {told['tier']}")
        print("limits: " + (", ".join(told["limits"]) or "none"))


@config.command()
@click.argument("files", nargs=-1, type=click.Path())
@click.option("--check", "check_", is_flag=True, help="Change nothing; exit code 1 where one would change.")
@click.option("--stdin", "stdin_", is_flag=True, help="From standard input to standard output.")
def fmt(files: tuple[str, ...], check_: bool, stdin_: bool) -> None:
    """Put files into the one layout; a file that is not TOML is left as it is, with exit code 2."""
    from ashvale.config.layout import Unreadable, layout

    changed = unreadable = 0
    if stdin_ == bool(files):
        raise click.UsageError("either files or --stdin")
    for file in files or ("-",):
        data = sys.stdin.buffer.read() if stdin_ else Path(file).read_bytes()
        try:
            text = layout(file, data).encode()
        except Unreadable as error:
            from ashvale.config.text import Source

            for mistake in error.mistakes:
                print(shown(mistake, {file: Source(file, data)}), file=sys.stderr)
            unreadable += 1
            continue
        if stdin_:
            sys.stdout.buffer.write(text)
        elif text != data:
            changed += 1
            if check_:
                print(f"{file}: another layout")
            else:
                Path(file).write_bytes(text)
    sys.exit(2 if unreadable else 1 if check_ and changed else 0)


@config.command()
@click.argument("file", type=click.Path())
def convert(file: str) -> None:
    """Print the mail front's older file as a set, without loss; exit code 2 where a set cannot say it."""
    from ashvale.config import ConfigError, mail, mailset, read_toml
    from ashvale.config.layout import layout

    try:
        root = read_toml(Path(file))
        mail(root, Path(file).name)  # what is wrong with it is told as ever
        text = layout(file, mailset.convert(root).encode())
    except ConfigError as error:
        print(f"ashvale: {error}", file=sys.stderr)
        sys.exit(2)
    sys.stdout.write(text)


@config.command()
@click.argument("old", type=click.Path())
@click.argument("new", type=click.Path())
@click.option("--json", "json_", is_flag=True, help="A JSON object a change.")
def diff(old: str, new: str, json_: bool) -> None:
    """What changes between two versions of a set, by meaning: exit code 1 where anything does."""
    from ashvale.config.check import errors
    from ashvale.config.diff import diff as changes
    from ashvale.config.diff import summary

    sets = []
    for file in (old, new):
        made, found = loaded(file)
        if bad := errors(found):
            for mistake in bad:
                print(shown(mistake, made.sources), file=sys.stderr)
            sys.exit(2)
        sets.append(made)
    found = changes(*sets)
    if json_:
        for change in found:
            print(
                json.dumps(
                    {
                        "path": ".".join(change.path),
                        "old": change.old,
                        "new": change.new,
                        "live": change.live,
                        "effect": change.effect,
                    }
                )
            )
    else:
        for sign, text, one in summary(found):
            more = [one.effect, "" if one.live else "waits for the next start"]
            print(f"{sign} {text}" + "".join(f"; {part}" for part in more if part))
    sys.exit(1 if found else 0)


@config.command()
def reference() -> None:
    """Print all tables and keys as a page of Markdown."""
    from ashvale.config.declare import reference

    sys.stdout.write(reference())


@config.command()
@click.argument("file", type=click.Path())
@click.option("--json", "json_", is_flag=True, help="A JSON object a value.")
def show(file: str, json_: bool) -> None:
    """Print what is in force, each value with the place that it comes from."""
    from ashvale.config.check import errors

    made, found = loaded(file)
    for mistake in errors(found):
        print(shown(mistake, made.sources), file=sys.stderr)
    entries = [e for kind in made.entries.values() for e in kind.values()]
    for entry in [*made.single.values(), *entries, *made.listen, *made.routes]:
        _show(entry, entry.kind if entry.kind in made.single else f"{entry.kind}.{entry.name}", json_)
    sys.exit(1 if errors(found) else 0)


def _show(entry: Any, path: str, json_: bool) -> None:
    import msgspec

    for declared in msgspec.structs.fields(entry.data):
        key, value = declared.encode_name, getattr(entry.data, declared.name)
        if key in entry.parts:
            for part in entry.parts[key]:
                _show(part, f"{path}.{key}.{part.name}", json_)
            continue
        if value is None or (not value and isinstance(value, (list, dict))):
            continue
        where = str(entry.places[key]) if key in entry.places else "default"
        print(
            json.dumps({"key": f"{path}.{key}", "value": value, "from": where})
            if json_
            else f"{path}.{key} = {json.dumps(value)}  # {where}"
        )
