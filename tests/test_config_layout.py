"""Layout, difference and use: one layout and no other meaning, exact changes, and mail served from a set."""

from __future__ import annotations

import random
import tomllib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashvale import config
from ashvale.config import mailset
from ashvale.config.check import errors
from ashvale.config.diff import apply, changes, diff, facts, summary
from ashvale.config.layout import Unreadable, layout
from ashvale.config.reader import Loaded
from ashvale.courier import Courier
from ashvale.lab.mail import Client, Partner
from ashvale.lab.stand_ins import run
from ashvale.loop import Loop
from ashvale.rehearsal import RATE, set_up
from tests.stage import reload
from tests.test_config_language import RIGHT, ROOT, ashvale, lay, read


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("", ""),
        ("\n\n\n", ""),
        ("# a\n", "# a\n"),
        ("a=1", "a = 1\n"),
        ("a   =   1   # why\n", "a = 1  # why\n"),
        ("\n\na = 1\n\n\n\nb = 2\n", "a = 1\n\nb = 2\n"),
        ("a = 1\n[ t ]\nb=2\n", "a = 1\n\n[t]\nb = 2\n"),
        ("[a]\n# of b\n[b]\n", "[a]\n\n# of b\n[b]\n"),
        ("[a]\n# of a\n\n[b]\n", "[a]\n# of a\n\n[b]\n"),
        ("[a] # why\nb=1\n", "[a]  # why\nb = 1\n"),
        ("[[ a . b ]]\n", "[[a.b]]\n"),
        ("a = [1,2,\n3]\n", "a = [1, 2, 3]\n"),
        ("a = [\n1, # one\n2\n]\n", "a = [\n    1,  # one\n    2,\n]\n"),
        ("a = [\n# none\n]\n", "a = [\n    # none\n]\n"),
        ("a = {b=1,c={d=2}}\n", "a = { b = 1, c = { d = 2 } }\n"),
        ("a = {}\nb = []\n", "a = {}\nb = []\n"),
        ("a.b.\"c d\" = 'x'\n", "a.b.\"c d\" = 'x'\n"),
        ('a = """\n  x  \n"""\n', 'a = """\n  x  \n"""\n'),
        ("a = 1\r\nb = 2\r\n", "a = 1\nb = 2\n"),
        ("a = [[1,2],[3]]\n", "a = [[1, 2], [3]]\n"),
        ("a = [" + ",".join(['"xxxxxxxxx"'] * 10) + "]\n", "a = [\n" + '    "xxxxxxxxx",\n' * 10 + "]\n"),
    ],
)
def test_layout(text: str, wanted: str) -> None:
    assert layout("x", text.encode()) == wanted


@pytest.mark.parametrize("title", RIGHT)
def test_the_corpus_keeps_its_meaning_and_its_layout(title: str) -> None:
    for data in RIGHT[title][0].values():
        once = layout("x", data)
        assert tomllib.loads(once) == tomllib.loads(data.decode()) and layout("x", once.encode()) == once


keys = st.sampled_from(["a", "b", "c", '"d e"', "f.g"])
values = st.recursive(
    st.one_of(st.integers(-9, 9).map(str), st.sampled_from(['"x # y"', "'z'", "true", "1.5", '"""\nm\n"""'])),
    lambda inner: st.one_of(
        st.lists(inner, max_size=12).map(lambda v: "[" + ",".join(v) + "]"),
        st.lists(inner, max_size=3).map(lambda v: "[\n" + " , # c\n".join(v) + "]"),
    ),
    max_leaves=12,
)
lines = st.one_of(
    st.tuples(keys, values, st.sampled_from(["", " # note", "  #x"])).map(lambda t: f"{t[0]}={t[1]}{t[2]}"),
    st.lists(keys, min_size=1, max_size=2).map(lambda k: f"[{' . '.join(k)}]"),
    st.sampled_from(["[[r]]", "# alone", "", "", "   ", "[[r]] # header"]),
)


@given(st.lists(lines, max_size=14))
def test_layout_changes_nothing_but_the_layout(parts: list[str]) -> None:
    text = "\n".join(parts) + "\n"
    try:
        meaning = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        with pytest.raises(Unreadable):
            layout("x", text.encode())
        return
    once = layout("x", text.encode())
    assert tomllib.loads(once) == meaning and layout("x", once.encode()) == once
    assert once.count("#") == text.count("#") and "\n\n\n" not in once and not once.startswith("\n")


