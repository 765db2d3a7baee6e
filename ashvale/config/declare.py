"""What may stand in an operator's files: one declaration for reader, schema and reference.

It owns the tables and their keys, as msgspec structs; what a quantity is, which choices there are and what a
name refers to stands in the annotations. It must never check what takes two tables to see (that is `check`).
"""

from __future__ import annotations

import json
from typing import Annotated, Any, Optional, get_args, get_type_hints

import msgspec
from msgspec import Meta

from ashvale.config.base import FORMS, LEVELS
from ashvale.config.units import EXAMPLES, PATTERNS, WORDS


def quantity(kind: str, what: str) -> Meta:
    """A text that is a quantity of this kind."""
    return Meta(description=what, extra={"quantity": kind}, extra_json_schema={"pattern": PATTERNS[kind]})


def refers(to: str, what: str) -> Meta:
    """A text that names a table of this kind."""
    return Meta(description=what, extra={"refers": to})


def choice(what: str, *values: str) -> Meta:
    return Meta(description=what, extra={"choice": values}, extra_json_schema={"enum": list(values)})


def text(what: str, form: str = "") -> Meta:
    return Meta(description=what, extra={"form": form})


def number(what: str, least: float, most: float = 10**9) -> Meta:
    bounds = {"minimum": least, "maximum": most}
    return Meta(description=what, extra={"bounds": (least, most)}, extra_json_schema=bounds)


Time = str
Rate = str
Size = str
Share = str


class Class(msgspec.Struct, forbid_unknown_fields=True):
    """A class of message: how soon it is wanted, and what a repeat of it does."""

    repeat: Annotated[
        str,
        choice(
            "What a message may suffer that may have run: `safe`, it is sent again; `keyed`, within its "
            "window, as the partner drops repeats by key; `never`",
            "safe",
            "keyed",
            "never",
        ),
    ]
    deadline: Annotated[Time, quantity("time", "When it is given up, from its hand-in")]
    aim: Annotated[
        Optional[Time], quantity("time", "Within which it earns its whole worth; the deadline")
    ] = None
    window: Annotated[Optional[Time], quantity("time", "For how long its partner knows its key")] = None
    remember: Annotated[
        Optional[Time], quantity("time", "How long its outcome is kept for a mail client that sends it again")
    ] = None
    worth: Annotated[float, number("What a delivery in time earns", 0.0, 1e9)] = 1.0
    late_worth: Annotated[Share, quantity("share", "Of the worth, at the deadline")] = "0 %"


class Network(msgspec.Struct, forbid_unknown_fields=True):
    """A home network, for which messages are delivered."""

    share: Annotated[Optional[Share], quantity("share", "Of what the fleet can do")] = None
    rate: Annotated[Optional[Rate], quantity("rate", "Messages that count in full, over all couriers")] = None
    senders: Annotated[list[str], text("Patterns of envelope senders that stand for it", "pattern")] = []
    limit: Annotated[Optional[str], refers("limit", "What it may take")] = None


class Endpoint(msgspec.Struct, forbid_unknown_fields=True):
    """One address of a partner."""

    address: Annotated[str, text("Address and port; names are not looked up", "address")]
    protocol: Annotated[str, choice("What it speaks", "smtp", "lmtp", "platform")] = "smtp"
    zone: Annotated[str, text("The building it stands in")] = ""
    weight: Annotated[int, number("Its part among its like", 0, 1000)] = 1


class Partner(msgspec.Struct, forbid_unknown_fields=True):
    """A partner operator: one destination, with its endpoints and its agreed limits."""

    destination: Annotated[Optional[str], text("The platform's number for it; its own name elsewhere")] = None
    kind: Annotated[str, choice("How it counts", "hub", "direct", "small-mvno", "mail")] = "mail"
    rate: Annotated[Optional[Rate], quantity("rate", "Calls that it takes from all couriers together")] = None
    batch: Annotated[int, number("Messages in one call", 1, 1000)] = 1
    connections: Annotated[Optional[int], number("Connections that one endpoint holds", 1, 100000)] = None
    limit: Annotated[Optional[str], refers("limit", "What couriers allow themselves there")] = None
    endpoint: Annotated[dict[str, Endpoint], Meta(description="Its endpoints, by name")] = {}


