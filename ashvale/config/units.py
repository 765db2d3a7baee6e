"""Quantities with units: times, rates, sizes and shares, read from text and written back.

It owns the units that the language knows, and must never guess one: a bare number is no time. Results are
milliseconds, messages a second, bytes and fractions. Pint and quantiphy were weighed: the first costs 40 MB,
the second reads `5 apples` as 5e-18 pples.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from fractions import Fraction
from typing import Optional

KINDS: dict[str, dict[str, Fraction]] = {
    "time": {
        "ms": Fraction(1),
        "s": Fraction(1000),
        "min": Fraction(60_000),
        "h": Fraction(3_600_000),
        "d": Fraction(86_400_000),
    },
    "rate": {"/s": Fraction(1), "/min": Fraction(1, 60), "/h": Fraction(1, 3600)},
    "size": {
        "B": Fraction(1),
        "KB": Fraction(10**3),
        "MB": Fraction(10**6),
        "GB": Fraction(10**9),
        "KiB": Fraction(2**10),
        "MiB": Fraction(2**20),
        "GiB": Fraction(2**30),
    },
    "share": {"%": Fraction(1, 100)},
}
"""Units by kind, exact: 47 % is the float nearest to 0.47, however it is written."""
EXAMPLES = {"time": '"2 s"', "rate": '"4/s"', "size": '"64 KiB"', "share": '"35 %"'}
WORDS = {"time": "a time", "rate": "a rate", "size": "a size", "share": "a share"}
PATTERNS = {
    kind: r"^\d+(\.\d+)? ?(" + "|".join(re.escape(unit) for unit in units) + ")$"
    for kind, units in KINDS.items()
}
_FORM = re.compile(r"([+-]?)(\d+(?:\.\d+)?)\s*(\D.*)?\Z")


@dataclass(frozen=True)
class Fault:
    """Why a text is no quantity of the kind wanted: the code of the mistake, and what is wrong with it."""

    code: str
    what: str
    meant: str = ""


def read(text: str, kind: str) -> float | Fault:
    """Read a quantity of this kind; surrounding white space does not count."""
    found = _FORM.match(text.strip())
    if found is None:
        return Fault("E0133", f"'{text}' is no number with a unit", f"like {EXAMPLES[kind]}")
    sign, digits, unit = found[1], found[2], (found[3] or "").strip()
    if not unit:
        return Fault("E0130", f"'{text}' has no unit", _with_units(digits, kind))
    factor = KINDS[kind].get(unit)
    if factor is None:
        if (other := kind_of(unit)) is not None:
            return Fault(
                "E0132", f"'{text}' is {WORDS[other]}, {WORDS[kind]} was expected", f"like {EXAMPLES[kind]}"
            )
        return Fault("E0131", f"'{unit}' is no unit of {WORDS[kind]}", _nearest(unit, kind, digits))
    if sign == "-":
        return Fault("E0134", f"'{text}' is below nought", "")
    try:
        return float(Fraction(digits) * factor)
    except OverflowError:
        return Fault("E0134", f"'{text[:20]}' is too large", "")


def kind_of(unit: str) -> Optional[str]:
    return next((kind for kind, units in KINDS.items() if unit in units), None)


def _with_units(digits: str, kind: str) -> str:
    """The two readings that are the likeliest."""
    units = {"time": ("s", "ms"), "rate": ("/s", "/min"), "size": ("B", "KiB"), "share": ("%",)}[kind]
    if kind == "share" and float(digits) <= 1.0:
        digits = f"{float(digits) * 100.0:g}"
    return " or ".join(f'"{join(digits, unit)}"' for unit in units)


def _nearest(unit: str, kind: str, digits: str) -> str:
    """A unit that differs by case or by a plural."""
    plain = unit.lower().rstrip("s") or unit.lower()
    spelt = {
        "sec": "s",
        "second": "s",
        "m": "min",
        "minute": "min",
        "msec": "ms",
        "hour": "h",
        "day": "d",
        "k": "KiB",
        "p": "/s",
        "percent": "%",
        "per second": "/s",
        "/sec": "/s",
        "kb": "KB",
        "mb": "MB",
        "kib": "KiB",
        "mib": "MiB",
        "b": "B",
        "/m": "/min",
        "/minute": "/min",
        "m/": "/s",
    }
    for known in KINDS[kind]:
        if unit.lower() == known.lower() or spelt.get(plain) == known:
            return f'"{join(digits, known)}"'
    return "one of " + ", ".join(KINDS[kind])


def join(digits: str, unit: str) -> str:
    return digits + unit if unit.startswith("/") else f"{digits} {unit}"


def write(value: float, kind: str) -> str:
    """The shortest text that reads back as the same value, in the largest unit that stays whole."""
    units = KINDS[kind]
    order = sorted(units, key=lambda u: -units[u])
    for unit in order:
        number = round(Fraction(value) / units[unit])
        if number >= 1 and float(number * units[unit]) == value:
            return join(str(number), unit)
    least = min(order, key=lambda u: abs(math.log(max(value, 1e-12) / units[u])))
    for digits in range(1, 30):
        text = f"{float(Fraction(value) / units[least]):.{digits}f}".rstrip("0").rstrip(".") or "0"
        if float(Fraction(text) * units[least]) == value:
            break
    return join(text, least)
