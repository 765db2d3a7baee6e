"""A set of files read as one: includes, constants, defaults and overrides, each value with its place.

It owns the order in which files and tables count, and the check of each value against its declaration. It
must never stop at a mistake: all of them are found in one pass. Files are read through a function that the
caller gives, so that tests and editors can hand in text.

Order, the later over the earlier: what `declare` gives, `[default.KIND]`, the entry itself, and
`[override.KIND.NAME]`. Included files come before the file that includes them, in the order in which they are
named; a pattern's files by name. A constant holds for the whole set.
"""

from __future__ import annotations

import types
from collections.abc import Callable
from dataclasses import dataclass, field
from difflib import get_close_matches
from fnmatch import fnmatchcase
from functools import cache
from pathlib import PurePosixPath
from typing import Annotated, Any, Optional, Union, get_args, get_origin, get_type_hints

import msgspec

from ashvale.config import declare, units
from ashvale.config.declare import NAMED, SINGLE
from ashvale.config.text import Item, Mistake, Place, Reader, Source, Table, Value

DEPTH_MOST, FILES_MOST = 8, 1000
_TYPES = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    list: "a list",
    dict: "a table",
}


@dataclass
class Entry:
    """A table that was read: `data` is its declared struct, `amounts` its quantities as numbers, `places`
    where each of its keys stands, `lists` the places of the parts of its lists, `parts` the tables in it.
    """

    kind: str
    name: str
    place: Place
    data: Any
    amounts: dict[str, float] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)
    lists: dict[str, list[Place]] = field(default_factory=dict)
    parts: dict[str, list[Entry]] = field(default_factory=dict)
    bad: set[str] = field(default_factory=set)  # keys that are written, and cannot be used

    def at(self, key: str) -> Place:
        return self.places.get(key, self.place)


@dataclass
class Loaded:
    """A whole set, as far as it could be read."""

    entries: dict[str, dict[str, Entry]] = field(default_factory=lambda: {kind: {} for kind in NAMED})
    routes: list[Entry] = field(default_factory=list)
    listen: list[Entry] = field(default_factory=list)
    single: dict[str, Entry] = field(default_factory=dict)  # courier, trace, log
    mistakes: list[Mistake] = field(default_factory=list)
    sources: dict[str, Source] = field(default_factory=dict)

    def wrong(
        self, code: str, place: Place, what: str, meant: str = "", others: tuple[tuple[Place, str], ...] = ()
    ) -> None:
        self.mistakes.append(Mistake(code, place, what, meant, others))


class Files:
    """Where files come from: `read` gives a file's bytes or raises OSError, `names` all below a folder."""

    def __init__(self, read: Callable[[str], bytes], names: Callable[[str], list[str]]) -> None:
        self.read, self.names = read, names


def load(root: str, files: Files) -> Loaded:
    """Read a file and all that it includes. Paths are POSIX paths, as the caller names them."""
    made = Loaded()
    found: list[tuple[str, Table]] = []
    _file(root, files, made, found, [], Place(root))
    constants = _constants(made, found)
    defaults, overrides = _layers(made, found, constants)
    for _, table in found:
        _tables(made, table, constants, defaults, overrides)
    for kind, named in overrides.items():
        for name, (place, _) in named.items():
            if name not in made.entries[kind]:
                made.wrong(
                    "E0144",
                    place,
                    f"override of {kind} '{name}', which no file defines",
                    nearest(name, made.entries[kind]),
                )
    return made


# Files


def _file(
    name: str, files: Files, made: Loaded, found: list[tuple[str, Table]], stack: list[str], asked: Place
) -> None:
    if name in stack:
        chain = " includes ".join([*stack[stack.index(name) :], name])
        return made.wrong("E0111", asked, f"files include each other: {chain}")
    if name in made.sources:
        return  # a file that two others include counts once
    if len(stack) >= DEPTH_MOST:
        return made.wrong("E0112", asked, f"includes are more than {DEPTH_MOST} deep")
    if len(made.sources) >= FILES_MOST:
        return made.wrong("E0112", asked, f"a set has at most {FILES_MOST} files")
    try:
        data = files.read(name)
    except OSError as error:
        return made.wrong("E0102", asked, f"cannot read '{name}': {(error.strerror or str(error)).lower()}")
    source = made.sources[name] = Source(name, data)
    reader = Reader(source)
    table = reader.read()
    made.mistakes += reader.mistakes
    include = table.items.get("include")
    for part in _texts(include, made) if include else []:
        _include(str(part.value), part.place, name, files, made, found, [*stack, name])
    found.append((name, table))


