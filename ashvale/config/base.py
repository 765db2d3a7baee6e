"""What all readers of configuration share: the error, typed look-ups, and names that several of them use.

It owns how a wrong value is told: one plain line that names the key. It must never read a file.
"""

from __future__ import annotations

import errno
import ipaddress
import json
from typing import Any

MISSING = object()
GOOD_SET = "good-set.json"  # the last set that came into force, in the folder that lasts
GOOD_MAIL = "good-mail.json"  # the same of the mail front's set
LEVELS, FORMS = ("debug", "info", "warning", "error"), ("logfmt", "json")


class ConfigError(Exception):
    """Configuration that cannot be used; the text names the key."""


class Unreadable(ConfigError):
    """A file that the system could not read just now; what it says is not known."""


# Errors that another try does not mend: the file is not there, or not this process's to read.
_FINAL = (
    errno.ENOENT,
    errno.ENOTDIR,
    errno.EISDIR,
    errno.EACCES,
    errno.EPERM,
    errno.ELOOP,
    errno.ENAMETOOLONG,
)


def unread(what: str, error: OSError) -> ConfigError:
    """What it means that a file could not be read."""
    kind = ConfigError if error.errno in _FINAL else Unreadable
    return kind(f"{what}: {error.strerror or error}")


def parse(text: bytes | str, what: str) -> Any:
    """Read JSON, or say that it is none."""
    try:
        return json.loads(text)
    except ValueError as error:
        raise ConfigError(f"{what}: not JSON ({error})") from None


def get(table: Any, key: str, kind: Any, default: Any = MISSING, what: str = "settings") -> Any:
    """Return a value of the wanted type; an absent key without a default is an error."""
    if not isinstance(table, dict):
        raise ConfigError(f"{what}: an object was expected")
    if key not in table:
        if default is MISSING:
            raise ConfigError(f"{what}: key '{key}' is missing")
        return default
    value = table[key]
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (kind in (int, float) and isinstance(value, bool)):
        raise ConfigError(f"{what}: key '{key}' has the wrong type")
    return value


def address(text: str, key: str, what: str = "config") -> tuple[str, int]:
    """Split `address:port`."""
    host, _, port = text.rpartition(":")
    try:
        # A name would have to be looked up, which blocks, and there is nobody to ask.
        ipaddress.ip_address(host.strip("[]"))
        if not (port.isdigit() and int(port) < 65536):
            raise ValueError
    except ValueError:
        raise ConfigError(f"{what}: key '{key}' is no address and port: '{text}'") from None
    return host.strip("[]"), int(port)


def choice(table: Any, key: str, allowed: tuple[str, ...], what: str, default: Any = MISSING) -> str:
    value: str = get(table, key, str, default, what)
    if value not in allowed:
        raise ConfigError(f"{what}: key '{key}' is '{value}', one of {', '.join(allowed)} was expected")
    return value


def least(table: Any, key: str, kind: Any, default: Any, least: float, what: str) -> Any:
    value = get(table, key, kind, default, what)
    if not value >= least:
        raise ConfigError(f"{what}: key '{key}' is {value}, at least {least:g} was expected")
    return value