def test_fmt_writes_checks_and_leaves_what_it_cannot_read(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text("a=1\n")
    bad.write_text("a=\n")
    code, out, _ = ashvale("config", "fmt", "--check", good)
    assert code == 1 and "another layout" in out and good.read_text() == "a=1\n"
    code, _, err = ashvale("config", "fmt", good, bad)
    assert code == 2 and "E0101" in err and (good.read_text(), bad.read_text()) == ("a = 1\n", "a=\n")
    assert ashvale("config", "fmt", "--check", good)[0] == 0 and ashvale("config", "fmt")[0] == 2


def test_the_files_that_ship_have_the_layout() -> None:
    for file in (ROOT / "deploy").glob("ashvale*.toml"):
        tomllib.loads(layout(file.name, file.read_bytes()))


# Differences

FULL = """
[courier]
hostname = "a.example"
slots = 8
[class.usage]
repeat = "keyed"
deadline = "16 s"
window = "6 s"
[limit.l]
rate = "4/s"
[partner.a]
kind = "hub"
rate = "4/s"
[partner.a.endpoint.x]
address = "127.0.0.1:25"
[partner.b]
kind = "direct"
[[pool.p.member]]
partner = "a"
[[pool.p.member]]
partner = "b"
tier = 2
[[route]]
name = "first"
to = "pool p"
classes = ["usage"]
[[route]]
name = "second"
to = "partner b"
"""


def loaded(text: str) -> Loaded:
    made, found = read({"main.toml": text.encode()})
    assert not errors(found)
    return made


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('"16 s"', '"16000 ms"', []),
        ("# nothing", "# something", []),
        ('"16 s"', '"20 s"', ["~ class.usage.deadline: 16000 to 20000"]),
        ('hostname = "a.example"\n', "", ["~ courier.hostname: a.example to ashvale.localdomain"]),
        ('[partner.a.endpoint.x]\naddress = "127.0.0.1:25"\n', "", ["- partner a endpoint x"]),
        ("[limit.l]", "[limit.m]", ["- limit l", "+ limit m"]),
        (
            "tier = 2\n",
            "weight = 2\n",
            ["~ pool.p.member.b 1.tier: 2 to 1", "~ pool.p.member.b 1.weight: 1 to 2"],
        ),
        (
            'classes = ["usage"]\n',
            'classes = ["usage"]\nlimit = "l"\n',
            ["~ route.first.limit: nothing to l"],
        ),
    ],
)
def test_differences_are_told_by_meaning(old: str, new: str, told: list[str]) -> None:
    text = "# nothing\n" + FULL
    made = diff(loaded(text), loaded(text.replace(old, new, 1)))
    assert [f"{sign} {line}" for sign, line, _ in summary(made)] == told


def test_an_order_of_routes_counts_and_one_of_tables_does_not() -> None:
    second = '[[route]]\nname = "second"\nto = "partner b"\n'
    head, _, first = FULL.replace(second, "").partition("[[route]]")
    turned = head + second + 'classes = ["usage"]\n[[route]]' + first.replace('classes = ["usage"]\n', "")
    made = diff(loaded(FULL), loaded(turned))
    assert any(c.path == ("order",) for c in made)
    shuffled = FULL.replace('[limit.l]\nrate = "4/s"\n', "") + '[limit.l]\nrate = "4/s"\n'
    assert diff(loaded(FULL), loaded(shuffled)) == []


def test_what_waits_for_a_start_and_what_it_does_to_held_messages() -> None:
    made = diff(loaded(FULL), loaded(FULL.replace("a.example", "b.example").replace('"6 s"', '"5 s"')))
    assert {(c.path[-1], c.live) for c in made} == {("hostname", False), ("window", True)}
    without = FULL.replace('[partner.a.endpoint.x]\naddress = "127.0.0.1:25"\n', "")
    gone = diff(loaded(FULL), loaded(without))
    assert all("nothing new goes" in c.effect for c in gone)


TITLES = [title for title in RIGHT if len(RIGHT[title][0]) == 1]


def test_a_set_differs_from_itself_in_nothing_and_changes_lead_from_one_to_the_other() -> None:
    sets = [facts(read(RIGHT[title][0])[0]) for title in TITLES] + [facts(loaded(FULL))]
    sequence = random.Random(4)
    for one in sets:
        assert changes(one, one) == []
        for _ in range(8):
            other = sequence.choice(sets)
            assert apply(one, changes(one, other)) == other


def test_diff_on_the_command_line(tmp_path: Path) -> None:
    for name, text in (("a", FULL), ("b", FULL.replace('"16 s"', '"20 s"')), ("c", "[route]\n")):
        lay(tmp_path / name, {"main.toml": text.encode()})
    code, out, _ = ashvale("config", "diff", tmp_path / "a/main.toml", tmp_path / "b/main.toml")
    assert code == 1
    assert out == "~ class.usage.deadline: 16000 to 20000; held messages keep the class they came with\n"
    assert ashvale("config", "diff", tmp_path / "a/main.toml", tmp_path / "a/main.toml")[:2] == (0, "")
    assert ashvale("config", "diff", tmp_path / "a/main.toml", tmp_path / "c/main.toml")[0] == 2
    assert "E0122" in ashvale("config", "check", tmp_path / "c/main.toml")[1]


# The mail front from a set


def converted(tmp_path: Path, text: str) -> Path:
    (tmp_path / "old.toml").write_text(text)
    code, out, err = ashvale("config", "convert", tmp_path / "old.toml")
    assert code == 0, err
    (tmp_path / "set.toml").write_text(out)
    assert layout("set.toml", out.encode()) == out
    assert ashvale("config", "check", tmp_path / "set.toml")[0] == 0
    return tmp_path / "set.toml"


