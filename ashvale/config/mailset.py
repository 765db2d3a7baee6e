"""The mail front from a set, and a set from the mail front's older file.

It owns both translations and must never lose anything on the way: what one form cannot say is an error that
names it. A set becomes the older file's tables, which `daemon` reads and checks as before, so that both forms
mean the same to a courier.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Optional

from ashvale.config import units
from ashvale.config.base import GOOD_SET, ConfigError
from ashvale.config.check import check, errors
from ashvale.config.reader import Entry, Files, Loaded, load
from ashvale.routing.build import Plan, plan

POLICY = "mail"
OWN = ("trace", "log", "fleet")  # tables that a courier follows whatever it serves


def files_below(root: Path) -> Files:
    """The files of a set, as the reader names them: by their path below the folder of its first file."""

    def names(folder: str) -> list[str]:
        return [path.relative_to(root).as_posix() for path in (root / folder).rglob("*") if path.is_file()]

    return Files(lambda name: (root / name).read_bytes(), names)


@dataclass(frozen=True)
class MailSet:
    """The mail front's set: the older file's tables, and its door's plan, where it has any limit or pool.

    `routes` names the route of each recipient rule, and `sources` holds the files.
    """

    root: dict[str, Any]
    plan: Optional[Plan]
    routes: tuple[str, ...]
    sources: dict[str, bytes]


def read_set(file: Path) -> MailSet:
    """A set on disk for the mail front; `ConfigError` tells the first mistake of it."""
    return _mail_set(_right(file.name, files_below(file.parent)))


def read_good_set(file: Path) -> MailSet:
    """The same of a set that `keep` has written."""
    return _mail_set(_right(*_kept(file)))


def _mail_set(made: Loaded) -> MailSet:
    limited = made.entries["pool"] or made.entries["limit"]
    return MailSet(
        tables(made),
        plan(made) if limited else None,
        tuple(route.data.name for route in made.routes for _ in route.data.recipients or ["*"]),
        {name: source.data for name, source in made.sources.items()},
    )


def _right(name: str, files: Files) -> Loaded:
    made = load(name, files)
    if bad := errors(check(made)):
        more = f" (and {len(bad) - 1} more: ashvale config check)" if len(bad) > 1 else ""
        raise ConfigError(f"{bad[0].place}: {bad[0].code} {bad[0].what}{more}")
    return made


Served = tuple[dict[str, Any], Plan, dict[str, bytes]]


def read_plan(file: Path) -> Served:
    """The operator's set for a courier's door: its `[trace]`, its routes and limits, and its files.

    What the door does not serve yet is refused by name and place, rather than left without effect.
    """
    return _plan(file.name, files_below(file.parent))


def read_good(file: Path) -> Served:
    """The same of a set that `keep` has written."""
    return _plan(*_kept(file))


def _kept(file: Path) -> tuple[str, Files]:
    new = file.with_name(f"{file.name}.new")
    try:  # a kill between the two steps of `keep` leaves the new one under its first name
        kept = json.loads((file if file.exists() or not new.exists() else new).read_bytes())
        data = {name: str(text).encode() for name, text in kept["files"].items()}
        return str(kept["first"]), Files(data.__getitem__, lambda folder: list(data))
    except (OSError, ValueError, KeyError, AttributeError, TypeError) as error:
        raise ConfigError(f"{file.name}: the last good set cannot be read ({error})") from None


def keep(folder: Path, sources: Mapping[str, bytes], name: str = GOOD_SET) -> None:
    """Keep a set that has come into force, for a start that finds a bad one; without files, forget it."""
    file, new = folder / name, folder / f"{name}.new"
    if not sources:
        file.unlink(missing_ok=True)
        return
    data = json.dumps(
        {"first": next(iter(sources)), "files": {name: body.decode() for name, body in sources.items()}}
    ).encode()
    if not file.exists() or file.read_bytes() != data:
        new.write_bytes(data)
        file.unlink(missing_ok=True)  # some file systems take 50 ms to rename a file over another
        new.rename(file)


def _plan(name: str, files: Files) -> Served:
    made = _right(name, files)
    for kind, keys in (
        ("network", {"limit"}),
        ("partner", {"limit", "destination", "kind"}),
        ("pool", set()),
        ("policy", set()),
        ("class", {"repeat", "deadline", "aim", "window", "worth", "late_worth"}),
    ):
        for entry in made.entries[kind].values():
            _only(entry, keys, "door")
    for route in made.routes:
        _only(
            route,
            {
                "name",
                "refuse",
                "limit",
                "to",
                "classes",
                "networks",
                "destinations",
                "senders",
                "recipients",
                "hours",
            },
            "door",
        )
    for entry in [*made.listen, *(e for kind, e in made.single.items() if kind not in OWN)]:
        _only(entry, set(), "door")
    own = {
        kind: {key: getattr(entry.data, key) for key in entry.places}
        for kind, entry in made.single.items()
        if kind in OWN
    }
    return own, plan(made), {n: s.data for n, s in made.sources.items()}


# A set as the older tables


def tables(made: Loaded) -> dict[str, Any]:
    """The older file's tables that mean what the set means."""
    for kind in OWN:
        if kind in made.single:
            raise ConfigError(f"{made.single[kind].place}: table '{kind}' belongs to deploy/ashvale.toml")
    courier = made.single.get("courier")
    root: dict[str, Any] = {"enabled": bool(made.listen) and (courier is None or courier.data.mail)}
    limits = root["limits"] = dict[str, Any]()
    if courier is not None:
        for key in ("hostname", "state"):
            if key in courier.places:
                root[key] = getattr(courier.data, key)
        for key, name in (
            ("slots", "slots"),
            ("held", "max_open"),
            ("recipients", "recipients"),
            ("sockets", "sockets"),
        ):
            if key in courier.places:
                limits[name] = getattr(courier.data, key)
        for key, name, factor in (
            ("message", "size", 1.0),
            ("client_idle", "client_idle_ms", 1.0),
            ("disk", "disk_mb", 1e-6),
        ):
            if key in courier.places:
                value = courier.amounts[key] * factor
                limits[name] = value if key == "disk" else round(value)
    _policy(made, limits)
    root["listen"] = [
        {"protocol": x.data.protocol, "address": x.data.address, "connections": x.data.connections}
        for x in made.listen
    ]
    root["class"] = [_class(entry) for entry in made.entries["class"].values()]
    root["tenant"], root["sender"] = [], []
    for network in made.entries["network"].values():
        tenant: dict[str, Any] = {"name": network.name}
        if "share" in network.amounts:
            tenant["share"] = network.amounts["share"]
        if "rate" in network.amounts:
            tenant["quota_per_s"] = network.amounts["rate"]
        _only(network, {"share", "rate", "senders", "limit"})
        root["tenant"].append(tenant)
        root["sender"] += [{"match": match, "tenant": network.name} for match in network.data.senders]
    root["destination"] = [_partner(entry) for entry in made.entries["partner"].values()]
    root["recipient"] = [rule for route in made.routes for rule in _rules(made, route)]
    return root


