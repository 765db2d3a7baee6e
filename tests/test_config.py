"""Configuration: what is right is read, and what is wrong is told by its key."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest

from ashvale import config
from ashvale.interface import Effect
from ashvale.lab.stand_ins import SETTINGS
from ashvale.net.discovery import decode_host
from ashvale.rehearsal import set_up


def root(*changes: tuple[str, str]) -> Any:
    text = set_up(2626)
    for old, new in changes:
        assert old in text
        text = text.replace(old, new, 1)
    return tomllib.loads(text)


def test_the_mail_fronts_file_is_read() -> None:
    front = config.mail(root())
    assert front is not None and [where.protocol for where in front.listen] == ["smtp", "lmtp"]
    assert [(c.name, c.effect) for c in front.classes] == [
        ("mail/usage-record", Effect.UNSAFE),
        ("mail/rate-update", Effect.SAFE),
    ]
    assert front.receivers[0].dest == "a" and front.instances[0].address == ("127.0.0.1", 2626)
    alone = config.with_mail(None, front)
    assert [kind.name for kind in alone.kinds] == ["mail"] and alone.max_attempts == 8


def test_beside_the_platform_mail_adds_to_its_settings() -> None:
    base = config.settings(
        {
            "categories": [{"name": "usage-record", "repeat": "token", "objective_ms": 1, "give_up_ms": 2}],
            "models": ["hub"],
            "limits": {"most_tries": 3},
            "contract": {},
            "tenants": [{"name": "home"}],
        }
    )
    front = config.mail(root())
    assert front is not None
    both = config.with_mail(base, front)
    assert [c.name for c in both.classes] == ["usage-record", "mail/usage-record", "mail/rate-update"]
    assert [k.name for k in both.kinds] == ["hub", "mail"] and both.max_attempts == 3
    assert [t.name for t in both.tenants] == ["home"]


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("enabled = true", "enabled = 1", "key 'enabled' has the wrong type"),
        ("size = 20000", "size = 0", "limits: key 'size' is 0, at least 1"),
        ("size = 20000", "size = 999999999", "key 'size' is 999999999, at most"),
        ("size = 20000", "sise = 20000", "limits: unknown key 'sise'"),
        ('protocol = "smtp"', 'protocol = "uucp"', "listen 1: key 'protocol' is 'uucp', one of smtp, lmtp"),
        (
            'address = "127.0.0.1:0"',
            'address = "here"',
            "listen 1: key 'address' is no address and port: 'here'",
        ),
        ('repeat = "never"', 'repeat = "keyed"', "class 1: key 'repeat' is 'keyed', one of safe, never"),
        ("aim_ms = 2000", "aim = 2000", "class 1: unknown key 'aim'"),
        ('class = "usage-record"', 'class = "usage"', "recipient 1: key 'class' is 'usage'"),
        ('destination = "a"', 'destination = "z"', "recipient 1: key 'destination' is 'z'"),
        ('tenant = "home"', 'tenant = "away"', "sender 1: key 'tenant' is 'away'"),
        ('name = "b"', 'name = "a"', "destination 2: key 'name' is 'a'"),
        ('name = "b"', 'name = "7"', "destination 2: key 'name' is '7'"),
        ("127.0.0.1:2626", "127.0.0.1", "destination 1: instance 1: key 'address' is no address"),
    ],
)
def test_what_is_wrong_is_told_by_its_key(old: str, new: str, told: str) -> None:
    with pytest.raises(config.ConfigError) as error:
        config.mail(root((old, new)), "mail.toml")
    text = str(error.value)
    assert told in text and text.startswith("mail.toml") and "\n" not in text


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("peers_total", 0),
        ("peers_total", -3),
        ("peers_total", 10_000),
        ("peers_total", "many"),
        ("slot_no", -1),
    ],
)
def test_fleet_sizes_beyond_use_are_refused_by_name(key: str, value: object) -> None:
    assert config.settings({**SETTINGS, "peers_total": 40}).forwarders == 40
    with pytest.raises(config.ConfigError, match=f"key '{key}'"):
        config.settings({**SETTINGS, key: value})


@pytest.mark.parametrize(
    ("share", "rate"),
    [("12.5", 12.5), ("-1", 0.0), ("0", 0.0), ("1e300", 0.0), ("Infinity", 0.0), ("NaN", 0.0)],
)
def test_rates_that_are_none_count_as_not_told(share: str, rate: float) -> None:
    """Guards pacing: the ring's size is a whole number, and there is none for an endless rate."""
    line = {"host": "s", "health": "SERVING", "dial": "127.0.0.1:1", "share": json.loads(share)}
    assert decode_host(line).rate == rate


@pytest.mark.parametrize(("sockets", "slots"), [(16, 1), (64, 8), (256, 56), (1024, 100)])
def test_calls_at_once_leave_descriptors_for_everybody(tmp_path: Path, sockets: int, slots: int) -> None:
    """Half are for clients, an eighth is for idle connections, and at most a quarter for calls."""
    file = tmp_path / "config.json"
    many_calls = {**SETTINGS, "family_info": {**SETTINGS["family_info"], "max_calls": 100}}
    told = {"settings": many_calls, "limits": {"sockets": sockets}}
    file.write_text(json.dumps(told))
    environ = {
        "LB_CONFIG": str(file),
        "LB_STATE": str(tmp_path),
        "LB_LISTEN": "127.0.0.1:0",
        "LB_DISCOVERY": "127.0.0.1:1",
    }
    assert config.load(environ).settings.slots == slots
