"""TOML with positions: each key and value knows the file, line and column where it stands.

It owns the walk over the syntax tree, which tree-sitter makes, and the rules of TOML on keys that come twice.
Scalars are read by `tomllib`, which also has the last word on whether a file is TOML at all. It must never
raise on a file: what is wrong with it is a `Mistake`, and what can be read is still read.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Optional, Union

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

_LANGUAGE = Language(tree_sitter_toml.language())
_AT = re.compile(r" \(at (?:line (\d+), column (\d+)|end of document)\)\Z")
_SCALARS = {
    "string",
    "integer",
    "float",
    "boolean",
    "local_date",
    "local_time",
    "local_date_time",
    "offset_date_time",
}


@dataclass(frozen=True)
class Place:
    """Where something stands: lines and columns count from 1, columns and length in characters."""

    file: str = ""
    line: int = 1
    column: int = 1
    length: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Mistake:
    """What is wrong, where, and what is meant; `others` are further places that it takes to understand it."""

    code: str
    place: Place
    what: str
    meant: str = ""
    others: tuple[tuple[Place, str], ...] = ()


@dataclass
class Item:
    """A value with the places of its key and of itself."""

    key: Place
    place: Place
    value: Value


@dataclass
class Table:
    """A table; `open` while dotted keys or headers may still add to it."""

    place: Place
    items: dict[str, Item] = field(default_factory=dict)
    headed: bool = False  # a header of its own has named it
    closed: bool = False  # written inline
    dotted: bool = False  # made by dotted keys

    def plain(self) -> dict[str, Any]:
        """The values without their places."""
        return {name: plain(item.value) for name, item in self.items.items()}


Value = Union[Table, list[Item], str, int, float, bool, object]


def plain(value: Value) -> Any:
    if isinstance(value, Table):
        return value.plain()
    return [plain(item.value) for item in value] if isinstance(value, list) else value


class Source:
    """One file's text, for places and for showing lines."""

    def __init__(self, name: str, data: bytes) -> None:
        self.name, self.data = name, data
        self.lines = data.decode("utf-8", "replace").split("\n")
        self._raw = data.split(b"\n")

    def place(self, node: Node) -> Place:
        row, column = node.start_point
        end_row, end_column = node.end_point
        start = self._column(row, column)
        length = self._column(row, end_column) - start if end_row == row else len(self.lines[row]) + 1 - start
        return Place(self.name, row + 1, start, max(1, length))

    def _column(self, row: int, column: int) -> int:
        """Characters, not bytes."""
        return len(self._raw[row][:column].decode("utf-8", "replace")) + 1 if row < len(self._raw) else 1

    def line(self, number: int) -> str:
        return self.lines[number - 1].rstrip("\r") if 0 < number <= len(self.lines) else ""


