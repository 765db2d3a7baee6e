"""The importer: what is carried over, what is reported, and what is no configuration."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from ashvale import config, haproxy

SAMPLE = """\
global
    maxconn 4000
    daemon
defaults base
    mode tcp
    timeout connect 5s
    timeout client 1m
    timeout server 30s   # for answers
    retries 2
frontend mail-in
    bind 127.0.0.1:2525,[::1]:2525 name "the front"
    bind :2024
    maxconn 50
    default_backend partners
backend partners from base
    balance roundrobin
    server one 10.0.0.1:25 check maxconn 4
    server two 10.0.0.2:24 weight 10 maxconn 3
    server spare 10.0.0.3:25 disabled
    server named mx.partner.example:25
listen both
    bind *:2600-2601
    timeout connect 700
    server solo [2001:db8::1]:25
"""
REPORTED = [
    (1, "global"),
    (2, "maxconn"),
    (3, "daemon"),
    (11, "bind name"),
    (11, "bind the front"),
    (14, "default_backend"),
    (6, "timeout connect"),
    (16, "balance roundrobin"),
    (17, "server one check"),
    (18, "server two weight 10"),
    (19, "server spare"),
    (20, "server named"),
]


def test_a_configuration_becomes_the_mail_fronts_file() -> None:
    root = tomllib.loads(haproxy.write(haproxy.read(SAMPLE)))
    assert config.mail(root) is None  # off until somebody has looked at it
    front = config.mail({**root, "enabled": True})
    assert front is not None
    assert [(w.protocol, w.address, w.most) for w in front.listen] == [
        ("smtp", ("127.0.0.1", 2525), 50),
        ("smtp", ("::1", 2525), 50),
        ("lmtp", ("0.0.0.0", 2024), 50),
        ("smtp", ("0.0.0.0", 2600), 100),
        ("smtp", ("0.0.0.0", 2601), 100),
    ]
    assert [(i.dest, i.protocol, i.address) for i in front.instances] == [
        ("partners", "smtp", ("10.0.0.1", 25)),
        ("partners", "lmtp", ("10.0.0.2", 24)),
        ("both", "smtp", ("2001:db8::1", 25)),
    ]
    s = front.settings
    assert (s.connect_timeout_ms, front.idle_ms, s.slots, s.max_attempts) == (700.0, 60000.0, 7, 3)
    assert front.classes[0].deadline_ms == 30000.0
    assert [rule.match for rule in front.receivers] == ["*@partners.example", "*@both.example"]


def test_what_is_left_out_is_reported_by_line_and_keyword() -> None:
    found = haproxy.read(SAMPLE)
    haproxy.write(found)
    assert sorted((line, keyword) for line, keyword, _ in found.left_out) == sorted(REPORTED)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("", "line 1: no proxy section"),
        ("bind :25\n", "line 1: 'bind' stands before any section"),
        ("global\n", "line 2: no proxy section"),
        ("frontend\n", "line 1: a frontend without a name"),
        ("frontend a\n bind 25\n", "line 2: '25' is no address"),
        ("frontend a\n bind :0\n", "line 2: '0' are no ports"),
        ("frontend a\n bind :70000\n", "line 2: '70000' are no ports"),
        ("frontend a\n bind\n", "line 2: 'bind' needs"),
        ("frontend a\n server x 1.2.3.4:25\n", "line 2: 'server' in a frontend"),
        ("backend a\n bind :25\n", "line 2: 'bind' in a backend"),
        ("backend a\n server x\n", "line 2: 'server' needs"),
        ("backend a\n server x 1.2.3.4:99999\n", "line 2: '99999' are no ports"),
        ("backend a\n server x 1.2.3.4:25 maxconn many\n", "line 2: 'many' is no number"),
        ("backend a\n timeout server soon\n", "line 2: 'soon' is no time"),
        ("backend a\n timeout server\n", "line 2: 'timeout' needs"),
        ("backend a\n retries x\n", "line 2: 'x' is no number"),
        ("backend a\n\nbackend a\n", "line 3: a second backend 'a'"),
        ("backend a\n mode udp\n", "line 2: unknown mode"),
        ("frontend a\n default_backend b\n", "line 1: frontend 'a': unknown backend 'b'"),
        ("backend a from b\n", "line 1: unknown defaults 'b'"),
        ("backend a\n server 'x\n", "line 2: no closing quotation"),
        ("backend a\n\0\n", "line 2: a NUL byte"),
    ],
)
def test_bad_input_is_told_by_its_line(text: str, told: str) -> None:
    with pytest.raises(haproxy.Malformed) as error:
        haproxy.read(text)
    assert str(error.value).startswith(told)


@pytest.mark.parametrize(
    ("text", "ms"), [("5", 5.0), ("5s", 5e3), ("2m", 1.2e5), ("1h", 3.6e6), ("100us", 0.1)]
)
def test_times(text: str, ms: float) -> None:
    assert haproxy.duration(text, 1) == pytest.approx(ms)


@pytest.mark.parametrize(
    ("text", "code", "out", "err"),
    [
        (SAMPLE, 0, "[[listen]]", "in.cfg: line 3: daemon: left out, in section global"),
        ("bind :25\n", 2, "", "in.cfg: line 1: 'bind' stands before any section"),
    ],
)
def test_the_command_says_it_with_its_exit_code(
    tmp_path: Path, text: str, code: int, out: str, err: str
) -> None:
    file = tmp_path / "in.cfg"
    file.write_text(text)
    command = [sys.executable, "-m", "ashvale.haproxy", str(file)]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == code and out in done.stdout and err in done.stderr
    assert bool(done.stdout) == (code == 0)
