"""Turns HAProxy's configuration into the mail front's file.

It owns the reading of that format and the report of what has no place in ours. It must never drop anything in
silence, and never guess at what an envelope means: classes and senders are HAProxy's to know nothing of, so
the file it writes says where they are to be filled in.

`python -m ashvale.haproxy FILE` prints the mail front's file, and on standard error a line for each thing
left out. Input that cannot be read ends with its line and exit code 2.
"""

from __future__ import annotations

import argparse
import ipaddress
import re
import shlex
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

SECTIONS = ("defaults", "frontend", "backend", "listen")
OTHER_SECTIONS = (
    "global",
    "peers",
    "resolvers",
    "userlist",
    "mailers",
    "cache",
    "program",
    "ring",
    "http-errors",
    "fcgi-app",
    "log-forward",
    "crt-list",
    "crt-store",
    "traces",
    "acme",
    "log-profile",
)
LMTP_PORT = 24
_UNITS = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60000.0, "h": 3600000.0, "d": 86400000.0, "": 1.0}
# Settings of proxies, and the keywords that set them.
_SETTINGS = {
    "client_idle_ms": "timeout client",
    "connect_timeout_ms": "timeout connect",
    "deadline_ms": "timeout server",
    "slots": "server maxconn",
    "retries": "retries",
    "connections": "maxconn",
}
Values = dict[str, tuple[float, int]]
_TIME = re.compile(r"(\d+)(us|ms|s|m|h|d)?\Z")
_PORTS = re.compile(r"(\d+)(?:-(\d+))?\Z")


class Malformed(Exception):
    """Input that is no HAProxy configuration."""

    def __init__(self, line: int, why: str) -> None:
        super().__init__(f"line {line}: {why}")


@dataclass(frozen=True)
class Statement:
    """One line of the file, split into words."""

    line: int
    words: list[str]

    @property
    def keyword(self) -> str:
        return self.words[0]


@dataclass
class Proxy:
    """A proxy section, with the defaults that stood before it."""

    kind: str
    name: str
    line: int
    binds: list[tuple[str, int, int]] = field(default_factory=list)  # host, port, line
    servers: list[tuple[str, str, int, int]] = field(default_factory=list)  # name, host, port, line
    default_backend: str = ""
    values: dict[str, tuple[float, int]] = field(default_factory=dict)  # setting: value, line


@dataclass
class Import:
    """What was read, and what has no place in the mail front's file."""

    proxies: list[Proxy] = field(default_factory=list)
    left_out: list[tuple[int, str, str]] = field(default_factory=list)  # line, keyword, why


# Reading


def statements(text: str) -> list[Statement]:
    """Split into words by HAProxy's rules: quotes, backslashes, and `#` to the end of the line."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if "\0" in line:
            raise Malformed(number, "a NUL byte")
        reader = shlex.shlex(line, posix=True, punctuation_chars=False)
        reader.whitespace_split, reader.commenters = True, "#"
        try:
            words = list(reader)
        except ValueError as error:
            raise Malformed(number, f"{error}".lower()) from None
        if words:
            found.append(Statement(number, words))
    return found


def duration(text: str, line: int, usual: str = "ms") -> float:
    """HAProxy's times: a number of milliseconds, or with a unit."""
    found = _TIME.match(text)
    if found is None:
        raise Malformed(line, f"'{text}' is no time")
    return int(found[1]) * _UNITS[found[2] or usual]


def addresses(text: str, line: int) -> list[tuple[str, int]]:
    """`host:port`, several by commas, ports as a range; `*` and an empty host are all addresses."""
    found = []
    for part in text.split(","):
        part = re.sub(r"^(?:ipv4|ipv6|tcp|tcp4|tcp6)@", "", part)
        host, colon, ports = part.rpartition(":")
        match = _PORTS.match(ports)
        if not colon or match is None:
            raise Malformed(line, f"'{part}' is no address with a port")
        first, last = int(match[1]), int(match[2] or match[1])
        if not 0 < first <= last < 65536:
            raise Malformed(line, f"'{ports}' are no ports")
        host = "0.0.0.0" if host in ("", "*") else "::" if host in ("::", "[::]") else host.strip("[]")
        found += [(host, port) for port in range(first, last + 1)]
    return found