def _only(entry: Entry, served: set[str], who: str = "mail front") -> None:
    """Guards against keys that would silently do nothing."""
    for key in entry.places:
        if key not in served:
            raise ConfigError(f"{entry.at(key)}: key '{key}': the {who} does not serve it yet")


def _policy(made: Loaded, limits: dict[str, Any]) -> None:
    used = {route.data.policy for route in made.routes}
    if len(used) > 1:
        raise ConfigError(f"{made.routes[0].place}: the mail front has one policy for all routes")
    for name in used - {None}:
        policy = made.entries["policy"][str(name)]
        if "attempts" in policy.places:
            limits["attempts"] = policy.data.attempts
        for key, known in (
            ("connect_timeout", "connect_timeout_ms"),
            ("keepalive", "keepalive_ms"),
            ("longest_wait", "max_wait_ms"),
        ):
            if key in policy.places:
                limits[known] = policy.amounts[key]


def _class(entry: Entry) -> dict[str, Any]:
    if entry.data.repeat == "keyed":
        raise ConfigError(f"{entry.at('repeat')}: key 'repeat': mail partners keep no keys")
    made = {"name": entry.name, "repeat": entry.data.repeat, "deadline_ms": entry.amounts["deadline"]}
    for key, known in (("aim", "aim_ms"), ("remember", "window_ms"), ("late_worth", "late_worth")):
        if key in entry.places:
            made[known] = entry.amounts[key]
    if "worth" in entry.places:
        made["worth"] = entry.data.worth
    return made


def _partner(entry: Entry) -> dict[str, Any]:
    _only(entry, {"rate", "endpoint", "kind", "limit"})
    made: dict[str, Any] = {"name": entry.name, "instance": []}
    if "rate" in entry.amounts:
        made["rate"] = entry.amounts["rate"]
    for endpoint in entry.parts.get("endpoint", []):
        _only(endpoint, {"address", "protocol", "zone"})
        made["instance"].append(
            {"protocol": endpoint.data.protocol, "address": endpoint.data.address}
            | ({"zone": endpoint.data.zone} if endpoint.data.zone else {})
        )
    return made


def _rules(made: Loaded, route: Entry) -> list[dict[str, Any]]:
    """The recipient rules of a route; one to a pool names a partner of it, and the door chooses anew."""
    _only(route, {"name", "to", "as", "recipients", "policy", "limit"})
    kind, _, name = (route.data.to or "").partition(" ")
    if kind == "pool":
        members = sorted(made.entries["pool"][name].data.member, key=lambda member: member.tier)
        name = next(member.partner for member in members if member.weight)
    elif kind != "partner":
        raise ConfigError(f"{route.place}: route '{route.name}': the mail front serves routes to partners")
    if route.data.as_ is None:
        raise ConfigError(f"{route.place}: route '{route.name}' has no key 'as': mail names no class")
    return [
        {"match": match, "class": route.data.as_, "destination": name}
        for match in route.data.recipients or ["*"]
    ]


