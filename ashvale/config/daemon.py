"""The one place where configuration is read, checked and given defaults.

It owns the settings of the courier itself and those that simulator and platform hand out as JSON. It must
never decide anything about messages, and never let a wrong value through: every `ConfigError` is one plain
line that names the faulty key.
"""

from __future__ import annotations

import logging
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, Optional

from ashvale import interface as api
from ashvale.config import units
from ashvale.config.base import (
    FORMS,
    GOOD_MAIL,
    GOOD_SET,
    LEVELS,
    MISSING,
    ConfigError,
    address,
    choice,
    get,
    least,
    parse,
    unread,
)

if TYPE_CHECKING:
    from ashvale.config.mailset import MailSet
    from ashvale.routing.build import Plan

_EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
MAIL_FILE = Path(__file__).parent.parent.parent / "deploy" / "mail.toml"
OWN_FILE = Path(__file__).parent.parent.parent / "deploy" / "ashvale.toml"
log = logging.getLogger(__name__)
DISK_MB, SOCKETS = 3, 1024  # taken where the deployment states no limit
OWN_DESCRIPTORS = 8  # files, the loop, discovery and notices, beyond the eighth that is left for them


@dataclass(frozen=True)
class Limits:
    """What the machine allows the process."""

    sockets: int = SOCKETS
    disk_bytes: int = DISK_MB * 1_000_000

    @property
    def calls(self) -> int:
        """Calls to endpoints at once: a quarter of the descriptors, less what the process itself needs."""
        return max(1, self.sockets // 4 - OWN_DESCRIPTORS)


@dataclass(frozen=True)
class Platform:
    """The platform's front: where service clients connect, and where discovery and notices are."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    known: Mapping[str, Any]
    operator: Optional[tuple[str, int]] = None  # the operator's door; none on days that have no such door


@dataclass(frozen=True)
class Trace:
    """Tracing, as the operator's file sets it up; `budget` is bytes of disk."""

    folder: Path
    budget: int = 0
    age_ms: float = 0.0
    share: float = 0.01
    slowest: int = 2
    details: int = 20
    live: int = 4096
    mail_headers: bool = False


@dataclass(frozen=True)
class Log:
    """How the log is written: from which level on, and as `logfmt` or `json` lines."""

    level: str = "info"
    form: str = "logfmt"


@dataclass(frozen=True)
class Peer:
    """A courier of the fleet, as the file lists it."""

    name: str
    address: tuple[str, int]
    votes: bool
    building: str = ""


@dataclass(frozen=True)
class Fleet:
    """A courier's part in a fleet whose couriers agree; times are milliseconds, `drift` a share of a span."""

    name: str
    courier: str
    listen: tuple[str, int]
    peers: tuple[Peer, ...]
    election_ms: float
    beat_ms: float
    drift: float
    every_ms: float
    suspect_ms: float
    follow_ms: float
    version: str = ""
    steps: Mapping[str, tuple[tuple[str, ...], tuple[str, ...]]] = field(default_factory=dict)  # run, back


@dataclass(frozen=True)
class Config:
    """All that one courier is told."""

    name: str
    state: Path
    seed: int
    limits: Limits
    settings: api.Settings
    platform: Optional[Platform]
    mail: Optional[Mail] = None
    trace: Optional[Trace] = None
    plan: Optional[Plan] = None  # routes and limits of the operator's set
    sources: Mapping[str, bytes] = field(default_factory=dict)  # the files of that set
    mail_plan: Optional[Plan] = None  # limits and pools of the mail front's set
    mail_sources: Mapping[str, bytes] = field(default_factory=dict)
    log: Log = Log()
    fleet: Optional[Fleet] = None

    def after(self, old: Config) -> Config:
        """The same, sharing with what was in force all of the sets that has not changed."""
        plans = {
            name: before.followed_by(now)
            for name in ("plan", "mail_plan")
            if (now := getattr(self, name)) and (before := getattr(old, name))
        }
        return replace(self, **plans)

    @property
    def journal_bytes(self) -> int:
        """What is left of the disk for the journal where traces lie in the same folder."""
        shared = self.trace is not None and self.trace.folder.resolve().is_relative_to(self.state.resolve())
        kept = sum(
            2 * sum(map(len, files.values())) + 4096 for files in (self.sources, self.mail_sources) if files
        )
        return self.limits.disk_bytes - kept - (self.trace.budget if self.trace is not None and shared else 0)


def load(environ: Mapping[str, str], anew: bool = False) -> Config:
    """Read all that one courier is told: by the platform, by the mail front's file, or by both.

    Read `anew` by a running process, the file's `discovery` overrules the environment, which cannot change.
    """
    file = Path(environ.get("ASHVALE_MAIL") or MAIL_FILE)
    root, made = _mail_file(file, environ, anew) if file.exists() or "ASHVALE_MAIL" in environ else ({}, None)
    front = mail(root, file.name)
    if front is not None and made is not None and made.plan is not None:
        front = replace(
            front,
            receivers=tuple(
                replace(rule, route=route) for rule, route in zip(front.receivers, made.routes, strict=True)
            ),
        )
    if front is not None and sum(where.most for where in front.listen) > SOCKETS // 2:
        raise ConfigError(f"{file.name}: key 'connections' adds up to more than {SOCKETS // 2}")
    if environ.get("LB_CONFIG"):
        told = _platform(environ, anew)
        told = replace(told, mail=front, settings=with_mail(told.settings, front)) if front else told
        return _with_trace(_with_set(told, made), environ, anew)
    if front is None:
        raise ConfigError("environment: key 'LB_CONFIG' is missing, and the mail front is off")
    limits = get(root, "limits", dict, {}, file.name)
    where = f"{file.name}: limits"
    disk = least(limits, "disk_mb", float, float(DISK_MB), 0.2, where)
    told = Config(
        name=front.hostname,
        state=_state(environ.get("LB_STATE") or get(root, "state", str, "", file.name)),
        seed=0,
        limits=Limits(least(limits, "sockets", int, SOCKETS, 64, where), int(disk * 1_000_000)),
        settings=with_mail(None, front),
        platform=None,
        mail=front,
    )
    return _with_trace(_with_set(told, made), environ, anew)


def _with_set(told: Config, made: Optional[MailSet]) -> Config:
    """Add what the mail front's set has beyond the older tables."""
    return (
        told
        if made is None
        else replace(told, mail_plan=made.plan if told.mail is not None else None, mail_sources=made.sources)
    )


_OWN_KEYS = {
    "trace": {"enabled", "folder", "budget", "age", "share", "slowest", "details", "live", "mail_headers"},
    "log": {"level", "form"},
    "fleet": {
        "name",
        "courier",
        "listen",
        "peer",
        "election",
        "beat",
        "drift",
        "every",
        "suspect",
        "follow",
        "version",
        "step",
    },
}
VOTERS_MOST, PEERS_MOST = 7, 4096
COURIERS_MOST = 5000


def _quantity(table: Any, key: str, kind: str, default: str, least: float, what: str) -> float:
    """A text with a unit, in the language's base units."""
    value = units.read(get(table, key, str, default, what), kind)
    if isinstance(value, units.Fault):
        meant = f", meant: {value.meant}" if value.meant else ""
        raise ConfigError(f"{what}: key '{key}': {value.what}{meant}")
    if value < least:
        raise ConfigError(f"{what}: key '{key}' is below {units.write(least, kind)}")
    return value


def _with_trace(told: Config, environ: Mapping[str, str], anew: bool) -> Config:
    """Add what the operator's own file says of tracing."""
    file = Path(environ.get("ASHVALE_SETTINGS") or OWN_FILE)
    plan, sources = None, dict[str, bytes]()
    if file.exists() or "ASHVALE_SETTINGS" in environ:
        good = None if anew else told.state / GOOD_SET
        root, made = _root_or_set(file, good, "read_plan", "read_good")
        if made is not None:
            root, plan, sources = made
    else:
        root = {}
    found = trace(root, told, file.name)
    mail = told.mail
    if mail is not None and found is not None and found.mail_headers:
        mail = replace(mail, trace_headers=True)
    return replace(
        told,
        trace=found,
        mail=mail,
        plan=plan,
        sources=sources,
        log=_log(root, file.name),
        fleet=fleet(root, told, file.name),
    )


def fleet(root: Any, told: Config, what: str) -> Optional[Fleet]:
    """Check and read `[fleet]`; None where the file has none, and the couriers do not talk."""
    if "fleet" not in root:
        return None
    table, where = get(root, "fleet", dict, what=what), f"{what}: fleet"
    for key in table:
        if key not in _OWN_KEYS["fleet"]:
            raise ConfigError(f"{where}: unknown key '{key}'")
    names, addresses, peers = set[str](), dict[tuple[str, int], str](), list[Peer]()
    taken = {told.platform.listen: "listen", told.platform.operator: "operator"} if told.platform else {}
    taken |= {place.address: "the mail front" for place in told.mail.listen} if told.mail else {}
    for number, line in enumerate(get(table, "peer", list, what=where), 1):
        at = f"{where}: peer {number}"
        for key in line if isinstance(line, dict) else ():
            if key not in ("name", "address", "votes", "building"):
                raise ConfigError(f"{at}: unknown key '{key}'")
        where_at = address(get(line, "address", str, what=at), "address", at)
        one = Peer(
            get(line, "name", str, what=at),
            where_at,
            get(line, "votes", bool, False, at),
            get(line, "building", str, "", at),
        )
        if len(one.building) > 60:
            raise ConfigError(f"{at}: key 'building' is longer than 60 characters")
        if not one.name or len(one.name) > 60 or "/" in one.name or one.name in names:
            raise ConfigError(f"{at}: key 'name' is '{one.name}', a name used once was expected")
        if one.address in addresses:
            raise ConfigError(f"{at}: key 'address' is that of '{addresses[one.address]}' already")
        names.add(one.name)
        addresses[one.address] = one.name
        peers.append(one)
    own = get(table, "courier", str, told.name, where)
    voters = sum(peer.votes for peer in peers)
    if own not in names:
        raise ConfigError(f"{where}: key 'courier' is '{own}', which no peer is called")
    if not voters:
        raise ConfigError(f"{where}: key 'votes' is set at no peer, so no majority is possible")
    if voters > VOTERS_MOST or len(peers) > PEERS_MOST:
        raise ConfigError(
            f"{where}: key 'peer' lists {len(peers)} with {voters} that vote, at most "
            f"{PEERS_MOST} and {VOTERS_MOST} were expected"
        )
    if voters % 2 == 0:
        log.warning("an even number of voters bears no more losses than one less", extra={"voters": voters})
    listen = get(table, "listen", str, "", where)
    own_at = next(peer.address for peer in peers if peer.name == own)
    listen_at = address(listen, "listen", where) if listen else own_at
    if (other := taken.get(listen_at)) is not None:
        raise ConfigError(f"{where}: key 'listen' is the address of {other} already")
    made = Fleet(
        get(table, "name", str, what=where),
        own,
        listen_at,
        tuple(peers),
        _quantity(table, "election", "time", "1 s", 50.0, where),
        _quantity(table, "beat", "time", "200 ms", 10.0, where),
        _quantity(table, "drift", "share", "1 %", 0.0, where),
        _quantity(table, "every", "time", "500 ms", 10.0, where),
        _quantity(table, "suspect", "time", "3 s", 50.0, where),
        _quantity(table, "follow", "time", "1 s", 10.0, where),
        get(table, "version", str, "", where),
        _steps(table, where),
    )
    if not made.name or "/" in made.name or len(made.name) > 60:
        raise ConfigError(f"{where}: key 'name' is '{made.name}', a short name without '/' was expected")
    if made.drift > 0.2:
        raise ConfigError(f"{where}: key 'drift' is above 20 %")
    for key, value, times, over in (
        ("election", made.election_ms, 3.0, "beat"),
        ("suspect", made.suspect_ms, 2.0, "every"),
    ):
        if value < times * getattr(made, f"{over}_ms"):
            raise ConfigError(f"{where}: key '{key}' is below {times:g} times '{over}'")
    return made


def _steps(table: Any, where: str) -> dict[str, tuple[tuple[str, ...], tuple[str, ...]]]:
    """Commands of releases' steps, by name: what runs, and what undoes it."""
    found = {}
    for name, line in get(table, "step", dict, {}, where).items():
        at = f"{where}: step '{name}'"
        if not isinstance(line, dict):
            raise ConfigError(f"{at}: a table was expected")
        for key in line:
            if key not in ("run", "back"):
                raise ConfigError(f"{at}: unknown key '{key}'")
        words = {
            key: get(line, key, list, default, at)
            for key, default in (("run", None), ("back", []))
            if key in line or default is not None
        }
        if not words.get("run"):
            raise ConfigError(f"{at}: key 'run' is missing or empty, the words of a command were expected")
        if not all(isinstance(word, str) and word for key in words for word in words[key]):
            raise ConfigError(f"{at}: a word of a command is no text, or empty")
        found[name] = tuple(words["run"]), tuple(words["back"])
    return found


def _log(root: Any, what: str) -> Log:
    table, where = get(root, "log", dict, {}, what), f"{what}: log"
    for key in table:
        if key not in _OWN_KEYS["log"]:
            raise ConfigError(f"{where}: unknown key '{key}'")
    return Log(choice(table, "level", LEVELS, where, "info"), choice(table, "form", FORMS, where, "logfmt"))


def trace(root: Any, told: Config, what: str) -> Optional[Trace]:
    """Check the operator's file and read its `[trace]`; None where that is off."""
    for key in root:
        if key not in _OWN_KEYS:
            raise ConfigError(f"{what}: unknown key '{key}'")
    table, where = get(root, "trace", dict, {}, what), f"{what}: trace"
    for key in table:
        if key not in _OWN_KEYS["trace"]:
            raise ConfigError(f"{where}: unknown key '{key}'")
    folder = Path(get(table, "folder", str, "", where) or told.state / "trace")
    share = _quantity(table, "share", "share", "1 %", 0.0, where)
    if share > 1.0:
        raise ConfigError(f"{where}: key 'share' is above 100 %")
    found = Trace(
        folder,
        int(_quantity(table, "budget", "size", "512 KB", 66000.0, where)),
        _quantity(table, "age", "time", "72 h", 1000.0, where),
        share,
        least(table, "slowest", int, 2, 0, where),
        least(table, "details", int, 20, 0, where),
        least(table, "live", int, 4096, 1, where),
        get(table, "mail_headers", bool, False, where),
    )
    if not get(table, "enabled", bool, False, where):
        return None
    if 2 * replace(told, trace=found).journal_bytes < told.limits.disk_bytes:
        raise ConfigError(f"{where}: key 'budget' leaves the journal less than half of the disk")
    return found


SET_TABLES = {
    "include",
    "let",
    "courier",
    "partner",
    "pool",
    "route",
    "network",
    "policy",
    "limit",
    "default",
    "override",
}


def _mail_file(file: Path, environ: Mapping[str, str], anew: bool) -> tuple[Any, Optional[MailSet]]:
    """The mail front's file as tables, with the rest of it where it is a set.

    The last good one is looked for only in a folder which the environment names.
    """
    folder = environ.get("LB_STATE")
    good = Path(folder) / GOOD_MAIL if folder and not anew else None
    root, made = _root_or_set(file, good, "read_set", "read_good_set")
    return (root, None) if made is None else (made.root, made)


def _root_or_set(file: Path, good: Optional[Path], read: str, read_good: str) -> tuple[Any, Any]:
    """A file's tables, or where it is a set, what the reader of that name makes of it.

    What reads a set is loaded only for one. A start with a bad file serves the last `good` set, where there
    is one; a running courier has the old one in force, and passes none.
    """
    try:
        root = read_toml(file)
        return root, getattr(_mailset(file), read)(file) if SET_TABLES & root.keys() else None
    except ConfigError as error:
        if good is None or not (good.exists() or good.with_name(f"{good.name}.new").exists()):
            raise
        made = getattr(_mailset(file), read_good)(good)
        log.error("the last good set serves", extra={"why": str(error)})
        return {}, made


def has_set(environ: Mapping[str, str]) -> bool:
    """Whether one of the operators' files is a set, as far as it can be read."""
    for key, usual in (("ASHVALE_MAIL", MAIL_FILE), ("ASHVALE_SETTINGS", OWN_FILE)):
        try:
            if SET_TABLES & read_toml(Path(environ.get(key) or usual)).keys():
                return True
        except ConfigError:
            continue
    return False


def _mailset(file: Path) -> Any:
    """What reads a set: loaded only where there is one."""
    try:
        from ashvale.config import mailset
    except ImportError as error:
        raise ConfigError(f"{file.name}: a set needs the extra 'kit', without {error.name}") from None
    return mailset


def read_toml(file: Path) -> Any:
    try:
        return tomllib.loads(file.read_text())
    except OSError as error:
        raise unread(file.name, error) from None
    except ValueError as error:
        raise ConfigError(f"{file.name}: not TOML ({error})") from None


def _state(folder: str) -> Path:
    if not folder or not Path(folder).is_dir():
        raise ConfigError(f"environment: key 'LB_STATE' names no folder: '{folder}'")
    return Path(folder)


def _platform(environ: Mapping[str, str], anew: bool) -> Config:
    try:
        root = parse(Path(environ["LB_CONFIG"]).read_bytes(), "config")
    except OSError as error:
        raise unread("environment: key 'LB_CONFIG'", error) from None
    limits = get(root, "limits", dict, {}, "config")
    listen = environ.get("LB_LISTEN") or get(root, "listen", str, what="config")
    discovery = "" if anew and "discovery" in root else environ.get("LB_DISCOVERY", "")
    discovery = discovery or get(root, "discovery", str, what="config")
    seed = get(root, "seed", str, "0", "config")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"config: key 'seed' is no hexadecimal number: '{seed}'") from None
    allowed = Limits(
        least(limits, "sockets", int, SOCKETS, 16, "config: limits"),
        int(least(limits, "disk_mb", float, float(DISK_MB), 0.0, "config: limits") * 1e6),
    )
    told = settings(get(root, "settings", dict, what="config"))
    return Config(
        name=environ.get("LB_NAME") or get(root, "name", str, "courier", "config"),
        state=_state(environ.get("LB_STATE", "")),
        seed=number,
        limits=allowed,
        # Guards endpoints against calls for which no descriptor is left: they would be held to be out.
        settings=replace(told, slots=min(told.slots, allowed.calls)),
        platform=Platform(
            address(listen, "listen"),
            address(discovery, "discovery"),
            get(root, "known", dict, {}, "config"),
            _operator(environ, root, listen),
        ),
    )