class Member(msgspec.Struct, forbid_unknown_fields=True):
    """A partner in a pool."""

    partner: Annotated[str, refers("partner", "Who it is")]
    weight: Annotated[int, number("Its part of what its tier gets", 0, 1000)] = 1
    tier: Annotated[int, number("The lower goes first", 1, 16)] = 1


class Pool(msgspec.Struct, forbid_unknown_fields=True):
    """Partners of which any may take a message."""

    member: Annotated[list[Member], Meta(description="The partners, by tier and weight")]
    spill: Annotated[
        list[str],
        choice("When the next tier may take what the one above does not", "full", "shut", "waiting"),
    ] = msgspec.field(default_factory=lambda: ["shut"])
    limit: Annotated[Optional[str], refers("limit", "What all of it may take")] = None


class Limit(msgspec.Struct, forbid_unknown_fields=True):
    """Bounds that partners, pools, networks and routes may share by name."""

    rate: Annotated[Optional[Rate], quantity("rate", "Calls, first tries and others")] = None
    at_once: Annotated[Optional[int], number("Calls out at one time", 1, 1_000_000)] = None
    held: Annotated[Optional[int], number("Messages held", 1, 10_000_000)] = None
    retries: Annotated[Optional[Share], quantity("share", "Further tries, of the first tries")] = None


class Policy(msgspec.Struct, forbid_unknown_fields=True):
    """How messages of a route are tried."""

    attempts: Annotated[int, number("Tries for one message at most", 1, 8)] = 8
    connect_timeout: Annotated[Time, quantity("time", "For a connection to come up")] = "1 s"
    keepalive: Annotated[Time, quantity("time", "An idle connection is kept")] = "5 s"
    longest_wait: Annotated[Time, quantity("time", "The longest wait that a client is told")] = "1 min"


class Route(msgspec.Struct, forbid_unknown_fields=True):
    """Where messages go that meet all of its conditions; the first route that fits counts."""

    name: Annotated[str, text("For reports")]
    to: Annotated[Optional[str], refers("partner or pool", "`partner NAME` or `pool NAME`")] = None
    refuse: Annotated[Optional[Time], quantity("time", "Turn away, to come back after so long")] = None
    classes: Annotated[list[str], refers("class", "Any of these classes")] = []
    networks: Annotated[list[str], refers("network", "Any of these networks")] = []
    destinations: Annotated[list[str], text("Any of these destinations of the platform")] = []
    senders: Annotated[list[str], text("Patterns of envelope senders", "pattern")] = []
    recipients: Annotated[list[str], text("Patterns of envelope recipients", "pattern")] = []
    as_: Annotated[Optional[str], refers("class", "The class of mail that comes through it")] = msgspec.field(
        default=None, name="as"
    )
    hours: Annotated[list[str], text("Times of day, `HH:MM-HH:MM`, in the courier's zone", "hours")] = []
    policy: Annotated[Optional[str], refers("policy", "How it is tried")] = None
    limit: Annotated[Optional[str], refers("limit", "What it may take")] = None


class Listener(msgspec.Struct, forbid_unknown_fields=True):
    """A place where the mail front listens."""

    protocol: Annotated[str, choice("What is spoken there", "smtp", "lmtp")]
    address: Annotated[str, text("Address and port", "address")]
    connections: Annotated[int, number("At most so many at once", 1, 100000)] = 100


class Courier(msgspec.Struct, forbid_unknown_fields=True):
    """The courier itself, and what its machine gives it."""

    hostname: Annotated[str, text("Its name in greetings")] = "ashvale.localdomain"
    mail: Annotated[bool, text("Whether the mail front listens, where listeners are given")] = True
    state: Annotated[str, text("The folder that lasts, where LB_STATE names none")] = ""
    memory: Annotated[Size, quantity("size", "Memory of the process")] = "32 MiB"
    sockets: Annotated[int, number("Descriptors of the process", 16, 1_000_000)] = 1024
    disk: Annotated[Size, quantity("size", "Of the folder that lasts")] = "3 MB"
    slots: Annotated[int, number("Calls out at once", 1, 1_000_000)] = 16
    held: Annotated[int, number("Messages held at once", 1, 10_000_000)] = 500
    message: Annotated[Size, quantity("size", "The largest message")] = "64 KiB"
    recipients: Annotated[int, number("In one transaction of mail", 1, 100000)] = 100
    client_idle: Annotated[Time, quantity("time", "A mail client may be silent for so long")] = "5 min"
    couriers: Annotated[int, number("So many share the partners' limits", 1, 1000)] = 1


