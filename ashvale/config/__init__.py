"""Configuration, read and checked in one place.

`base` is what all readers share. `daemon` reads what one courier is told, and is all that a running courier
loads. The language of operators' files is `text` (TOML with positions), `units`, `declare` (what may stand
where), `reader` (includes, constants, overrides), `check` (what is wrong although it can be read) and `codes`
(a page for each mistake).
"""

from ashvale.config.base import GOOD_MAIL, GOOD_SET, ConfigError, Unreadable, address, get, parse
from ashvale.config.daemon import (
    MAIL_CLASS,
    MAIL_KIND,
    OWN_FILE,
    Config,
    Fleet,
    Limits,
    Listen,
    Mail,
    MailInstance,
    Platform,
    Rule,
    Trace,
    has_set,
    load,
    mail,
    read_toml,
    settings,
    trace,
    with_mail,
)

__all__ = [
    "GOOD_MAIL",
    "GOOD_SET",
    "MAIL_CLASS",
    "MAIL_KIND",
    "OWN_FILE",
    "Config",
    "ConfigError",
    "Fleet",
    "Limits",
    "Listen",
    "Mail",
    "MailInstance",
    "Platform",
    "Rule",
    "Trace",
    "Unreadable",
    "address",
    "get",
    "has_set",
    "load",
    "mail",
    "parse",
    "read_toml",
    "settings",
    "trace",
    "with_mail",
]