def is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def number(text: str, line: int) -> float:
    if not text.isdigit():
        raise Malformed(line, f"'{text}' is no number")
    return float(text)


def read(text: str) -> Import:
    """Read a whole configuration; `Malformed` names the first line that is none."""
    result, defaults = Import(), dict[str, Values]()
    latest: Values = {}
    proxy: Proxy | None = None
    section = ""
    for statement in statements(text):
        words, line = statement.words, statement.line
        if statement.keyword in SECTIONS:
            section = statement.keyword
            proxy = _section(statement, defaults, latest, result)
            if section == "defaults":
                latest = proxy.values
                defaults[proxy.name] = proxy.values
            else:
                if any(p.name == proxy.name and p.kind == proxy.kind for p in result.proxies):
                    raise Malformed(line, f"a second {section} '{proxy.name}'")
                result.proxies.append(proxy)
        elif statement.keyword in OTHER_SECTIONS:
            section, proxy = statement.keyword, None
            result.left_out.append((line, section, "the section has no counterpart"))
        elif not section:
            raise Malformed(line, f"'{words[0]}' stands before any section")
        elif proxy is None:
            _global(statement, section, result)
        else:
            _KEYWORDS.get(statement.keyword, _unknown)(statement, proxy, result)
    names = {p.name for p in result.proxies if p.kind in ("backend", "listen")}
    for one in result.proxies:
        if one.default_backend and one.default_backend not in names:
            raise Malformed(one.line, f"{one.kind} '{one.name}': unknown backend '{one.default_backend}'")
    if not result.proxies:
        raise Malformed(text.count("\n") + 1, "no proxy section in the whole file")
    return result


def _section(statement: Statement, defaults: dict[str, Values], latest: Values, result: Import) -> Proxy:
    words, line, kind = statement.words, statement.line, statement.keyword
    name = words[1] if len(words) > 1 and words[1] != "from" else ""
    if kind != "defaults" and not name:
        raise Malformed(line, f"a {kind} without a name")
    values = {} if kind == "defaults" else latest
    rest = words[2:] if name else words[1:]
    if rest[:1] == ["from"]:
        if len(rest) != 2 or rest[1] not in defaults:
            raise Malformed(line, f"unknown defaults '{' '.join(rest[1:])}'")
        values, rest = defaults[rest[1]], []
    proxy = Proxy(kind, name, line, values=dict(values))
    if rest:  # the old form of a listen or frontend, with its address in the section's line
        _bind(Statement(line, ["bind", *rest]), proxy, result)
    return proxy


def _global(statement: Statement, section: str, result: Import) -> None:
    if section == "global" and statement.keyword == "maxconn":
        _count(statement, 1)
        result.left_out.append((statement.line, "maxconn", "a limit of the whole process"))
    else:
        result.left_out.append((statement.line, statement.keyword, f"in section {section}"))


def _count(statement: Statement, least: int) -> None:
    if len(statement.words) <= least:
        wanted = "more words" if least > 1 else "a value"
        raise Malformed(statement.line, f"'{statement.keyword}' needs {wanted}")


def _bind(statement: Statement, proxy: Proxy, result: Import) -> None:
    _count(statement, 1)
    if proxy.kind in ("backend", "defaults"):
        raise Malformed(statement.line, f"'bind' in a {proxy.kind}")
    if re.match(r"/|unix@|abns@|abnsz@|fd@|sockpair@|quic[46]?@|rhttp@", statement.words[1]):
        result.left_out.append((statement.line, "bind", f"'{statement.words[1]}' is not on TCP"))
    else:
        for host, port in addresses(statement.words[1], statement.line):
            if is_ip(host):
                proxy.binds.append((host, port, statement.line))
            else:
                result.left_out.append((statement.line, "bind", f"'{host}' is a name; none is resolved"))
    for word in statement.words[2:]:
        result.left_out.append((statement.line, f"bind {word}", "no such setting of a listener"))