def _operator(environ: Mapping[str, str], root: Any, listen: str) -> Optional[tuple[str, int]]:
    """Where the operator's door listens: `$LB_OPERATOR` over the file's `operator`; or none."""
    where = environ.get("LB_OPERATOR") or get(root, "operator", str, "", "config")
    if not where:
        return None
    found = address(where, "operator")
    if found == address(listen, "listen") and found[1]:  # port 0 is any free one
        raise ConfigError(f"config: key 'operator' is the clients' address: '{where}'")
    return found


def _class(data: Any) -> api.MessageClass:
    effect = get(data, "repeat", str)
    if effect not in _EFFECTS:
        raise ConfigError(f"settings: key 'repeat' has the unknown value '{effect}'")
    return api.MessageClass(
        name=get(data, "name", str, ""),
        effect=_EFFECTS[effect],
        aim_ms=get(data, "objective_ms", float),
        deadline_ms=get(data, "give_up_ms", float),
        worth=get(data, "worth", float, 1.0),
        late_worth=get(data, "late_worth", float, 0.0),
        group=get(data, "key_scope", str, "all"),
        window_ms=get(data, "dedup_window_ms", float, 0.0),
        stream=get(data, "stream", bool, False),
        in_order=get(data, "keep_order", bool, False),
    )


