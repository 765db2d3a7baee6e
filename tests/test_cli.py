"""The command line: output for people and programs, exit codes, and what a running courier never loads."""

from __future__ import annotations

import ast
import graphlib
import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from ashvale import cli
from ashvale.trace import reader
from ashvale.trace.sampling import Rank
from ashvale.trace.store import Store
from tests.test_trace_store import AGE, LEAST_BYTES, message


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Path]:
    """Two couriers' traces: the first's sealed, the second's being written."""
    root = tmp_path_factory.mktemp("traces")
    for name, numbers in (("n1", range(1, 40)), ("n2", range(40, 60))):
        store = Store(root / name, 4 * LEAST_BYTES, AGE, 1000.0)
        for number in numbers:
            store.put(
                Rank.KEPT,
                1000.0 + number,
                lambda texts, n=number: [  # type: ignore[misc]
                    message(n, texts, start=1e12)
                ],
            )
        store.close()
    Store(root / "n1", 4 * LEAST_BYTES, AGE, 1000.0).close()
    yield root


def ashvale(*words: Any) -> Result:
    return CliRunner().invoke(cli.ashvale, [str(word) for word in words])


@pytest.mark.parametrize(
    ("options", "count", "code"),
    [
        ((), 59, 0),
        (("--courier", "n2"), 20, 0),
        (("--dest", "3"), 12, 0),
        (("--dest", "77"), 0, 1),
        (("--class", "usage-record", "--network", "home"), 59, 0),
        (("--end", "late"), 0, 1),
        (("--end", "failed", "--end", "late"), 59, 0),
        (("--since", "1000000000.04"), 20, 0),
        (("--until", "1000000000.04"), 39, 0),
        (("--since", "5m"), 0, 1),
        (("--took-over", "50"), 30, 0),
        (("--late-over", "0"), 0, 1),
        (("--limit", "5"), 5, 0),
    ],
)
def test_traces_are_chosen(folder: Path, options: tuple[str, ...], count: int, code: int) -> None:
    found = ashvale("trace", "list", "--folder", folder, "--json", *options)
    lines = [json.loads(text) for text in found.stdout.splitlines()]
    assert (len(lines), found.exit_code) == (count, code)
    assert all(sum(s["ms"] for s in line["spans"]) == pytest.approx(line["total_ms"]) for line in lines)