def _texts(item: Item, made: Loaded) -> list[Item]:
    if not isinstance(item.value, list) or not all(isinstance(part.value, str) for part in item.value):
        made.wrong("E0122", item.place, "key 'include' is a list of texts", 'like ["partners/*.toml"]')
        return []
    return item.value


def _include(
    pattern: str,
    place: Place,
    name: str,
    files: Files,
    made: Loaded,
    found: list[tuple[str, Table]],
    stack: list[str],
) -> None:
    folder = PurePosixPath(name).parent
    if PurePosixPath(pattern).is_absolute() or ".." in PurePosixPath(pattern).parts:
        return made.wrong(
            "E0113", place, f"'{pattern}' leaves the folder of the file that includes it", "a path below it"
        )
    whole = str(folder / pattern)
    if any(char in pattern for char in "*?["):
        names = sorted(n for n in files.names(str(folder)) if n != name and _matches(n, whole))
        if not names:
            return made.wrong("E0110", place, f"no file fits '{pattern}'")
    else:
        names = [whole]
    for each in names:
        _file(each, files, made, found, stack, place)


def _matches(name: str, pattern: str) -> bool:
    """A star does not cross a folder."""
    one, other = PurePosixPath(name).parts, PurePosixPath(pattern).parts
    return len(one) == len(other) and all(map(fnmatchcase, one, other))


# Constants, defaults, overrides


def _constants(made: Loaded, found: list[tuple[str, Table]]) -> dict[str, Item]:
    known: dict[str, Item] = {}
    for _, table in found:
        item = table.items.get("let")
        if item is None:
            continue
        if not isinstance(item.value, Table):
            made.wrong("E0122", item.place, "key 'let' is a table", "like [let]")
            continue
        for name, constant in item.value.items.items():
            if name in known:
                _twice(made, "constant", name, constant.key, known[name].key)
            else:
                known[name] = constant
    done: dict[str, Item] = {}
    for name, item in known.items():
        chain, current = [name], item
        while isinstance(current.value, str) and current.value.startswith("$") and current.value != "$$":
            target = current.value[1:]
            if target in chain:
                made.wrong(
                    "E0143",
                    item.place,
                    "constants refer to each other: " + ", ".join(f"${n}" for n in [*chain, target]),
                )
                break
            if target not in known:
                made.wrong("E0142", current.place, f"no constant '${target}'", nearest(target, known, "$"))
                break
            chain.append(target)
            current = known[target]
        done[name] = Item(item.key, item.place, current.value)
    return done


Layer = dict[str, dict[str, Item]]
Overrides = dict[str, dict[str, tuple[Place, dict[str, Item]]]]


def _layers(
    made: Loaded, found: list[tuple[str, Table]], constants: dict[str, Item]
) -> tuple[Layer, Overrides]:
    defaults: Layer = {kind: {} for kind in NAMED}
    overrides: Overrides = {kind: {} for kind in NAMED}
    for _, table in found:
        for layer in ("default", "override"):
            item = table.items.get(layer)
            for kind, named in _children(made, item, layer):
                if kind not in NAMED:
                    made.wrong(
                        "E0120", named.key, f"no kind of table '{kind}' to {layer}", nearest(kind, NAMED)
                    )
                    continue
                if layer == "default":
                    for key, value in _table(made, named).items.items():
                        if key in defaults[kind]:
                            _twice(made, f"default of {kind}", key, value.key, defaults[kind][key].key)
                        defaults[kind].setdefault(key, value)
                    continue
                for name, entry in _table(made, named).items.items():
                    if name in overrides[kind]:
                        _twice(made, f"override of {kind}", name, entry.key, overrides[kind][name][0])
                        continue
                    overrides[kind][name] = entry.key, dict(_table(made, entry).items)
    return defaults, overrides


def _children(made: Loaded, item: Optional[Item], name: str) -> list[tuple[str, Item]]:
    return list(_table(made, item).items.items()) if item is not None else []


def _table(made: Loaded, item: Item) -> Table:
    if isinstance(item.value, Table):
        return item.value
    made.wrong("E0122", item.place, f"{_is(item.value)}, a table was expected")
    return Table(item.place)


def _twice(made: Loaded, what: str, name: str, place: Place, first: Place) -> None:
    made.wrong(
        "E0140",
        place,
        f"{what} '{name}' is defined twice",
        "one of the two, or an override",
        ((first, "the first"),),
    )


# Tables


