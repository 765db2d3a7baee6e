"""What is wrong with a set although each value of it can be read.

It owns the rules that take two places to see. It must never read a file, and never stop at the first mistake;
it takes what `reader` loaded and returns mistakes, each with its places.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable, Iterator
from fnmatch import fnmatchcase

from ashvale.config.base import ConfigError, address
from ashvale.config.codes import CODES
from ashvale.config.reader import Entry, Loaded, nearest
from ashvale.config.text import Mistake, Place
from ashvale.config.units import write

_HOURS = re.compile(r"([01]\d|2[0-3]):([0-5]\d)-([01]\d|2[0-3]|24):([0-5]\d)\Z")
CLIENTS_PART, CALLS_PART = 2, 4  # of the descriptors: one in so many
HELD_OVER = 2048  # bytes that a held message takes beside its own
Rule = Callable[[Loaded], Iterator[Mistake]]


def check(made: Loaded) -> list[Mistake]:
    """All mistakes of a set, those of reading among them, in the order in which they stand."""
    found = list(made.mistakes)
    for rule in RULES:
        found += rule(made)
    order = {name: number for number, name in enumerate(made.sources)}
    return sorted(
        set(found), key=lambda m: (order.get(m.place.file, -1), m.place.line, m.place.column, m.code)
    )


def errors(found: list[Mistake]) -> list[Mistake]:
    """Those that keep a set from being used."""
    return [m for m in found if not CODES[m.code].warning]


def hours(text: str) -> tuple[int, int] | None:
    """Minutes of the day from and until; None for what is no span of hours. Until may lie before from."""
    found = _HOURS.match(text)
    if found is None:
        return None
    start, end = int(found[1]) * 60 + int(found[2]), int(found[3]) * 60 + int(found[4])
    return (start, end) if start != end and end <= 1440 else None


# References


def _references(made: Loaded) -> Iterator[Mistake]:
    named = [entry for kind in made.entries.values() for entry in kind.values()]
    for entry in [*named, *made.routes]:
        for key, kind in (("limit", "limit"), ("policy", "policy"), ("as", "class")):
            if (name := getattr(entry.data, "as_" if key == "as" else key, None)) is not None:
                yield from _known(made, kind, name, entry.at(key))
        for key, kind in (("classes", "class"), ("networks", "network")):
            for name, place in _parts(entry, key):
                yield from _known(made, kind, name, place)
        for member in entry.parts.get("member", []):
            if member.data.partner is not None:
                yield from _known(made, "partner", member.data.partner, member.at("partner"))
    for route in made.routes:
        if route.data.to is None:
            continue
        kind, _, name = route.data.to.partition(" ")
        if kind not in ("partner", "pool") or not name:
            yield Mistake(
                "E0146", route.at("to"), f"'{route.data.to}' is no target", '"partner NAME" or "pool NAME"'
            )
        else:
            yield from _known(made, kind, name, route.at("to"))


def _known(made: Loaded, kind: str, name: str, place: Place) -> Iterator[Mistake]:
    if name not in made.entries[kind]:
        yield Mistake("E0145", place, f"no {kind} '{name}'", nearest(name, made.entries[kind]))


def _parts(entry: Entry, key: str) -> list[tuple[str, Place]]:
    return list(zip(getattr(entry.data, key, None) or [], entry.lists.get(key, []), strict=False))


# Addresses


def _addresses(made: Loaded) -> Iterator[Mistake]:
    seen: dict[tuple[str, int], tuple[Place, str]] = {}
    for partner in made.entries["partner"].values():
        for endpoint in partner.parts.get("endpoint", []):
            if endpoint.data.address is None:
                continue
            where = _canonical(endpoint.data.address)
            if where is None:
                yield _no_address(endpoint)
                continue
            name = f"{partner.name}'s endpoint '{endpoint.name}'"
            if where in seen:
                first, other = seen[where]
                yield Mistake(
                    "E0151",
                    endpoint.at("address"),
                    f"{name} has the address of {other}",
                    "one endpoint",
                    ((first, "the first"),),
                )
            else:
                seen[where] = endpoint.at("address"), name
    places: dict[tuple[str, int], Place] = {}
    for listener in made.listen:
        if listener.data.address is None:
            continue
        where = _canonical(listener.data.address)
        if where is None:
            yield _no_address(listener)
        elif where in places and where[1]:
            yield Mistake(
                "E0152",
                listener.at("address"),
                f"'{listener.data.address}' is listened on twice",
                "",
                ((places[where], "the first"),),
            )
        else:
            places[where] = listener.at("address")


def _no_address(entry: Entry) -> Mistake:
    return Mistake(
        "E0150", entry.at("address"), f"'{entry.data.address}' is no address and port", 'like "192.0.2.7:25"'
    )


def _canonical(text: str) -> tuple[str, int] | None:
    """One spelling for each address."""
    try:
        host, port = address(text, "address")
    except ConfigError:
        return None
    found = ipaddress.ip_address(host)
    mapped = found.ipv4_mapped if isinstance(found, ipaddress.IPv6Address) else None
    return str(mapped or found), port


def _partners(made: Loaded) -> Iterator[Mistake]:
    numbers: dict[str, Entry] = {}
    for partner in made.entries["partner"].values():
        if (
            partner.data.kind == "mail"
            and "kind" not in partner.bad
            and not partner.data.endpoint
            and "endpoint" not in partner.places
        ):
            yield Mistake(
                "E0154",
                partner.place,
                f"partner '{partner.name}' has no endpoint",
                f"[partner.{partner.name}.endpoint.NAME]",
            )
        weights = [endpoint.data.weight for endpoint in partner.parts.get("endpoint", [])]
        if weights and sum(weights) == 0:
            yield Mistake("E0155", partner.place, f"all endpoints of '{partner.name}' have weight 0", "")
        number = partner.data.destination
        if number is not None and number in numbers:
            first = numbers[number]
            yield Mistake(
                "E0153",
                partner.at("destination"),
                f"destination '{number}' is partner '{first.name}' already",
                "",
                ((first.at("destination"), "the first"),),
            )
        elif number is not None:
            numbers[number] = partner


# Pools and routes


def _pools(made: Loaded) -> Iterator[Mistake]:
    for pool in made.entries["pool"].values():
        members = pool.parts.get("member", [])
        if not members and "member" in pool.places:
            yield Mistake(
                "E0162",
                pool.at("member"),
                f"pool '{pool.name}' has no member",
                f"[[pool.{pool.name}.member]]",
            )
        tiers: dict[int, list[Entry]] = {}
        names: dict[str, Entry] = {}
        for member in members:
            tiers.setdefault(member.data.tier, []).append(member)
            if member.data.partner in names and member.data.partner is not None:
                yield Mistake(
                    "E0163",
                    member.at("partner"),
                    f"'{member.data.partner}' stands in pool '{pool.name}' twice",
                    "",
                    ((names[member.data.partner].at("partner"), "the first"),),
                )
            names.setdefault(member.data.partner, member)
        for number, tier in tiers.items():
            if sum(member.data.weight for member in tier) == 0:
                yield Mistake(
                    "E0155", tier[0].place, f"all members of tier {number} of '{pool.name}' have weight 0", ""
                )


def _reached(made: Loaded) -> Iterator[Mistake]:
    if not made.routes:
        return  # a set without routes serves each destination by its own partner
    targets = {route.data.to for route in made.routes if route.data.to}
    partners = {name.partition(" ")[2] for name in targets if name.startswith("partner ")}
    for pool in made.entries["pool"].values():
        if f"pool {pool.name}" not in targets:
            yield Mistake("E0160", pool.place, f"no route leads to pool '{pool.name}'", "")
        else:
            partners |= {member.data.partner for member in pool.parts.get("member", [])}
    for partner in made.entries["partner"].values():
        if partner.name not in partners:
            yield Mistake("E0166", partner.place, f"no route leads to partner '{partner.name}'", "")


CONDITIONS = ("classes", "networks", "destinations", "senders", "recipients", "hours")


Index = dict[tuple[str, str], list[tuple[int, Entry]]]


def _index_keys(route: Entry) -> list[tuple[str, str]]:
    """Under what a route is found by those that it may cover: each value of its first condition."""
    for key in ("destinations", "classes", "networks"):
        if values := getattr(route.data, key):
            return [(key, value) for value in values]
    for key in ("recipients", "senders"):
        values = [value.lower() for value in getattr(route.data, key) or []]
        if values and not any(char in value.removeprefix("*@") for value in values for char in "*?["):
            return [(key, value) for value in values]
    return [("", "")]


def _candidates(index: Index, route: Entry) -> list[tuple[int, Entry]]:
    """Earlier routes that may cover one: those found under its first value of each condition. What covers it
    holds all of its values, so comparing with every earlier route (quadratic: 45 s for 5,000) is not needed.
    """
    found = list(index.get(("", ""), []))
    for key in ("destinations", "classes", "networks"):
        for value in (getattr(route.data, key) or [])[:1]:
            found += index.get((key, value), [])
    for key in ("recipients", "senders"):
        for value in (getattr(route.data, key) or [])[:1]:
            domain = "*@" + value.lower().rpartition("@")[2]
            for text in dict.fromkeys((value.lower(), domain)):
                found += index.get((key, text), [])
    return found


def _routes(made: Loaded) -> Iterator[Mistake]:
    names: dict[str, Entry] = {}
    index: Index = {}
    for number, route in enumerate(made.routes):
        has = [key for key in ("to", "refuse") if key in route.places]
        if len(has) != 1:
            yield Mistake(
                "E0164",
                route.place,
                f"route '{route.name}' has "
                + ("both 'to' and 'refuse'" if has else "neither 'to' nor 'refuse'"),
                "one of the two",
            )
        for text, place in _parts(route, "hours"):
            if hours(text) is None:
                yield Mistake("E0168", place, f"'{text}' is no span of hours", 'like "08:00-20:00"')
        if route.data.name is not None:
            if route.data.name in names:
                yield Mistake(
                    "E0167",
                    route.at("name"),
                    f"a route '{route.data.name}' stands before",
                    "",
                    ((names[route.data.name].at("name"), "the first"),),
                )
            names.setdefault(route.data.name, route)
        for earlier in sorted(_candidates(index, route), key=lambda pair: pair[0]):
            if all(_covers(earlier[1], route, key) for key in CONDITIONS):
                yield Mistake(
                    "E0161",
                    route.place,
                    f"route '{route.name}' is never reached: '{earlier[1].name}' fits all that it fits",
                    "",
                    ((earlier[1].place, "the earlier"),),
                )
                break
        for key in _index_keys(route):
            index.setdefault(key, []).append((number, route))
        yield from _crosses(made, route)


def _covers(earlier: Entry, later: Entry, key: str) -> bool:
    """Whether what meets the later route's condition meets the earlier's."""
    one, other = getattr(earlier.data, key) or [], getattr(later.data, key) or []
    if not one:
        return key not in earlier.places or not earlier.lists.get(key)
    if not other:
        return False
    if key in ("senders", "recipients"):
        return all(
            any(
                a == b or ("*" not in b and "?" not in b and "[" not in b and fnmatchcase(b, a)) or a == "*"
                for a in one
            )
            for b in other
        )
    return set(other) <= set(one)


def _crosses(made: Loaded, route: Entry) -> Iterator[Mistake]:
    kind, _, name = (route.data.to or "").partition(" ")
    target = made.entries.get(kind, {}).get(name) if kind in ("partner", "pool") else None
    if target is None:
        return
    names = [name] if kind == "partner" else [m.data.partner for m in target.parts.get("member", [])]
    partners = [made.entries["partner"][n] for n in names if n in made.entries["partner"]]
    serve = {p.data.destination for p in partners if p.data.destination is not None}
    for number, place in _parts(route, "destinations"):
        if serve and serve != {number}:
            yield Mistake(
                "E0165",
                place,
                f"route '{route.name}' takes destination '{number}' to "
                + " and ".join(f"'{n}'" for n in sorted(serve)),
                "a partner of that destination",
            )


# Quantities


def _classes(made: Loaded) -> Iterator[Mistake]:
    for c in made.entries["class"].values():
        deadline, aim, window = (c.amounts.get(key) for key in ("deadline", "aim", "window"))
        if aim is not None and deadline is not None and aim > deadline:
            yield Mistake(
                "E0173",
                c.at("aim"),
                f"the aim of '{c.name}' is {write(aim, 'time')}, its deadline {write(deadline, 'time')}",
                "",
                ((c.at("deadline"), "the deadline"),),
            )
        if window is not None and deadline is not None and window > deadline:
            yield Mistake(
                "E0171",
                c.at("window"),
                f"the window of '{c.name}' is {write(window, 'time')}, its "
                f"deadline {write(deadline, 'time')}",
                "",
                ((c.at("deadline"), "the deadline"),),
            )
        if c.data.repeat == "safe" and "window" in c.places:
            yield Mistake(
                "E0172",
                c.at("repeat"),
                f"class '{c.name}' has a window, and a repeat that is safe",
                "'keyed'",
                ((c.at("window"), "the window"),),
            )
        if c.data.repeat == "keyed" and "window" not in c.places:
            yield Mistake(
                "E0172", c.at("repeat"), f"class '{c.name}' is keyed and has no window", 'like window = "6 s"'
            )
        if c.amounts.get("late_worth", 0.0) > 1.0:
            yield Mistake("E0125", c.at("late_worth"), f"the late worth of '{c.name}' is above 100 %", "")


def _limits(made: Loaded) -> Iterator[Mistake]:
    limits = made.entries["limit"]
    slots = made.single["courier"].data.slots if "courier" in made.single else None
    for limit in limits.values():
        if slots is not None and limit.data.at_once is not None and limit.data.at_once > slots:
            yield Mistake(
                "E0177",
                limit.at("at_once"),
                f"limit '{limit.name}' allows {limit.data.at_once} calls "
                f"at once, the courier has {slots} slots",
                "",
            )
    for kind in ("partner", "pool"):
        for entry in made.entries[kind].values():
            used = limits.get(entry.data.limit or "")
            names = (
                [entry.name] if kind == "partner" else [m.data.partner for m in entry.parts.get("member", [])]
            )
            rates = [
                made.entries["partner"][n].amounts.get("rate") if n in made.entries["partner"] else None
                for n in names
            ]
            rate = used.amounts.get("rate") if used else None
            known = [r for r in rates if r is not None]
            if used and rate is not None and known and len(known) == len(rates) and rate > sum(known) + 1e-9:
                yield Mistake(
                    "E0170",
                    used.at("rate"),
                    f"limit '{used.name}' is {write(rate, 'rate')}, what "
                    f"{kind} '{entry.name}' takes is {write(sum(known), 'rate')}",
                    "",
                    ((entry.at("limit"), "used here"),),
                )


def _machine(made: Loaded) -> Iterator[Mistake]:
    courier = made.single.get("courier")
    if courier is None:
        return
    held, message = courier.data.held, courier.amounts.get("message")
    # Defaults are no mistake of the operator's.
    memory, disk = (courier.amounts.get(key) if key in courier.places else None for key in ("memory", "disk"))
    need = held * (message + HELD_OVER) if message is not None else None
    key = "held" if "held" in courier.places else "message"
    if need is not None and memory is not None and need > memory:
        yield Mistake(
            "E0174",
            courier.at(key),
            f"{held} messages of {write(message or 0, 'size')} take "
            f"{_mib(need)}, the memory is {write(memory, 'size')}",
            "",
        )
    if need is not None and disk is not None and 2 * need > disk:
        yield Mistake(
            "E0178",
            courier.at(key),
            f"{held} messages of {write(message or 0, 'size')} take "
            f"{_mib(2 * need)} in an old and a new journal, the disk is {write(disk, 'size')}",
            "",
        )
    sockets, clients = courier.data.sockets, sum(x.data.connections for x in made.listen)
    if clients > sockets // CLIENTS_PART:
        last = made.listen[-1]
        yield Mistake(
            "E0175",
            last.at("connections"),
            f"listeners take {clients} connections, half of the descriptors are {sockets // CLIENTS_PART}",
            "",
            ((courier.at("sockets"), "descriptors"),),
        )
    if courier.data.slots > sockets // CALLS_PART:
        yield Mistake(
            "E0175",
            courier.at("slots"),
            f"{courier.data.slots} slots, a quarter of the descriptors are {sockets // CALLS_PART}",
            "",
            ((courier.at("sockets"), "descriptors"),),
        )


def _mib(size: float) -> str:
    return f"{size / 1024**2:.1f} MiB"


def _networks(made: Loaded) -> Iterator[Mistake]:
    total = 0.0
    for network in made.entries["network"].values():
        before, total = total, total + network.amounts.get("share", 0.0)
        if before <= 1.0 + 1e-9 < total:
            yield Mistake(
                "E0176",
                network.at("share"),
                f"with '{network.name}' the shares are {total * 100.0:g} %",
                "",
            )


RULES: tuple[Rule, ...] = (
    _references,
    _addresses,
    _partners,
    _pools,
    _reached,
    _routes,
    _classes,
    _limits,
    _machine,
    _networks,
)