def _kinds(root: Any, info: Any) -> tuple[api.Kind, ...]:
    names = get(root, "models", list, [])
    calls, apart = get(info, "per_call", list, []), get(info, "routes_apart", list, [])
    if not all(isinstance(most, int) and most > 0 for most in calls):
        raise ConfigError("settings: key 'per_call' holds other than whole numbers above nought")
    count = max(len(names), len(calls), len(apart), 1)
    return tuple(
        api.Kind(
            str(names[i]) if i < len(names) else "",
            int(calls[i]) if i < len(calls) else 1,
            bool(apart[i]) if i < len(apart) else False,
        )
        for i in range(count)
    )


def _fees(values: list[Any]) -> tuple[float, ...]:
    if not all(isinstance(fee, (int, float)) for fee in values):
        raise ConfigError("settings: key 'zone_fee' holds other than numbers")
    return tuple(map(float, values))


def _fleet_size(root: Any) -> int:
    """How many couriers share the partners' limits; guards against sizes that leave no part of them."""
    count: int = least(root, "peers_total", int, 1, 1, "settings")
    if count > COURIERS_MOST:
        raise ConfigError(f"settings: key 'peers_total' is {count}, at most {COURIERS_MOST} was expected")
    return count


def settings(root: Any) -> api.Settings:
    """Translate the start-up settings; unknown keys are ignored."""
    limits, rules = get(root, "limits", dict), get(root, "contract", dict)
    info, report = get(root, "family_info", dict, {}), get(root, "report", dict, {})
    classes = tuple(_class(item) for item in get(root, "categories", list))
    tenants = tuple(
        api.Tenant(get(t, "name", str, ""), get(t, "portion", float, 1.0), get(t, "quota_per_s", float, 0.0))
        for t in get(root, "tenants", list, [])
    )
    return api.Settings(
        classes=classes,
        kinds=_kinds(root, info),
        tenants=tenants,
        forwarders=_fleet_size(root),
        number=least(root, "slot_no", int, 0, 0, "settings"),
        slots=get(info, "max_calls", int, 1 << 16),
        max_open=get(limits, "max_open", int, 1 << 20),
        max_attempts=get(limits, "most_tries", int),
        max_backoff_ms=get(limits, "max_retry_after_ms", float, 0.0),
        may_probe=get(limits, "probing", bool, False),
        may_cancel=get(limits, "may_cancel", bool, False),
        may_copy=get(limits, "second_copies", bool, False),
        may_advise=get(limits, "retry_after", bool, False),
        may_note=get(limits, "peers", bool, False),
        must_subscribe=get(root, "membership_mode", str, "automatic") == "subscribe",
        listed_rates=get(root, "weight_kind", str, "off") in ("nominal", "rough"),
        report_fields=tuple(str(name) for name in get(report, "fields", list, [])),
        fades_linear=get(info, "fades", str, "linear") == "linear",
        over_share_worth=get(root, "over_share_worth", float, 1.0),
        zone=get(root, "zone", int, 0),
        zone_fees=_fees(get(info, "zone_fee", list, [])),
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
        order_settle_ms=get(rules, "order_settle_ms", float, 0.0),
    )


