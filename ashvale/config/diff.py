"""What two versions of a set differ in, by meaning: which partner, route or limit, and from when.

It owns the comparison, and what a change does to messages that are held. It must never compare texts: "2 s"
and "2000 ms" are the same, and so are two orders of tables. Routes have an order, which counts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from ashvale.config.reader import Entry, Loaded

Path = tuple[str, ...]
AT_START = {("courier", "hostname"), ("courier", "state"), ("courier", "memory")}
"""What waits for the next start; all else is swapped between two ticks."""


@dataclass(frozen=True)
class Change:
    """One value that differs; None stands for what is not there."""

    path: Path
    old: Any
    new: Any

    @property
    def live(self) -> bool:
        return self.path[:2] not in AT_START

    @property
    def effect(self) -> str:
        """What it does to messages that are held."""
        kind = self.path[0]
        whole = len(self.path) == 3 and self.path[2] == "" and self.new is None
        if kind == "class":
            return "held messages keep the class they came with"
        if kind == "partner" and whole:
            return "what is held for it waits for an endpoint until its time is up, or is returned"
        if kind == "partner" and "endpoint" in self.path and self.new is None:
            return "calls that are out there end; nothing new goes to it"
        if kind in ("route", "order", "pool"):
            return "held messages stay with the partner that was chosen for them"
        if kind == "limit":
            return "what is used of it stays used"
        return ""


def facts(made: Loaded) -> dict[Path, Any]:
    """A set as plain values: quantities as numbers, each entry's existence under the key ''."""
    found: dict[Path, Any] = {}
    for kind, named in made.entries.items():
        for name, entry in named.items():
            _entry(found, (kind, name), entry)
    for kind, entry in made.single.items():
        _entry(found, (kind,), entry, exists=False)
    for entry in made.listen:
        _entry(found, ("listen", f"{entry.data.protocol} {entry.data.address}"), entry)
    for entry in made.routes:
        _entry(found, ("route", entry.name), entry)
    if made.routes:
        found["order",] = tuple(entry.name for entry in made.routes)
    return found


def _entry(found: dict[Path, Any], path: Path, entry: Entry, exists: bool = True) -> None:
    if exists:
        found[*path, ""] = True
    for declared in msgspec.structs.fields(entry.data):
        key = declared.encode_name
        if key in entry.parts:
            for number, part in enumerate(entry.parts[key]):
                name = part.name if key == "endpoint" else f"{part.data.partner} {number}"
                _entry(found, (*path, key, name), part)
            continue
        value = entry.amounts.get(key, getattr(entry.data, declared.name))
        if isinstance(value, list):
            value = tuple(sorted(value))
        if value is not None and value != () and value != {}:
            found[*path, key] = value


def diff(old: Loaded, new: Loaded) -> list[Change]:
    """All changes, in a stable order: an entry that comes or goes whole is one change, by its existence."""
    one, other = facts(old), facts(new)
    return changes(one, other)


def changes(one: dict[Path, Any], other: dict[Path, Any]) -> list[Change]:
    return [
        Change(path, one.get(path), other.get(path))
        for path in sorted(one.keys() | other.keys())
        if one.get(path) != other.get(path)
    ]


def apply(one: dict[Path, Any], made: list[Change]) -> dict[Path, Any]:
    """The facts that come of these changes."""
    found = dict(one)
    for change in made:
        if change.new is None:
            found.pop(change.path, None)
        else:
            found[change.path] = change.new
    return found


def summary(made: list[Change]) -> list[tuple[str, str, Change]]:
    """Changes for people: sign, text and the change; an entry that comes or goes is told once."""
    whole = {c.path[:-1]: c for c in made if c.path[-1] == ""}
    lines: list[tuple[str, str, Change]] = []
    for change in made:
        above = [change.path[:n] for n in range(1, len(change.path))]
        if change.path[-1] == "":
            if not any(path in whole for path in above[:-1]):
                lines.append(("+" if change.new else "-", " ".join(change.path[:-1]), change))
        elif not any(path in whole for path in above):
            what = f"{_shown(change.old)} to {_shown(change.new)}"
            lines.append(("~", f"{'.'.join(change.path)}: {what}", change))
    return lines


def _shown(value: Any) -> str:
    if value is None:
        return "nothing"
    return (
        ", ".join(map(str, value))
        if isinstance(value, tuple)
        else f"{value:g}"
        if isinstance(value, float)
        else str(value)
    )
