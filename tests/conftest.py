"""The same verdict every time: hypothesis draws from a fixed seed and never times a case.

What `KNOWN-RED.txt` lists has to fail, and is printed; a listed test that passes fails the run, so that the
list names exactly what is red.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("steady", derandomize=True, deadline=None, database=None, print_blob=False)
settings.load_profile("steady")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """The listed tests by their pytest names, each with what was seen; a `#` begins a comment."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    parts = (line.partition(" | ") for line in lines if line and not line.startswith("#"))
    return {name: seen for name, _, seen in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = known_red()
    for item in items:
        if (seen := listed.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=seen, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for name, seen in known_red().items():
        terminalreporter.write_line(f"KNOWN RED {name} | {seen}")