@dataclass(frozen=True)
class Listen:
    """One place where the mail front listens."""

    protocol: str
    address: tuple[str, int]
    most: int


@dataclass(frozen=True)
class Rule:
    """What an envelope address that matches stands for."""

    match: str
    cls: str = ""
    dest: str = ""
    tenant: str = ""
    route: str = ""  # of a set with pools or limits


@dataclass(frozen=True)
class MailInstance:
    """A partner's mail server."""

    dest: str
    protocol: str
    address: tuple[str, int]
    zone: str
    rate: float


@dataclass(frozen=True)
class Mail:
    """The mail front, as the file under deploy/ sets it up."""

    hostname: str
    listen: tuple[Listen, ...]
    size: int
    recipients: int
    idle_ms: float
    classes: tuple[api.MessageClass, ...]
    tenants: tuple[api.Tenant, ...]
    receivers: tuple[Rule, ...]
    senders: tuple[Rule, ...]
    instances: tuple[MailInstance, ...]
    settings: api.Settings
    trace_headers: bool = False  # calls to partners carry their trace in the message's header


MAIL_CLASS, MAIL_KIND = "mail/", "mail"
MAIL_SIZE, MAIL_SIZE_MOST = 64 * 1024, 256 * 1024
_MAIL_KEYS = {
    "": {
        "enabled",
        "hostname",
        "state",
        "limits",
        "listen",
        "class",
        "tenant",
        "recipient",
        "sender",
        "destination",
    },
    "limits": {
        "size",
        "recipients",
        "client_idle_ms",
        "slots",
        "max_open",
        "attempts",
        "connect_timeout_ms",
        "keepalive_ms",
        "max_wait_ms",
        "sockets",
        "disk_mb",
    },
    "listen": {"protocol", "address", "connections"},
    "class": {"name", "repeat", "aim_ms", "deadline_ms", "late_worth", "worth", "window_ms"},
    "tenant": {"name", "share", "quota_per_s"},
    "recipient": {"match", "class", "destination"},
    "sender": {"match", "tenant"},
    "destination": {"name", "rate", "instance"},
    "instance": {"address", "protocol", "zone"},
}