class Reader:
    """Reads one file into a table, and gathers what is wrong with it."""

    def __init__(self, source: Source) -> None:
        self.source, self.mistakes = source, list[Mistake]()
        self.root = Table(Place(source.name))

    def read(self) -> Table:
        try:
            text = self.source.data.decode()
        except UnicodeDecodeError as error:
            before = self.source.data[: error.start]
            row = before.count(b"\n")
            column = len(before.rpartition(b"\n")[2].decode("utf-8", "replace")) + 1
            self._wrong(
                "E0104",
                Place(self.source.name, row + 1, column),
                f"byte 0x{self.source.data[error.start]:02x} is not UTF-8",
            )
            return self.root
        tree = Parser(_LANGUAGE).parse(self.source.data)
        if tree.root_node.has_error:
            self._syntax(text, tree.root_node)
        else:
            self._document(tree.root_node)
            if not self.mistakes:
                self._syntax(text, None)
        return self.root

    def _wrong(
        self, code: str, place: Place, what: str, meant: str = "", others: tuple[tuple[Place, str], ...] = ()
    ) -> None:
        self.mistakes.append(Mistake(code, place, what, meant, others))

    def _syntax(self, text: str, node: Optional[Node]) -> None:
        """Say where a file stops being TOML, by tomllib's own words."""
        try:
            tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            found = _AT.search(str(error))
            what = _AT.sub("", str(error))
            what = what[:1].lower() + what[1:]
            if found and found[1]:
                place = Place(self.source.name, int(found[1]), int(found[2]))
            else:
                last = max((n for n, line in enumerate(self.source.lines, 1) if line.strip()), default=1)
                place = Place(self.source.name, last, max(1, len(self.source.line(last))))
            self._wrong("E0101", place, f"not TOML: {what}")
        else:
            if node is not None:  # the grammar is stricter than the reader here: believe the reader
                bad = next(_errors(node), node)
                self._wrong("E0101", self.source.place(bad), "not TOML")

    def _document(self, root: Node) -> None:
        current = self.root
        for node in root.named_children:
            if node.type == "pair":
                self._pair(current, node)
            elif node.type in ("table", "table_array_element"):
                current = self._header(node)
                for child in node.named_children[1:]:
                    if child.type == "pair":
                        self._pair(current, child)

    def _header(self, node: Node) -> Table:
        names = list(self._names(node.named_children[0]))
        table = self.root
        for name, place in names[:-1]:
            table = self._step(table, name, place, dotted=False) or Table(place)
        name, place = names[-1]
        item = table.items.get(name)
        if node.type == "table_array_element":
            made = Table(place, headed=True)
            entry = Item(place, place, made)
            if item is None:
                table.items[name] = Item(place, place, [entry])
            elif (
                isinstance(item.value, list)
                and all(isinstance(x.value, Table) and not x.value.closed for x in item.value)
                and item.value
            ):
                item.value.append(entry)
            else:
                self._twice(name, place, item)
            return made
        if item is None:
            made = Table(place, headed=True)
            table.items[name] = Item(place, place, made)
            return made
        found = item.value
        if isinstance(found, Table) and not (found.headed or found.closed or found.dotted):
            found.headed, item.key = True, place
            return found
        self._twice(name, place, item)
        return Table(place)

    def _step(self, table: Table, name: str, place: Place, dotted: bool) -> Optional[Table]:
        """The table of this name within another, made where there is none."""
        item = table.items.get(name)
        if item is None:
            made = Table(place, dotted=dotted)
            table.items[name] = Item(place, place, made)
            return made
        found = item.value
        if isinstance(found, list) and found and isinstance(found[-1].value, Table) and not dotted:
            found = found[-1].value
        if isinstance(found, Table) and not found.closed and not (dotted and found.headed):
            return found
        self._twice(name, place, item)
        return None

    def _pair(self, table: Table, node: Node) -> None:
        key, value = (child for child in node.named_children if child.type != "comment")
        names = list(self._names(key))
        for name, place in names[:-1]:
            step = self._step(table, name, place, dotted=True)
            if step is None:
                return
            table = step
        name, place = names[-1]
        if (item := table.items.get(name)) is not None:
            return self._twice(name, place, item)
        table.items[name] = Item(place, self.source.place(value), self._value(value))

    def _twice(self, name: str, place: Place, item: Item) -> None:
        self._wrong("E0103", place, f"'{name}' is defined twice", "", ((item.key, "the first"),))

    def _names(self, node: Node) -> Iterator[tuple[str, Place]]:
        if node.type == "dotted_key":
            for child in node.named_children:
                yield from self._names(child)
        else:
            text = self._text(node)
            name = text if node.type == "bare_key" else str(next(iter(tomllib.loads(f"{text} = 1"))))
            yield name, self.source.place(node)

    def _value(self, node: Node) -> Value:
        if node.type in _SCALARS:
            try:
                return tomllib.loads(f"x = {self._text(node)}")["x"]  # type: ignore[no-any-return]
            except tomllib.TOMLDecodeError as error:
                self._wrong("E0101", self.source.place(node), f"not TOML: {_AT.sub('', str(error))}")
                return ""
        if node.type == "array":
            return [
                Item(place := self.source.place(child), place, self._value(child))
                for child in node.named_children
                if child.type != "comment"
            ]
        made = Table(self.source.place(node), closed=True)
        for child in node.named_children:
            if child.type == "pair":
                self._pair(made, child)
        return made

    def _text(self, node: Node) -> str:
        return self.source.data[node.start_byte : node.end_byte].decode()


def _errors(node: Node) -> Iterator[Node]:
    if node.type == "ERROR" or node.is_missing:
        yield node
    for child in node.children:
        if child.has_error:
            yield from _errors(child)