def _tables(
    made: Loaded, table: Table, constants: dict[str, Item], defaults: Layer, overrides: Overrides
) -> None:
    walk = Walk(made, constants)
    for key, item in table.items.items():
        if key in ("include", "let", "default", "override"):
            continue
        if key in NAMED:
            struct = _STRUCTS[key]
            for name, entry in _table(made, item).items.items():
                if name in made.entries[key]:
                    _twice(made, key, name, entry.key, made.entries[key][name].place)
                    continue
                if not isinstance(entry.value, Table):
                    _table(made, entry)
                    continue
                _, over = overrides[key].get(name, (None, {}))
                whole = {**defaults[key], **entry.value.items, **over}
                made.entries[key][name] = walk.struct(key, name, entry.key, whole, struct)
        elif key in SINGLE:
            if key in made.single:
                _twice(made, "table", key, item.key, made.single[key].place)
            elif isinstance(item.value, Table):
                made.single[key] = walk.struct(key, key, item.key, item.value.items, _STRUCTS[key])
            else:
                _table(made, item)
        elif key in ("route", "listen"):
            if not isinstance(item.value, list):
                made.wrong(
                    "E0122", item.place, f"{_is(item.value)}, a list of tables was expected", f"[[{key}]]"
                )
                continue
            for number, part in enumerate(item.value, 1):
                if not isinstance(part.value, Table):
                    _table(made, part)
                    continue
                name_item = part.value.items.get("name")
                name = name_item.value if name_item and isinstance(name_item.value, str) else str(number)
                entry_ = walk.struct(key, name, part.key, part.value.items, _STRUCTS[key])
                (made.routes if key == "route" else made.listen).append(entry_)
        else:
            known = [*NAMED, *SINGLE, "route", "listen", "include", "let", "default", "override"]
            made.wrong("E0120", item.key, f"no table or key '{key}'", nearest(key, known))


_STRUCTS: dict[str, Any] = {
    "class": declare.Class,
    "network": declare.Network,
    "partner": declare.Partner,
    "pool": declare.Pool,
    "limit": declare.Limit,
    "policy": declare.Policy,
    "route": declare.Route,
    "listen": declare.Listener,
    "courier": declare.Courier,
    "trace": declare.Trace,
    "log": declare.Log,
}


class Walk:
    """Checks tables against their declarations."""

    def __init__(self, made: Loaded, constants: dict[str, Item]) -> None:
        self.made, self.constants = made, constants

    def struct(self, kind: str, name: str, place: Place, items: dict[str, Item], struct: Any) -> Entry:
        """Read a table; keys that cannot be used have their defaults, or nothing."""
        hints, fields = _declared(struct)
        entry, values = Entry(kind, name, place, None), dict[str, Any]()
        for key, item in items.items():
            if key not in fields:
                self.made.wrong("E0121", item.key, f"no key '{key}' in {_titled(kind)}", nearest(key, fields))
                continue
            entry.places[key] = item.place
            found = self._value(entry, key, self._constant(item), hints[fields[key].name])
            if found is not None:
                values[fields[key].name] = found
            else:
                entry.bad.add(key)
        for key, declared in fields.items():
            if declared.required and key not in items:
                self.made.wrong(
                    "E0123",
                    place,
                    f"{_titled(kind)} '{name}' has no key '{key}'",
                    _needed(hints[declared.name]),
                )
            default = declared.default
            meta = _meta(hints[declared.name])
            if key not in items and isinstance(default, str) and meta and (meta.extra or {}).get("quantity"):
                amount = units.read(default, str((meta.extra or {})["quantity"]))
                if isinstance(amount, float):
                    entry.amounts[key] = amount
            if declared.required and declared.name not in values:
                values[declared.name] = None
        entry.data = struct(**values)
        return entry

    def _constant(self, item: Item) -> Item:
        """A text of `$NAME` stands for the constant; `$$` begins a text with one `$`."""
        if isinstance(item.value, list):
            return Item(item.key, item.place, [self._constant(part) for part in item.value])
        if not isinstance(item.value, str) or not item.value.startswith("$"):
            return item
        if item.value.startswith("$$"):
            return Item(item.key, item.place, item.value[1:])
        name = item.value[1:]
        if name not in self.constants:
            self.made.wrong("E0142", item.place, f"no constant '${name}'", nearest(name, self.constants, "$"))
            return Item(item.key, item.place, _MISSING)
        return Item(item.key, item.place, self.constants[name].value)

    def _value(self, entry: Entry, key: str, item: Item, hint: Any) -> Any:
        meta, kind = _meta(hint), _bare(hint)
        extra = (meta.extra or {}) if meta else {}
        if item.value is _MISSING:
            return None
        if get_origin(kind) is list:
            part_kind = get_args(kind)[0]
            if not isinstance(item.value, list):
                return self._type(
                    item, "a list", f'like ["{item.value}"]' if isinstance(item.value, str) else ""
                )
            entry.lists[key] = [part.place for part in item.value]
            if isinstance(part_kind, type) and issubclass(part_kind, msgspec.Struct):
                parts = [
                    self.struct(key, str(n), part.place, part.value.items, part_kind)
                    for n, part in enumerate(item.value, 1)
                    if self._is_table(part) and isinstance(part.value, Table)
                ]
                entry.parts[key] = parts
                return [part.data for part in parts]
            found = [self._scalar(part, part_kind, extra, key) for part in item.value]
            return [part for part in found if part is not None]
        if get_origin(kind) is dict:
            if not self._is_table(item) or not isinstance(item.value, Table):
                return None
            struct = get_args(kind)[1]
            entry.parts[key] = [
                self.struct(key, name, part.key, part.value.items, struct)
                for name, part in item.value.items.items()
                if self._is_table(part) and isinstance(part.value, Table)
            ]
            return {part.name: part.data for part in entry.parts[key]}
        value = self._scalar(item, kind, extra, key)
        if value is not None and "quantity" in extra:
            amount = units.read(value, extra["quantity"])
            if isinstance(amount, units.Fault):
                self.made.wrong(amount.code, item.place, f"key '{key}': {amount.what}", amount.meant)
                return None
            entry.amounts[key] = amount
        return value

    def _is_table(self, item: Item) -> bool:
        if not isinstance(item.value, Table):
            self._type(item, "a table")
        return isinstance(item.value, Table)

    def _scalar(self, item: Item, kind: Any, extra: dict[str, Any], key: str) -> Any:
        value = item.value
        if value is _MISSING:
            return None
        if "quantity" in extra and isinstance(value, (int, float)) and not isinstance(value, bool):
            fault = units.read(f"{value:g}", extra["quantity"])
            meant = fault.meant if isinstance(fault, units.Fault) else ""
            self.made.wrong("E0130", item.place, f"key '{key}': {value:g} has no unit", meant)
            return None
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or (kind in (int, float) and isinstance(value, bool)):
            return self._type(
                item,
                _TYPES[kind],
                f'"{value}"'
                if kind is str and isinstance(value, (int, float)) and not isinstance(value, bool)
                else "",
            )
        if "choice" in extra and value not in extra["choice"]:
            self.made.wrong(
                "E0124", item.place, f"key '{key}' is '{value}'", nearest(value, extra["choice"], always=True)
            )
            return None
        low, high = extra.get("bounds", (value, value))
        if isinstance(value, (int, float)) and not low <= value <= high:
            self.made.wrong("E0125", item.place, f"key '{key}' is {value:g}", f"from {low:g} to {high:g}")
            return None
        return value

    def _type(self, item: Item, wanted: str, meant: str = "") -> None:
        self.made.wrong("E0122", item.place, f"{_is(item.value)}, {wanted} was expected", meant)