class Trace(msgspec.Struct, forbid_unknown_fields=True):
    """Tracing; see docs/traces.md."""

    enabled: Annotated[bool, text("Whether messages are traced")] = False
    folder: Annotated[str, text("Where traces lie; beside the journal where none is named")] = ""
    budget: Annotated[Size, quantity("size", "On disk, for each courier")] = "512 KB"
    age: Annotated[Time, quantity("time", "Traces are kept no longer")] = "72 h"
    share: Annotated[Share, quantity("share", "Of the messages that went well")] = "1 %"
    slowest: Annotated[int, number("Kept besides, of each destination and minute", 0, 1000)] = 2
    details: Annotated[int, number("With all detail, for each destination, cause and minute", 0)] = 20
    live: Annotated[int, number("Messages followed at once", 1)] = 4096
    mail_headers: Annotated[bool, text("Whether messages to mail partners carry Traceparent")] = False


class Log(msgspec.Struct, forbid_unknown_fields=True):
    """The log, on standard error."""

    level: Annotated[str, choice("From which level on; ASHVALE_LOG goes first", *LEVELS)] = "info"
    form: Annotated[str, choice("`logfmt` for key=value lines, `json` for one object a line", *FORMS)] = (
        "logfmt"
    )


class Peer(msgspec.Struct, forbid_unknown_fields=True):
    """A courier of the fleet."""

    name: Annotated[str, text("Its name, used once")]
    address: Annotated[str, text("Where it takes its peers' calls, as `address:port`")]
    votes: Annotated[bool, text("Whether it votes: best at three, five or seven")] = False
    building: Annotated[str, text("Where it stands, for budgets that count by building")] = ""


class Step(msgspec.Struct, forbid_unknown_fields=True):
    """What a release's step runs at this courier: words of a command, no shell."""

    run: Annotated[list[str], text("The command of the step")]
    back: Annotated[list[str], text("The command that undoes it; none: the way back halts here")] = []


class Fleet(msgspec.Struct, forbid_unknown_fields=True):
    """Couriers that agree; without this table they do not talk. See docs/fleet.md."""

    name: Annotated[str, text("The fleet's name; others are refused")]
    peer: Annotated[list[Peer], Meta(description="All couriers of the fleet, this one too")]
    courier: Annotated[str, text("This courier's name among them; its own where none is given")] = ""
    listen: Annotated[str, text("Where it listens, if not at its address among the peers")] = ""
    election: Annotated[Time, quantity("time", "Silence of a leader before another is voted for")] = "1 s"
    beat: Annotated[Time, quantity("time", "How often a leader says that it is there")] = "200 ms"
    drift: Annotated[Share, quantity("share", "How far two clocks may run apart")] = "1 %"
    every: Annotated[Time, quantity("time", "How often one other is asked whether it is there")] = "500 ms"
    suspect: Annotated[Time, quantity("time", "How long one is suspect before it counts as out")] = "3 s"
    follow: Annotated[Time, quantity("time", "How often one that does not vote asks for news")] = "1 s"
    version: Annotated[str, text("What it says of itself to a release that expects a version")] = ""
    step: Annotated[dict[str, Step], Meta(description="Steps of releases, by name")] = {}