# The older tables as a set


def convert(root: dict[str, Any]) -> str:
    """The older file's tables as a set's text, not yet laid out; `ConfigError` for what a set cannot say."""
    lines = ["[courier]"]
    limits = dict(root.get("limits", {}))
    lines += [f"{key} = {_quoted(root[key])}" for key in ("hostname", "state") if key in root]
    if not root.get("enabled", False):
        lines.append("mail = false")
    for name, key in (
        ("slots", "slots"),
        ("max_open", "held"),
        ("recipients", "recipients"),
        ("sockets", "sockets"),
    ):
        if name in limits:
            lines.append(f"{key} = {limits[name]}")
    for name, key, kind, factor in (
        ("size", "message", "size", 1.0),
        ("client_idle_ms", "client_idle", "time", 1.0),
        ("disk_mb", "disk", "size", 1e6),
    ):
        if name in limits:
            lines.append(f"{key} = {_amount(limits[name] * factor, kind)}")
    policy = [f"attempts = {limits['attempts']}"] if "attempts" in limits else []
    times = (
        ("connect_timeout_ms", "connect_timeout"),
        ("keepalive_ms", "keepalive"),
        ("max_wait_ms", "longest_wait"),
    )
    policy += [f"{key} = {_amount(limits[name], 'time')}" for name, key in times if name in limits]
    if policy:
        lines += [f"[policy.{POLICY}]", *policy]
    for listen in root.get("listen", []):
        lines += ["[[listen]]", *(f"{key} = {_plain(value)}" for key, value in listen.items())]
    for cls in root.get("class", []):
        lines += [f"[class.{_key(cls['name'])}]", f"repeat = {_quoted(cls['repeat'])}"]
        lines += [
            f"{key} = {_amount(cls[name], kind)}"
            for name, key, kind in (
                ("aim_ms", "aim", "time"),
                ("deadline_ms", "deadline", "time"),
                ("window_ms", "remember", "time"),
                ("late_worth", "late_worth", "share"),
            )
            if name in cls
        ]
        lines += [f"worth = {cls['worth']}"] if "worth" in cls else []
    lines += _networks(root)
    for destination in root.get("destination", []):
        name = _key(destination["name"])
        lines += [f"[partner.{name}]"]
        lines += [f"rate = {_amount(destination['rate'], 'rate')}"] if destination.get("rate") else []
        for number, instance in enumerate(destination.get("instance", []), 1):
            lines += [
                f"[partner.{name}.endpoint.e{number}]",
                *(f"{key} = {_plain(value)}" for key, value in instance.items()),
            ]
    for number, rule in enumerate(root.get("recipient", []), 1):
        lines += [
            "[[route]]",
            f"name = {_quoted(f'{number}: ' + rule['match'])}",
            f"recipients = [{_quoted(rule['match'])}]",
            f"as = {_quoted(rule['class'])}",
            f"to = {_quoted('partner ' + rule['destination'])}",
        ]
        lines += [f"policy = {_quoted(POLICY)}"] if policy else []
    return "\n".join(lines) + "\n"


def _networks(root: dict[str, Any]) -> list[str]:
    """Networks with their senders; the order of rules counts, so a network's must stand together."""
    order = [rule["tenant"] for rule in root.get("sender", [])]
    runs = [name for at, name in enumerate(order) if at == 0 or order[at - 1] != name]
    for name in runs:
        if runs.count(name) > 1:
            raise ConfigError(f"sender: those of tenant '{name}' stand in two places, and their order counts")
    tenants = {tenant["name"]: tenant for tenant in root.get("tenant", [])}
    lines = []
    for name in [*runs, *(name for name in tenants if name not in runs)]:
        tenant = tenants[name]
        lines.append(f"[network.{_key(name)}]")
        lines += [f"share = {_amount(tenant['share'], 'share')}"] if "share" in tenant else []
        lines += [f"rate = {_amount(tenant['quota_per_s'], 'rate')}"] if tenant.get("quota_per_s") else []
        senders = [rule["match"] for rule in root.get("sender", []) if rule["tenant"] == name]
        lines += [f"senders = [{', '.join(map(_quoted, senders))}]"] if senders else []
    return lines


def _amount(value: float, kind: str) -> str:
    return _quoted(units.write(value, kind))


def _quoted(text: str) -> str:
    """A basic string of TOML; a dollar sign in front is written twice, as it would name a constant."""
    return json.dumps("$" + text if text.startswith("$") else text, ensure_ascii=False)


def _plain(value: Any) -> str:
    return _quoted(value) if isinstance(value, str) else str(value)


def _key(name: str) -> str:
    bare = name and all(char.isascii() and (char.isalnum() or char in "-_") for char in name)
    return name if bare else json.dumps(name, ensure_ascii=False)
