"""The language of operators' files: a corpus of broken and of right sets, and the properties of its parts."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from ashvale import cli
from ashvale.config import declare, units
from ashvale.config.check import check, errors
from ashvale.config.codes import CODES
from ashvale.config.reader import Files, Loaded, load
from ashvale.config.text import Mistake, Reader, Source

ROOT = Path(__file__).parent.parent
CORPUS = Path(__file__).parent / "corpus"
ESCAPES = {b"\\xe9": b"\xe9", b"\\x07": b"\x07", b"\\r\n": b"\r\n"}


def cases(name: str) -> dict[str, tuple[dict[str, bytes], list[str]]]:
    """The corpus: `===` begins a set, `---` a further file of it, `>>>` says what must be told."""
    found = {}
    for block in (CORPUS / name).read_text().split("=== ")[1:]:
        title, _, rest = block.partition("\n")
        lines = rest.split("\n")
        text = "\n".join(line for line in lines if not line.startswith(">>> "))
        parts = text.split("--- ")
        files = {"main.toml": parts[0], **dict(part.split("\n", 1) for part in parts[1:])}
        data = {}
        for file, body in files.items():
            data[file] = body.encode()
            for written, meant in ESCAPES.items():
                data[file] = data[file].replace(written, meant)
        assert title not in found
        found[title] = data, [line[4:] for line in lines if line.startswith(">>> ")]
    return found


def read(data: dict[str, bytes]) -> tuple[Loaded, list[Mistake]]:
    def bytes_of(name: str) -> bytes:
        if name not in data:
            raise FileNotFoundError(2, "No such file or directory")
        return data[name]

    made = load("main.toml", Files(bytes_of, lambda folder: list(data)))
    return made, check(made)


BROKEN, RIGHT = cases("broken.txt"), cases("right.txt")


@pytest.mark.parametrize("title", BROKEN)
def test_each_broken_set_brings_one_exact_message(title: str) -> None:
    data, told = BROKEN[title]
    _, found = read(data)
    assert [f"{m.code} {m.place} {m.what}" + (f" | {m.meant}" if m.meant else "") for m in found] == told
    assert len(told) == 1


@pytest.mark.parametrize("title", RIGHT)
def test_right_sets_bring_none(title: str) -> None:
    data, _ = RIGHT[title]
    made, found = read(data)
    assert found == [] and len(made.sources) == sum(name != "partners/deep/c.toml" for name in data)


def test_every_code_has_a_set_and_a_page_and_the_corpus_its_size() -> None:
    seen = {told[0].split()[0] for _, told in BROKEN.values()}
    assert seen == CODES.keys() and len(BROKEN) >= 150 and len(RIGHT) >= 40
    assert all(code.title and len(code.page) > 20 for code in CODES.values())


def test_all_mistakes_come_in_one_pass_in_the_order_in_which_they_stand() -> None:
    texts = [
        b"\n".join(
            data["main.toml"]
            for title, (data, told) in BROKEN.items()
            if len(data) == 1 and told[0].startswith(code)
        )
        for code in ("E0130 ", "E0145 ")
    ]
    _, found = read(
        {
            "main.toml": b'include = ["a.toml", "none.toml"]\n',
            "a.toml": re.sub(
                rb"\[(class|limit|network|partner)\.(\w+)\]",
                lambda m: b"[%s.%s%d]" % (m[1], m[2], m.start()),
                texts[0],
            ).replace(b"[courier]", b"[courier]", 1),
        }
    )
    places = [(m.place.file, m.place.line) for m in found]
    assert places == sorted(places, key=lambda p: (p[0] != "main.toml", p[1])) and len(found) > 6
    assert {m.code for m in found} >= {"E0102", "E0130"}


def test_order_of_layers() -> None:
    made, found = read(
        {
            "main.toml": b'include = ["a.toml"]\n[override.limit.l]\nheld = 3\n',
            "a.toml": b'[default.limit]\nheld = 1\nrate = "1/s"\nat_once = 1\n'
            b'[limit.l]\nrate = "2/s"\nheld = 2\n',
        }
    )
    limit = made.entries["limit"]["l"]
    assert not found and (limit.data.held, limit.data.rate, limit.data.at_once) == (3, "2/s", 1)
    assert limit.amounts == {"rate": 2.0}
    assert [str(limit.at(key)) for key in ("held", "rate", "at_once")] == [
        "main.toml:3:8",
        "a.toml:6:8",
        "a.toml:4:11",
    ]


@given(st.sampled_from(list(units.KINDS)), st.floats(0.001, 1e9))
def test_what_is_written_reads_back(kind: str, value: float) -> None:
    text = units.write(value, kind)
    back = units.read(text, kind)
    assert isinstance(back, float) and back == pytest.approx(value, rel=1e-9)
    assert units.write(back, kind) == units.write(units.read(units.write(back, kind), kind), kind)  # type: ignore


@pytest.mark.parametrize(
    ("text", "kind", "value"),
    [
        ("2 s", "time", 2000.0),
        ("250 ms", "time", 250.0),
        ("1.5 min", "time", 9e4),
        ("2s", "time", 2000.0),
        ("4/s", "rate", 4.0),
        ("90/min", "rate", 1.5),
        ("64 KiB", "size", 65536.0),
        ("3 MB", "size", 3e6),
        ("35 %", "share", 0.35),
        ("0 %", "share", 0.0),
        ("47 %", "share", 0.47),
    ],
)
def test_quantities(text: str, kind: str, value: float) -> None:
    assert units.read(text, kind) == pytest.approx(value)
    assert re.match(units.PATTERNS[kind], text)


keys = st.sampled_from(["a", "b", "c", '"d e"'])
scalars = st.one_of(
    st.integers(-99, 99).map(str),
    st.sampled_from(['"x"', "true", "1.5", "'y'", '["a", 1]', "{ a = 1, b = 2 }", "1979-05-27"]),
)


@given(
    st.lists(
        st.one_of(
            st.tuples(st.lists(keys, min_size=1, max_size=2).map(".".join), scalars).map(" = ".join),
            st.lists(keys, min_size=1, max_size=3).map(lambda k: f"[{'.'.join(k)}]"),
            st.lists(keys, min_size=1, max_size=2).map(lambda k: f"[[{'.'.join(k)}]]"),
            st.sampled_from(["# note", "", "bad", "x = "]),
        ),
        max_size=8,
    )
)
def test_reading_agrees_with_tomllib(lines: list[str]) -> None:
    """What tomllib takes is read to the same values; what it does not take is told, and never a fault."""
    text = "\n".join(lines) + "\n"
    reader = Reader(Source("x", text.encode()))
    table = reader.read()
    try:
        expected = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        assert reader.mistakes and all(m.code in ("E0101", "E0103") for m in reader.mistakes)
    else:
        assert not reader.mistakes and table.plain() == expected


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_told(data: bytes) -> None:
    _, found = read({"main.toml": data})
    assert all(m.code in CODES for m in found)


# The command line


def ashvale(*words: object) -> tuple[int, str, str]:
    found = CliRunner().invoke(cli.ashvale, [str(word) for word in words])
    assert "Traceback" not in found.output
    return found.exit_code, found.stdout, found.stderr


def lay(folder: Path, data: dict[str, bytes]) -> Path:
    for name, body in data.items():
        (folder / name).parent.mkdir(parents=True, exist_ok=True)
        (folder / name).write_bytes(body)
    return folder / "main.toml"


def test_a_mistake_is_shown_with_its_line_and_caret(tmp_path: Path) -> None:
    code, out, err = ashvale("config", "check", lay(tmp_path, BROKEN["one partner in two files"][0]))
    assert code == 1 and "1 errors" in err
    assert out.splitlines() == [
        "b.toml:2:10: error E0140: partner 'kpn' is defined twice",
        "    [partner.kpn]",
        "             ^^^",
        "    meant: one of the two, or an override",
        "    a.toml:1:10: the first",
    ]


def test_tabs_and_wide_letters_keep_the_caret_in_place(tmp_path: Path) -> None:
    _, out, _ = ashvale("config", "check", lay(tmp_path, BROKEN["tabs before the mistake"][0]))
    assert out.splitlines()[1:3] == ["    \t\tslot = 5", "    \t\t^^^^"]
    _, out, _ = ashvale("config", "check", lay(tmp_path, BROKEN["wide letters before the mistake"][0]))
    line, caret = out.splitlines()[1:3]
    assert line[caret.index("^") : caret.rindex("^") + 1] == "rat"


@pytest.mark.parametrize(
    ("title", "strict", "code"),
    [("pool nobody reaches", False, 0), ("pool nobody reaches", True, 1), ("route to nowhere", False, 1)],
)
def test_warnings_keep_nothing_from_being_used(tmp_path: Path, title: str, strict: bool, code: int) -> None:
    file = lay(tmp_path, BROKEN[title][0])
    words = ["config", "check", file, "--json", *(["--strict"] if strict else [])]
    found, out, _ = ashvale(*words)
    told = json.loads(out)
    assert found == code and told["code"] in CODES and told["file"] == "main.toml" and told["line"] > 0
    assert (told["severity"] == "warning") is (not errors(read(BROKEN[title][0])[1]))


def test_explain_schema_and_show(tmp_path: Path) -> None:
    assert ashvale("config", "explain", "e0140")[1].startswith("E0140: defined twice")
    assert ashvale("config", "explain", "E9999")[0] == 2 and ashvale("config", "check", "/nowhere")[0] == 1
    assert json.loads(ashvale("config", "schema")[1]) == declare.schema()
    code, out, _ = ashvale("config", "show", lay(tmp_path, RIGHT["defaults and overrides"][0]))
    assert code == 0 and 'class.a.deadline = "3 s"  # main.toml:6:12' in out.splitlines()
    assert 'class.a.late_worth = "0 %"  # default' in out.splitlines()


def test_the_schema_that_ships_is_the_declarations() -> None:
    """Made by `ashvale config schema > deploy/ashvale.schema.json`."""
    assert json.loads((ROOT / "deploy/ashvale.schema.json").read_text()) == declare.schema()


def test_the_reference_that_ships_is_the_declarations() -> None:
    """Made by `ashvale config reference > docs/configuration-reference.md`."""
    assert (ROOT / "docs/configuration-reference.md").read_text() == declare.reference()


def test_the_file_that_ships_is_right() -> None:
    code, out, _ = ashvale("config", "check", ROOT / "deploy" / "ashvale.toml", "--strict")
    assert (code, out) == (0, "")


def test_the_set_of_a_thousand_partners_is_read_in_one_pass() -> None:
    text = "".join(f'[partner.p{n}]\nkind = "hub"\ndestination = "{n}"\nrate = "4/s"\n' for n in range(1000))
    made, found = read({"main.toml": text.encode()})
    assert not found and len(made.entries["partner"]) == 1000


def test_what_if_says_which_route_and_why(tmp_path: Path) -> None:
    file = lay(tmp_path, RIGHT["tiers and spill"][0])
    code, out, _ = ashvale("config", "what-if", file, "--message", "class=x,id=m1", "--state", "a=shut")
    assert code == 0 and out.splitlines() == [
        "route 'r', pool 'p'",
        "tier 1 passed over: a shut",
        "partner 'b', destination 'b', tier 2",
        "limits: none",
    ]
    file = lay(tmp_path, RIGHT["hours past midnight"][0])
    assert ashvale("config", "what-if", file, "--message", "at=14:00")[:2] == (
        1,
        "not 'night': it does not take 14:00\nno route fits\n",
    )
    told = json.loads(ashvale("config", "what-if", file, "--message", "at=23:00", "--json")[1])
    assert told["refuse_ms"] == 1000.0
    for words in (["--message", "colour=red"], ["--message", "at=25:00"], ["--state", "a=tired"]):
        assert ashvale("config", "what-if", file, *words)[0] == 2