class Set(msgspec.Struct, forbid_unknown_fields=True):
    """A whole set of files, read as one."""

    include: Annotated[list[str], text("Further files, by path or pattern, from this file's folder")] = []
    default: Annotated[dict[str, dict[str, Any]], Meta(description="For all entries of a kind")] = {}
    override: Annotated[
        dict[str, dict[str, dict[str, Any]]], Meta(description="Over an entry, by kind and name")
    ] = {}
    let: Annotated[dict[str, Any], Meta(description="Constants, used as `$NAME`")] = {}
    courier: Annotated[Optional[Courier], Meta(description="The courier itself")] = None
    trace: Annotated[Optional[Trace], Meta(description="Tracing")] = None
    log: Annotated[Optional[Log], Meta(description="The log")] = None
    fleet: Annotated[Optional[Fleet], Meta(description="The fleet")] = None
    listen: Annotated[list[Listener], Meta(description="Where the mail front listens")] = []
    class_: Annotated[dict[str, Class], Meta(description="Classes of message, by name")] = msgspec.field(
        default_factory=dict, name="class"
    )
    network: Annotated[dict[str, Network], Meta(description="Home networks, by name")] = {}
    partner: Annotated[dict[str, Partner], Meta(description="Partners, by name")] = {}
    pool: Annotated[dict[str, Pool], Meta(description="Pools, by name")] = {}
    limit: Annotated[dict[str, Limit], Meta(description="Limits, by name")] = {}
    policy: Annotated[dict[str, Policy], Meta(description="Policies, by name")] = {}
    route: Annotated[list[Route], Meta(description="Routes; the first that fits counts")] = []


SINGLE = ("courier", "trace", "log", "fleet")
"""Tables that a set has once."""

NAMED = ("class", "network", "partner", "pool", "limit", "policy")
"""Tables whose entries have names, and which any file of a set may add to."""


def schema() -> dict[str, Any]:
    """JSON Schema (draft 2020-12) of one file, for editors."""
    made = msgspec.json.schema(Set)
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "ashvale configuration",
        **made,
    }


def reference() -> str:
    """All tables and keys, as a page of Markdown."""
    lines = [
        "# Reference of the configuration",
        "",
        "Made by `ashvale config reference` from the declarations; how to use it: configuration.md.",
        "",
    ]
    heads = {
        "class": Class,
        "network": Network,
        "partner": Partner,
        "partner.NAME.endpoint": Endpoint,
        "pool": Pool,
        "pool.NAME.member": Member,
        "limit": Limit,
        "policy": Policy,
    }
    for head, struct in heads.items():
        brackets = f"[[{head}]]" if struct is Member else f"[{head}.NAME]"
        lines += _section(brackets, struct)
    for head, struct in (
        ("[[route]]", Route),
        ("[[listen]]", Listener),
        ("[courier]", Courier),
        ("[trace]", Trace),
        ("[log]", Log),
        ("[fleet]", Fleet),
        ("[[fleet.peer]]", Peer),
        ("[fleet.step.NAME]", Step),
    ):
        lines += _section(head, struct)
    return "\n".join(lines)


def _section(head: str, struct: Any) -> list[str]:
    hints = get_type_hints(struct, include_extras=True)
    lines = [
        f"## `{head}`",
        "",
        " ".join((struct.__doc__ or "").split()),
        "",
        "| key | takes | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for declared in msgspec.structs.fields(struct):
        meta = next(m for m in get_args(hints[declared.name])[1:] if isinstance(m, Meta))
        default = declared.default
        if default is msgspec.NODEFAULT:
            made = declared.default_factory
            default = made() if made is not msgspec.NODEFAULT else None
        told = (
            "required"
            if declared.required
            else f"`{json.dumps(default)}`"
            if default not in (None, [], {}, "")
            else ""
        )
        lines.append(
            f"| `{declared.encode_name}` | {_takes(meta, hints[declared.name])} | {told} | "
            f"{' '.join((meta.description or '').split())} |"
        )
    return [*lines, ""]


def _takes(meta: Meta, hint: Any) -> str:
    extra = meta.extra or {}
    if "quantity" in extra:
        return f"{WORDS[extra['quantity']]}, like `{EXAMPLES[extra['quantity']]}`"
    if "choice" in extra:
        return ", ".join(f"`{value}`" for value in extra["choice"])
    if "bounds" in extra:
        return "a number from {:g} to {:g}".format(*extra["bounds"])
    if "refers" in extra:
        return f"name of a {extra['refers']}"
    return {"address": "address and port", "pattern": "patterns", "hours": "hours"}.get(
        str(extra.get("form")),
        "tables"
        if "dict" in str(hint) or "Member" in str(hint)
        else "true or false"
        if "bool" in str(hint)
        else "text",
    )