@pytest.mark.parametrize(
    "words",
    [
        ("trace", "list", "--folder", "/nowhere"),
        ("trace", "show", "x", "--folder", "/nowhere"),
        ("trace", "report", "--folder", "/nowhere"),
        ("trace", "export", "--folder", "/nowhere"),
        ("trace", "tail", "--folder", "/nowhere"),
        ("trace", "list", "--since", "soon"),
        ("trace", "list", "--end", "x"),
        ("trace", "list"),
        ("trace",),
        ("nothing",),
        ("import-haproxy", "/nowhere"),
    ],
    ids=" ".join,
)
def test_unreadable_input_is_one_clear_error(words: tuple[str, ...], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("LB_STATE", raising=False)
    found = ashvale(*words)
    assert found.exit_code == 2 and found.stderr and "Traceback" not in found.output


def test_one_message_is_shown_as_a_waterfall(folder: Path) -> None:
    for id in (f"{45:016x}", f"{45:032x}"):
        found = ashvale("trace", "show", id, "--folder", folder)
        assert found.exit_code == 0 and "attempt s-3" in found.stdout
        assert "failed after 66.0 ms" in found.stdout
    assert ashvale("trace", "show", "none", "--folder", folder).exit_code == 1


def test_the_report_adds_up_for_people_and_programs(folder: Path) -> None:
    found = ashvale("trace", "report", "--folder", folder, "--json")
    made = json.loads(found.stdout)
    assert made["traces"] == 59 and made["spans"] == 118 and made["ends"] == {"failed": 59}
    assert sum(row["ms"] for row in made["rows"]) == pytest.approx(sum(21.0 + n for n in range(1, 60)))
    people = ashvale("trace", "report", "--folder", folder, "--rows", "3").stdout
    assert "59 traces with 118 spans: 59 failed" in people and "rows more" in people


def test_stat_tells_what_is_there(folder: Path) -> None:
    found = ashvale("trace", "stat", "--folder", folder)
    assert found.exit_code == 0 and "39 failed" in found.stdout and "n2" in found.stdout


def test_exports_hold_every_span(folder: Path) -> None:
    otlp = json.loads(ashvale("trace", "export", "--folder", folder).stdout)
    couriers = [r["resource"]["attributes"][1]["value"]["stringValue"] for r in otlp["resourceSpans"]]
    assert couriers == ["n1", "n2"]
    spans = [s for r in otlp["resourceSpans"] for scope in r["scopeSpans"] for s in scope["spans"]]
    assert len(spans) == 59 * 3 and len({s["spanId"] for s in spans}) == len(spans)
    for root in (s for s in spans if s["kind"] == 2):
        parts = [s for s in spans if s.get("parentSpanId") == root["spanId"]]
        assert parts[0]["startTimeUnixNano"] == root["startTimeUnixNano"]
        assert all(
            a["endTimeUnixNano"] == b["startTimeUnixNano"] for a, b in zip(parts, parts[1:], strict=False)
        )
        assert parts[-1]["endTimeUnixNano"] == root["endTimeUnixNano"]
    chrome = json.loads(ashvale("trace", "export", "--folder", folder, "--format", "chrome").stdout)
    assert sum(e["ph"] == "X" for e in chrome["traceEvents"]) == 59 * 3
    assert json.loads(ashvale("trace", "export", "--folder", folder, "--limit", "1").stdout)


def test_the_tail_follows_what_is_written(tmp_path: Path) -> None:
    store = Store(tmp_path / "n1", 4 * LEAST_BYTES, AGE, 1000.0)
    number, seen = iter(range(1, 1000)), list[int]()

    def write() -> bool:
        for _ in range(100):
            n = next(number)
            store.put(Rank.KEPT, 1000.0 + n, lambda texts, n=n: [message(n, texts)])  # type: ignore[misc]
        return n < 500  # the last hundred are written and not read

    store.put(Rank.KEPT, 1.0, lambda texts: [message(0, texts)])
    seen += [int.from_bytes(t.record.trace_id, "big") for t in reader.follow(tmp_path, write)]
    store.close()
    assert seen == list(range(1, 401))
    assert ashvale("trace", "tail", "--folder", tmp_path, "--for", "0.01").exit_code == 0


def test_damage_is_said_and_the_rest_is_read(folder: Path, tmp_path: Path) -> None:
    from shutil import copytree

    copytree(folder, tmp_path / "copy")
    sealed = next((tmp_path / "copy" / "n1").glob("*.seg"))
    sealed.write_bytes(sealed.read_bytes()[:-3])
    found = ashvale("trace", "list", "--folder", tmp_path / "copy")
    assert found.exit_code == 0 and "1 segments that are damaged" in found.stderr
    assert ashvale("trace", "report", "--folder", tmp_path / "copy").stdout.startswith("20 traces")


def test_a_running_courier_loads_nothing_of_it() -> None:
    """Guards 32 MB: neither the command line nor tracing is imported by a courier that does without."""
    code = (
        "import sys, ashvale.__main__; "
        "print(sorted({'click', 'rich', 'hdrh', 'msgspec', 'xxhash', 'ashvale.cli', 'ashvale.trace'}"
        " & set(sys.modules)))"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"


def test_the_program_itself_takes_sub_commands() -> None:
    for words, code in ((["--version"], 0), (["trace", "--help"], 0), (["nothing"], 2)):
        found = subprocess.run([sys.executable, "-m", "ashvale", *words], capture_output=True, text=True)
        assert found.returncode == code and "Traceback" not in found.stderr


def test_old_entries_stand_under_their_new_names(tmp_path: Path) -> None:
    file = tmp_path / "haproxy.cfg"
    file.write_text("defaults\n  mode tcp\nlisten a\n  bind 127.0.0.1:2525\n  server s 127.0.0.1:2626\n")
    old = subprocess.run([sys.executable, "-m", "ashvale.haproxy", str(file)], capture_output=True, text=True)
    new = ashvale("import-haproxy", file)
    assert (new.exit_code, new.stdout) == (old.returncode, old.stdout) and "127.0.0.1:2626" in new.stdout
    assert "rehearse" in ashvale("--help").stdout


def test_no_two_modules_import_each_other_in_a_circle() -> None:
    """Guards the house's order: the loop below the core, the core below fronts, the command line on top."""
    root = Path(__file__).parent.parent
    names = {
        ".".join(p.relative_to(root).with_suffix("").parts).removesuffix(".__init__"): p
        for p in (root / "ashvale").rglob("*.py")
    }
    needs: dict[str, set[str]] = {}
    for name, path in names.items():
        found = [
            node
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("ashvale")
        ]
        needs[name] = {
            whole if (whole := f"{node.module}.{alias.name}") in names else str(node.module)
            for node in found
            for alias in node.names
        } - {name}
    assert len(names) > 50 and "ashvale.loop" in needs["ashvale.exchange"]
    list(graphlib.TopologicalSorter(needs).static_order())  # raises CycleError
