"""The one place where configuration is read, checked and given defaults.

It owns the settings of the courier itself and those that simulator and platform hand out as JSON. It must
never decide anything about messages, and never let a wrong value through: every `ConfigError` is one plain
line that names the faulty key.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Optional

from ashvale import interface as api

_EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
_MISSING = object()
DISK_MB, SOCKETS = 3, 1024  # taken where the deployment states no limit


class ConfigError(Exception):
    """Configuration that cannot be used; the text names the key."""


@dataclass(frozen=True)
class Limits:
    """What the machine allows the process."""

    sockets: int = SOCKETS
    disk_bytes: int = DISK_MB * 1_000_000


@dataclass(frozen=True)
class Platform:
    """The platform's front: where service clients connect, and where discovery and notices are."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    known: Mapping[str, Any]


@dataclass(frozen=True)
class Config:
    """All that one courier is told."""

    name: str
    state: Path
    seed: int
    limits: Limits
    settings: api.Settings
    platform: Optional[Platform]


def parse(text: bytes | str, what: str) -> Any:
    """Read JSON, or say that it is none."""
    try:
        return json.loads(text)
    except ValueError as error:
        raise ConfigError(f"{what}: not JSON ({error})") from None


def get(table: Any, key: str, kind: Any, default: Any = _MISSING, what: str = "settings") -> Any:
    """Return a value of the wanted type; an absent key without a default is an error."""
    if not isinstance(table, dict):
        raise ConfigError(f"{what}: an object was expected")
    if key not in table:
        if default is _MISSING:
            raise ConfigError(f"{what}: key '{key}' is missing")
        return default
    value = table[key]
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (kind in (int, float) and isinstance(value, bool)):
        raise ConfigError(f"{what}: key '{key}' has the wrong type")
    return value


def address(text: str, key: str, what: str = "config") -> tuple[str, int]:
    """Split `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{what}: key '{key}' is no address: '{text}'")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str]) -> Config:
    """Read what the platform tells a courier: the environment, and the file that it names."""
    path = environ.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("environment: key 'LB_CONFIG' is missing")
    try:
        root = parse(Path(path).read_bytes(), "config")
    except OSError as error:
        raise ConfigError(f"environment: key 'LB_CONFIG': {error}") from None
    limits = get(root, "limits", dict, {}, "config")
    state = environ.get("LB_STATE", "")
    if not state or not Path(state).is_dir():
        raise ConfigError(f"environment: key 'LB_STATE' names no folder: '{state}'")
    listen = environ.get("LB_LISTEN") or get(root, "listen", str, what="config")
    discovery = environ.get("LB_DISCOVERY") or get(root, "discovery", str, what="config")
    seed = get(root, "seed", str, "0", "config")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"config: key 'seed' is no hexadecimal number: '{seed}'") from None
    return Config(
        name=environ.get("LB_NAME") or get(root, "name", str, "courier", "config"),
        state=Path(state), seed=number,
        limits=Limits(get(limits, "sockets", int, SOCKETS, "config: limits"),
                      int(get(limits, "disk_mb", float, float(DISK_MB), "config: limits") * 1_000_000)),
        settings=settings(get(root, "settings", dict, what="config")),
        platform=Platform(address(listen, "listen"), address(discovery, "discovery"),
                          get(root, "known", dict, {}, "config")))


def _class(data: Any) -> api.MessageClass:
    effect = get(data, "repeat", str)
    if effect not in _EFFECTS:
        raise ConfigError(f"settings: key 'repeat' has the unknown value '{effect}'")
    return api.MessageClass(
        name=get(data, "name", str, ""), effect=_EFFECTS[effect],
        aim_ms=get(data, "objective_ms", float), deadline_ms=get(data, "give_up_ms", float),
        worth=get(data, "worth", float, 1.0), late_worth=get(data, "late_worth", float, 0.0),
        group=get(data, "key_scope", str, "all"), window_ms=get(data, "dedup_window_ms", float, 0.0),
        stream=get(data, "stream", bool, False), in_order=get(data, "keep_order", bool, False))


def _kinds(root: Any, info: Any) -> tuple[api.Kind, ...]:
    names = get(root, "models", list, [])
    calls, apart = get(info, "per_call", list, []), get(info, "routes_apart", list, [])
    count = max(len(names), len(calls), len(apart), 1)
    return tuple(
        api.Kind(str(names[i]) if i < len(names) else "", int(calls[i]) if i < len(calls) else 1,
                 bool(apart[i]) if i < len(apart) else False) for i in range(count))


def settings(root: Any) -> api.Settings:
    """Translate the start-up settings; unknown keys are ignored."""
    limits, rules = get(root, "limits", dict), get(root, "contract", dict)
    info, report = get(root, "family_info", dict, {}), get(root, "report", dict, {})
    classes = tuple(_class(item) for item in get(root, "categories", list))
    tenants = tuple(
        api.Tenant(get(t, "name", str, ""), get(t, "portion", float, 1.0),
                   get(t, "quota_per_s", float, 0.0))
        for t in get(root, "tenants", list, []))
    return api.Settings(
        classes=classes, kinds=_kinds(root, info), tenants=tenants,
        forwarders=get(root, "peers_total", int, 1), number=get(root, "slot_no", int, 0),
        slots=get(info, "max_calls", int, 1 << 16), max_open=get(limits, "max_open", int, 1 << 20),
        max_attempts=get(limits, "most_tries", int),
        max_backoff_ms=get(limits, "max_retry_after_ms", float, 0.0),
        may_probe=get(limits, "probing", bool, False), may_cancel=get(limits, "may_cancel", bool, False),
        may_copy=get(limits, "second_copies", bool, False),
        may_advise=get(limits, "retry_after", bool, False), may_note=get(limits, "peers", bool, False),
        must_subscribe=get(root, "membership_mode", str, "automatic") == "subscribe",
        listed_rates=get(root, "weight_kind", str, "off") in ("nominal", "rough"),
        report_fields=tuple(str(name) for name in get(report, "fields", list, [])),
        fades_linear=get(info, "fades", str, "linear") == "linear",
        over_share_worth=get(root, "over_share_worth", float, 1.0), zone=get(root, "zone", int, 0),
        zone_fees=tuple(float(fee) for fee in get(info, "zone_fee", list, [])),
        zones=tuple(str(name) for name in get(root, "zones", list, [])),
        calls_per_connection=get(limits, "streams_per_conn", int, 1),
        keepalive_ms=get(limits, "keepalive_ms", float, 15000.0),
        connect_timeout_ms=get(limits, "connect_timeout_ms", float, 1000.0),
        tick_ms=get(root, "tick_ms", float, 1.0),
        drain_grace_ms=get(rules, "drain_grace_ms", float, 0.0),
        cold_share=get(rules, "cold_share", float, 0.25),
        warm_up_ms=get(rules, "warm_up_ms", float, 10000.0),
        overload_factor=get(rules, "overload_factor", float, 2.0),
        overload_for_ms=get(rules, "overload_for_ms", float, 1000.0),
        order_settle_ms=get(rules, "order_settle_ms", float, 0.0))