def _checked(table: Any, part: str, what: str) -> Any:
    """Guards against misspelt keys, which would otherwise silently leave a default in force."""
    if not isinstance(table, dict):
        raise ConfigError(f"{what}: a table was expected")
    for key in table:
        if key not in _MAIL_KEYS[part]:
            raise ConfigError(f"{what}: unknown key '{key}'")
    return table


def _tables(root: Any, key: str, what: str) -> list[tuple[Any, str]]:
    found = []
    for number, table in enumerate(get(root, key, list, [], what), 1):
        where = f"{what}: {key} {number}"
        found.append((_checked(table, key, where), where))
    return found


def _mail_class(table: Any, what: str) -> api.MessageClass:
    repeat = choice(table, "repeat", ("safe", "never"), what)
    deadline = least(table, "deadline_ms", float, MISSING, 1.0, what)
    return api.MessageClass(
        name=MAIL_CLASS + get(table, "name", str, what=what),
        effect=api.Effect.SAFE if repeat == "safe" else api.Effect.UNSAFE,
        aim_ms=least(table, "aim_ms", float, deadline, 1.0, what),
        deadline_ms=deadline,
        worth=get(table, "worth", float, 1.0, what),
        late_worth=get(table, "late_worth", float, 0.0, what),
        window_ms=least(table, "window_ms", float, deadline, 0.0, what),
    )