def _server(statement: Statement, proxy: Proxy, result: Import) -> None:
    _count(statement, 2)
    if proxy.kind in ("frontend", "defaults"):
        raise Malformed(statement.line, f"'server' in a {proxy.kind}")
    name, where = statement.words[1:3]
    rest = statement.words[3:]
    if "disabled" in rest:
        result.left_out.append((statement.line, f"server {name}", "it is disabled"))
        return
    if re.match(r"/|unix@|abns@|abnsz@|fd@|sockpair@", where):
        result.left_out.append((statement.line, f"server {name}", f"'{where}' is not on TCP"))
        return
    if not re.search(r":\d+\Z", where):
        result.left_out.append((statement.line, f"server {name}", f"'{where}' names no port of its own"))
        return
    found = addresses(where, statement.line)
    if len(found) != 1:
        raise Malformed(statement.line, f"'{where}' is not one address")
    if not is_ip(found[0][0]):
        result.left_out.append((statement.line, f"server {name}", f"'{where}' is a name; none is resolved"))
        return
    proxy.servers.append((name, *found[0], statement.line))
    while rest:
        word = rest.pop(0)
        value = rest.pop(0) if word in _SERVER_VALUES and rest else ""
        if word == "maxconn":
            before = proxy.values.get("slots", (0.0, 0))[0]
            proxy.values["slots"] = before + number(value, statement.line), statement.line
        else:
            text = f"server {name} {word} {value}".strip()
            result.left_out.append((statement.line, text, "no such setting of an instance"))


_SERVER_VALUES = {
    "maxconn",
    "weight",
    "inter",
    "fastinter",
    "downinter",
    "rise",
    "fall",
    "port",
    "addr",
    "cookie",
    "track",
    "slowstart",
    "maxqueue",
    "minconn",
    "observe",
    "error-limit",
    "on-error",
    "on-marked-down",
    "on-marked-up",
    "source",
    "ca-file",
    "crt",
    "verify",
    "verifyhost",
    "sni",
    "resolvers",
    "resolve-prefer",
    "init-addr",
    "pool-max-conn",
    "pool-purge-delay",
    "proto",
    "check-sni",
    "check-send-proxy",
    "namespace",
    "id",
    "redir",
}


def _timeout(statement: Statement, proxy: Proxy, result: Import) -> None:
    _count(statement, 2)
    what, text = statement.words[1:3]
    value = duration(text, statement.line)
    if f"timeout {what}" in _SETTINGS.values():
        key = next(key for key, keyword in _SETTINGS.items() if keyword == f"timeout {what}")
        proxy.values[key] = value, statement.line
    else:
        result.left_out.append((statement.line, f"timeout {what}", "no such time-out"))


def _maxconn(statement: Statement, proxy: Proxy, _result: Import) -> None:
    _count(statement, 1)
    proxy.values["connections"] = number(statement.words[1], statement.line), statement.line


def _retries(statement: Statement, proxy: Proxy, _result: Import) -> None:
    _count(statement, 1)
    proxy.values["retries"] = number(statement.words[1], statement.line), statement.line


def _mode(statement: Statement, _proxy: Proxy, result: Import) -> None:
    _count(statement, 1)
    if statement.words[1] not in ("tcp", "http", "log", "spop", "haterm"):
        raise Malformed(statement.line, f"unknown mode '{statement.words[1]}'")
    if statement.words[1] != "tcp":
        mode = f"mode {statement.words[1]}"
        result.left_out.append((statement.line, mode, "the mail front speaks mail only"))


def _default_backend(statement: Statement, proxy: Proxy, result: Import) -> None:
    _count(statement, 1)
    if proxy.kind == "backend":
        raise Malformed(statement.line, "'default_backend' in a backend")
    proxy.default_backend = statement.words[1]
    result.left_out.append((statement.line, "default_backend", "messages go by their recipients"))


def _unknown(statement: Statement, _proxy: Proxy, result: Import) -> None:
    result.left_out.append((statement.line, " ".join(statement.words[:2]), "no counterpart"))