_MISSING = object()


@cache
def _declared(struct: Any) -> tuple[dict[str, Any], dict[str, Any]]:
    """A struct's annotations and fields; looking them up anew took most of the time for a large set."""
    return (
        get_type_hints(struct, include_extras=True),
        {f.encode_name: f for f in msgspec.structs.fields(struct)},
    )


def _bare(hint: Any) -> Any:
    """The type itself, without annotation and `Optional`."""
    if get_origin(hint) is Annotated:
        hint = get_args(hint)[0]
    if get_origin(hint) in (Union, types.UnionType):
        hint = next(arg for arg in get_args(hint) if arg is not type(None))
    return _bare(hint) if get_origin(hint) is Annotated else hint


def _meta(hint: Any) -> Optional[msgspec.Meta]:
    return (
        next((m for m in get_args(hint)[1:] if isinstance(m, msgspec.Meta)), None)
        if get_origin(hint) is Annotated
        else None
    )


def _needed(hint: Any) -> str:
    meta = _meta(hint)
    extra = (meta.extra or {}) if meta else {}
    if "quantity" in extra:
        return f"like {units.EXAMPLES[extra['quantity']]}"
    return "one of " + ", ".join(extra["choice"]) if "choice" in extra else ""


def _titled(kind: str) -> str:
    return {"member": "member", "endpoint": "endpoint", "listen": "listener"}.get(kind, kind)


def _is(value: Value) -> str:
    """What a value is, in words."""
    if isinstance(value, bool):
        return f"{str(value).lower()} is true or false"
    if isinstance(value, (int, float)):
        return f"{value} is a number"
    if isinstance(value, str):
        return f"'{value}' is a text"
    return (
        "this is a list"
        if isinstance(value, list)
        else "this is a table"
        if isinstance(value, Table)
        else "this is a date or time"
    )


def nearest(word: str, known: Any, sign: str = "", always: bool = False) -> str:
    """The known word that is most like one that is not; all of them where none is and they are few."""
    found = get_close_matches(word, list(known), 1, 0.6)
    if found:
        return f"'{sign}{found[0]}'"
    return "one of " + ", ".join(known) if always else ""