def mail(root: Any, what: str = "mail") -> Optional[Mail]:
    """Check the mail front's file; None where it leaves the front off."""
    _checked(root, "", what)
    limits = _checked(get(root, "limits", dict, {}, what), "limits", f"{what}: limits")
    where = f"{what}: limits"
    size = least(limits, "size", int, MAIL_SIZE, 1, where)
    if size > MAIL_SIZE_MOST:
        raise ConfigError(f"{where}: key 'size' is {size}, at most {MAIL_SIZE_MOST} was expected")
    listen = tuple(
        Listen(
            choice(t, "protocol", ("smtp", "lmtp"), w),
            address(get(t, "address", str, what=w), "address", w),
            least(t, "connections", int, 100, 1, w),
        )
        for t, w in _tables(root, "listen", what)
    )
    classes = tuple(_mail_class(t, w) for t, w in _tables(root, "class", what))
    tenants = tuple(
        api.Tenant(
            get(t, "name", str, what=w), get(t, "share", float, 1.0, w), get(t, "quota_per_s", float, 0.0, w)
        )
        for t, w in _tables(root, "tenant", what)
    )
    instances, names = [], []
    for table, w in _tables(root, "destination", what):
        names.append(get(table, "name", str, what=w))
        if names[-1].isdigit() or names.count(names[-1]) > 1:
            raise ConfigError(f"{w}: key 'name' is '{names[-1]}', a name used once was expected")
        for t, wi in _tables(table, "instance", w):
            instances.append(
                MailInstance(
                    names[-1],
                    choice(t, "protocol", ("smtp", "lmtp"), wi, "smtp"),
                    address(get(t, "address", str, what=wi), "address", wi),
                    get(t, "zone", str, "", wi),
                    get(table, "rate", float, 0.0, w),
                )
            )
    known = tuple(c.name.removeprefix(MAIL_CLASS) for c in classes)
    receivers = tuple(
        Rule(
            get(t, "match", str, what=w).lower(),
            MAIL_CLASS + choice(t, "class", known, w),
            choice(t, "destination", tuple(names), w),
        )
        for t, w in _tables(root, "recipient", what)
    )
    senders = tuple(
        Rule(
            get(t, "match", str, what=w).lower(),
            tenant=choice(t, "tenant", tuple(x.name for x in tenants), w),
        )
        for t, w in _tables(root, "sender", what)
    )
    if not get(root, "enabled", bool, False, what):
        return None
    for key, value in (("listen", listen), ("class", classes), ("recipient", receivers)):
        if not value:
            raise ConfigError(f"{what}: key '{key}' is missing")
    values = api.Settings(
        classes=(),
        slots=least(limits, "slots", int, 16, 1, where),
        max_open=least(limits, "max_open", int, 500, 1, where),
        max_attempts=least(limits, "attempts", int, 8, 1, where),
        max_backoff_ms=least(limits, "max_wait_ms", float, 60000.0, 0.0, where),
        keepalive_ms=least(limits, "keepalive_ms", float, 5000.0, 0.0, where),
        connect_timeout_ms=least(limits, "connect_timeout_ms", float, 1000.0, 1.0, where),
        tick_ms=5.0,
    )
    return Mail(
        get(root, "hostname", str, "ashvale.localdomain", what),
        listen,
        size,
        least(limits, "recipients", int, 100, 1, where),
        least(limits, "client_idle_ms", float, 300000.0, 1.0, where),
        classes,
        tenants,
        receivers,
        senders,
        tuple(instances),
        values,
    )


def with_mail(base: Optional[api.Settings], front: Mail) -> api.Settings:
    """The settings of a courier with a mail front, alone or beside the platform's."""
    base = base or front.settings
    kinds = tuple(kind for kind in base.kinds if kind.name != "any")
    known = {tenant.name for tenant in base.tenants}
    more = tuple(tenant for tenant in front.tenants if tenant.name not in known)
    listed = base.listed_rates or any(i.rate > 0 for i in front.instances)
    return replace(
        base,
        classes=base.classes + front.classes,
        kinds=(*kinds, api.Kind(MAIL_KIND)),
        tenants=base.tenants + more,
        listed_rates=listed,
        may_advise=True,
    )