def two_servers(port: int, protocol: str = "smtp", limits: str = "") -> str:
    """The rehearsal's file with a server of its own for each destination, as one counts once."""
    head, _, tail = set_up(port, protocol, limits=limits).rpartition(f":{port}")
    return f"{head}:9{tail}"


SHIPPED = (ROOT / "deploy" / "mail.toml").read_text()


@pytest.mark.parametrize(
    "text",
    [
        SHIPPED.replace("enabled = false", "enabled = true"),
        two_servers(
            2626,
            "lmtp",
            limits="slots = 5\nmax_open = 70\nattempts = 3\nkeepalive_ms = 1500.5\n"
            "sockets = 512\ndisk_mb = 2.5\nmax_wait_ms = 90000\nclient_idle_ms = 1234\nrecipients = 7\n",
        ),
        SHIPPED.replace("enabled = false", "enabled = true")
        .replace('name = "kempen-mobiel"\nquota', 'name = "kempen-mobiel"\nshare = 0.47\nquota')
        .replace("# rate = 4.0", "rate = 4.0"),
    ],
    ids=["shipped", "rehearsal", "shares"],
)
def test_the_older_file_is_converted_without_loss(tmp_path: Path, text: str) -> None:
    file = converted(tmp_path, text)
    assert config.mail(mailset.read_set(file).root) == config.mail(tomllib.loads(text))


def test_a_file_that_is_off_stays_off_and_what_a_set_cannot_say_is_told(tmp_path: Path) -> None:
    assert config.mail(mailset.read_set(converted(tmp_path, SHIPPED)).root) is None
    more = (
        '[[tenant]]\nname = "b"\n[[sender]]\nmatch = "b@*"\ntenant = "b"\n'
        '[[sender]]\nmatch = "c@*"\ntenant = "kempen-mobiel"\n[[recipient]]'
    )
    mixed = SHIPPED.replace("[[recipient]]", more, 1)
    (tmp_path / "mixed.toml").write_text(mixed)
    code, out, err = ashvale("config", "convert", tmp_path / "mixed.toml")
    assert code == 2 and not out and "stand in two places" in err


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('deadline = "16 s"', "deadline = 16", "E0130"),
        ('to = "partner partner-a"', 'to = "partner b"', "E0145"),
        ("[policy.mail]", "[pool.p]\nmember = []\n[policy.mail]", "E0162"),
        ("[policy.mail]", '[network.n]\nlimit = "l"\n[limit.l]\nheld = 5\nat = 2\n[policy.mail]', "E0121"),
        ('as = "usage-record"\n', "", "no key 'as'"),
        ('repeat = "never"', 'repeat = "keyed"\nwindow = "6 s"', "keep no keys"),
    ],
)
def test_a_set_that_the_daemon_cannot_use_is_told_by_its_place(
    tmp_path: Path, old: str, new: str, told: str
) -> None:
    file = converted(tmp_path, SHIPPED.replace("enabled = false", "enabled = true"))
    text = file.read_text()
    assert old in text
    file.write_text(text.replace(old, new, 1))
    with pytest.raises(config.ConfigError, match=told) as raised:
        config.load({"ASHVALE_MAIL": str(file), "LB_STATE": str(tmp_path)})
    assert "set.toml" in str(raised.value)


def test_a_courier_serves_mail_from_a_set_and_keeps_it_when_a_bad_one_comes(tmp_path: Path) -> None:
    """The whole way: a set with includes, a reload with a right one, and a reload with a broken one."""
    loop = Loop()
    partner = Partner(loop)
    file = converted(tmp_path, two_servers(partner.address[1]))
    whole = file.read_text()
    head, _, rest = whole.partition("[partner.a]")
    (tmp_path / "partners").mkdir()
    (tmp_path / "partners" / "a.toml").write_text("[partner.a]" + rest.partition("[[route]]")[0])
    file.write_text('include = ["partners/*.toml"]\n' + head + "[[route]]" + rest.partition("[[route]]")[2])
    environ = {"ASHVALE_MAIL": str(file), "LB_STATE": str(tmp_path)}
    courier = Courier(config.load(environ), loop)

    def send() -> str:
        assert courier.mail is not None
        client = Client(loop, courier.mail.listeners[0].address)
        body = f"Message-ID: <{len(partner.deliveries)}@x>\r\n\r\nhello\r\n".encode()
        return run(loop, client.send("x@home.example", [RATE], body, False))[0]

    assert send().startswith("250")
    right = file.read_text()
    file.write_text(right + '[[route]]\nname = "bad"\nto = "partner nobody"\nas = "rate-update"\n')
    reload(courier, environ)
    assert send().startswith("250") and len(courier.told.mail.receivers) == 3  # type: ignore[union-attr]
    file.write_text(right.replace('recipients = ["rate*@a.example"]', 'recipients = ["none@a.example"]'))
    reload(courier, environ)
    assert not send().startswith("250") and len(partner.deliveries) == 2
    courier.halt()
    partner.close()
    loop.close()
