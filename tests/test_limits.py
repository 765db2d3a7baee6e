"""What the project promises of its own files."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_module_stays_short() -> None:
    lines = (ROOT / "ashvale/control.py").read_text().splitlines()
    assert sum(1 for text in lines if text.strip()) <= 500
    assert max(map(len, lines)) <= 110


def test_the_module_names_its_interface_first_and_uses_no_clock() -> None:
    tree = ast.parse((ROOT / "ashvale/control.py").read_text())
    assert (ast.get_docstring(tree) or "").split("\n")[0].count("ashvale/interface.py") == 1
    names = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    assert names <= {"random", "math", "heapq"}


def test_the_readme_example_runs(capsys) -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
    assert "message 1 goes to a:4430" in capsys.readouterr().out


def test_ci_finds_the_test_command_in_the_readme() -> None:
    """Guards against a fence that CI's own reading takes for the end of the block: it would run no test."""
    text = (ROOT / "README.md").read_text().split("<!-- tests -->\n", 1)[1]
    block = re.match(r"```sh\n(.+?)```\n", text, re.S)
    assert block and "pytest" in block[1].split("\n")