_KEYWORDS: dict[str, Callable[[Statement, Proxy, Import], None]] = {
    "bind": _bind,
    "server": _server,
    "timeout": _timeout,
    "maxconn": _maxconn,
    "retries": _retries,
    "mode": _mode,
    "default_backend": _default_backend,
}


# Writing


def _quoted(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def write(found: Import) -> str:
    """The mail front's file; where sections differ in a value the safer one is taken, and it is reported."""
    fronts = [p for p in found.proxies if p.kind in ("frontend", "listen")]
    backs = [p for p in found.proxies if p.kind in ("backend", "listen") and p.servers]
    out = [
        "# Made from HAProxy's configuration. It is off until `enabled` is true; classes, senders and",
        "# recipients are not to be read from there: those below are a start to be checked.",
        "enabled = false",
        "",
        "[limits]",
    ]
    settings = {
        "client_idle_ms": _one(found, fronts, "client_idle_ms", max, 300000.0),
        "connect_timeout_ms": _one(found, backs, "connect_timeout_ms", min, 1000.0),
        "slots": _one(found, backs, "slots", min, 16.0),
        # HAProxy counts what comes after the first try.
        "attempts": min(8.0, _one(found, backs, "retries", min, 3.0) + 1.0),
    }
    out += [f"{key} = {max(1, round(value))}" for key, value in settings.items()]
    for front in fronts:
        for host, port, _ in front.binds:
            out += [
                "",
                f"[[listen]]  # {front.kind} {_plain(front.name)}",
                f'protocol = "{"lmtp" if port % 1000 == LMTP_PORT else "smtp"}"',
                f"address = {_quoted(_joined(host, port))}",
                f"connections = {max(1, round(front.values.get('connections', (100.0, 0))[0]))}",
            ]
    deadline = max(1, round(_one(found, backs, "deadline_ms", min, 16000.0)))
    out += [
        "",
        "[[class]]",
        'name = "message"',
        'repeat = "never"',
        f"aim_ms = {min(2000, deadline)}",
        f"deadline_ms = {deadline}",
        f"window_ms = {deadline}",
    ]
    for back in backs:
        out += [
            "",
            "[[recipient]]",
            f"match = {_quoted('*@' + _host(back.name))}",
            'class = "message"',
            f"destination = {_quoted(_named(back.name))}",
        ]
    for back in backs:
        out += ["", "[[destination]]", f"name = {_quoted(_named(back.name))}"]
        for name, host, port, _ in back.servers:
            out += [
                "",
                f"[[destination.instance]]  # server {_plain(name)}",
                f'protocol = "{"lmtp" if port % 1000 == LMTP_PORT else "smtp"}"',
                f"address = {_quoted(_joined(host, port))}",
            ]
    return "\n".join(out) + "\n"


def _plain(text: str) -> str:
    return re.sub(r"[^ -~]", "?", text)


def _host(name: str) -> str:
    return re.sub(r"[^a-z0-9.-]", "-", name.lower()) + ".example"


def _named(name: str) -> str:
    return f"destination {name}" if name.isdigit() else name


def _joined(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _one(
    found: Import, proxies: list[Proxy], key: str, choose: Callable[[list[float]], float], usual: float
) -> float:
    """One value for the whole front where sections may each have their own."""
    values = [p.values[key][0] for p in proxies if key in p.values]
    if not values:
        return usual
    value = choose(values)
    for proxy in proxies:
        own, line = proxy.values.get(key, (value, 0))
        if own != value:
            told = f"{own:g} for {proxy.kind} '{proxy.name}', as all share one value: {value:g}"
            found.left_out.append((line, _SETTINGS[key], told))
    return value


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m ashvale.haproxy", description="HAProxy's file for mail.")
    parser.add_argument("file", type=Path, help="HAProxy's configuration")
    file: Path = parser.parse_args(arguments).file
    try:
        found = read(file.read_text(encoding="utf-8"))
        text = write(found)
    except (Malformed, OSError, UnicodeDecodeError) as error:
        print(f"{file.name}: {error}", file=sys.stderr)
        return 2
    for line, keyword, why in sorted(found.left_out):
        print(f"{file.name}: line {line}: {keyword}: left out, {why}", file=sys.stderr)
    sys.stdout.write(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
