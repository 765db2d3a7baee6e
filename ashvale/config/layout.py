"""One layout for operators' files: every statement, comment and blank line where it means the same.

It owns spacing, and must never change an order, a value's text or a comment. Statements stand one a line; a
blank line stands before each table with the comments that belong to it, and elsewhere at most one where there
was one. A list goes on one line if it fits and holds no comment, else one part a line.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from tree_sitter import Language, Node, Parser

from ashvale.config.text import _LANGUAGE, Mistake, Reader, Source

WIDE = 100
_VALUELESS = {"comment", "[", "]", "{", "}", ",", "="}


class Unreadable(Exception):
    """The file is not TOML; `mistakes` says where."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__("not TOML")
        self.mistakes = mistakes


@dataclass
class _Statement:
    kind: str  # header, pair, comment
    text: str
    first: int
    last: int


def layout(name: str, data: bytes) -> str:
    """The file in its canonical layout, or `Unreadable`."""
    reader = Reader(Source(name, data))
    reader.read()
    if reader.mistakes:
        raise Unreadable(reader.mistakes)
    language: Language = _LANGUAGE
    root = Parser(language).parse(data.replace(b"\r\n", b"\n")).root_node
    statements = list(_statements(root))
    lines: list[str] = []
    for number, statement in enumerate(statements):
        if number and _blank(statements, number):
            lines.append("")
        lines.append(statement.text)
    return "\n".join(lines) + "\n" if lines else ""


def _blank(statements: list[_Statement], number: int) -> bool:
    """Whether a blank line goes before a statement."""
    this, before = statements[number], statements[number - 1]
    if _opens(statements, number):  # a header, or the first of the comments that stand right above one
        return not (before.kind == "comment" and before.last + 1 >= this.first)
    return this.first - before.last > 1


def _opens(statements: list[_Statement], number: int) -> bool:
    """Whether a header follows here, with nothing but comments right above it in between."""
    at = number
    while statements[at].kind == "comment":
        if at + 1 == len(statements) or statements[at + 1].first - statements[at].last > 1:
            return False
        at += 1
    return statements[at].kind == "header"


def _statements(root: Node) -> Iterator[_Statement]:
    made: list[_Statement] = []

    def add(kind: str, node: Node, text: str) -> None:
        made.append(_Statement(kind, text, node.start_point[0], _end(node)))

    def comment(node: Node) -> None:
        row = node.start_point[0]
        if made and made[-1].kind != "comment" and made[-1].last == row:
            made[-1].text += "  " + _text(node)
        else:
            add("comment", node, _text(node))

    def pair(node: Node) -> None:
        key, value = (child for child in node.named_children if child.type != "comment")
        start = f"{_key(key)} = "
        add("pair", node, start + _value(value, "", len(start)))
        for child in node.named_children:
            if child.type == "comment":
                made[-1].last = child.start_point[0]
                comment(child)

    for node in root.named_children:
        if node.type == "comment":
            comment(node)
        elif node.type == "pair":
            pair(node)
        else:
            parts = [child for child in node.named_children if child.type != "comment"]
            head = _key(parts[0])
            text = f"[[{head}]]" if node.type == "table_array_element" else f"[{head}]"
            row = node.start_point[0]
            made.append(_Statement("header", text, row, row))
            for child in node.named_children[1:]:
                if child.type == "comment":
                    comment(child)
                elif child.type == "pair":
                    pair(child)
    yield from made


def _end(node: Node) -> int:
    """The row in which a statement's last part stands; the grammar may count its line feed to it."""
    parts = [child for child in node.named_children if child.type != "comment"]
    last = parts[-1] if parts else node
    row, column = last.end_point
    return row - 1 if column == 0 and row > last.start_point[0] else row


def _text(node: Node) -> str:
    return (node.text or b"").decode().rstrip()


def _key(node: Node) -> str:
    if node.type == "dotted_key":
        return ".".join(_key(child) for child in node.named_children)
    return _text(node)


def _value(node: Node, indent: str, column: int) -> str:
    if node.type == "array":
        return _array(node, indent, column)
    if node.type == "inline_table":
        pairs = []
        for child in node.named_children:
            key, value = child.named_children[0], child.named_children[-1]
            pairs.append(f"{_key(key)} = {_value(value, indent, column)}")
        return "{ " + ", ".join(pairs) + " }" if pairs else "{}"
    return (node.text or b"").decode()


def _array(node: Node, indent: str, column: int) -> str:
    parts = [child for child in node.named_children if child.type not in _VALUELESS]
    comments = any(child.type == "comment" for child in node.named_children)
    flat = "[" + ", ".join(_value(part, indent, column) for part in parts) + "]"
    if not comments and "\n" not in flat and column + len(flat) <= WIDE:
        return flat
    if not parts and not comments:
        return "[]"
    inner, lines, row = indent + "    ", ["["], node.start_point[0]
    for child in node.named_children:
        if child.type != "comment":
            lines.append(inner + _value(child, inner, len(inner)) + ",")
        elif child.start_point[0] == row and len(lines):
            lines[-1] += "  " + _text(child)
        else:
            lines.append(inner + _text(child))
        row = child.end_point[0]
    return "\n".join([*lines, indent + "]"])
