"""A page for each mistake that the checker knows, by its code.

It owns the codes, which never change their meaning, and their pages. The corpus of broken sets holds at least
one set for each of them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Code:
    """A mistake's title and page; a warning does not keep a set from being used."""

    title: str
    page: str
    warning: bool = False


CODES = {
    "E0101": Code("not TOML", "The file stops being TOML here. Texts stand in quotes, tables in brackets."),
    "E0102": Code(
        "file cannot be read",
        "The file that the set begins with, or that an `include` names, is not there or may not be read.",
    ),
    "E0103": Code(
        "key defined twice",
        "TOML allows a key once in a table. Two tables of one name are one table "
        "written twice; lists of tables have two brackets.",
    ),
    "E0104": Code("not UTF-8", "Files are UTF-8. An editor has saved this one in another encoding."),
    "E0110": Code(
        "pattern fits no file",
        "An `include` with a pattern found nothing. Name the file, or remove "
        "the pattern: a set that lost its files would otherwise look like a smaller one.",
    ),
    "E0111": Code("files include each other", "An `include` leads back to a file that is being read."),
    "E0112": Code("too many includes", "Includes are at most 8 deep, and a set has at most 1000 files."),
    "E0113": Code(
        "include leaves its folder",
        "An `include` names files in or below the folder of its own "
        "file, so that a set can be copied as a whole.",
    ),
    "E0120": Code("unknown table", "No table has this name. See the reference for all of them."),
    "E0121": Code("unknown key", "The table has no such key. It would silently leave a default in force."),
    "E0122": Code("wrong type", "The value is of another type than the key takes."),
    "E0123": Code("key is missing", "The table cannot do without this key."),
    "E0124": Code("not one of the choices", "The key takes one of a few words."),
    "E0125": Code("out of range", "The number, or the quantity, lies outside of what the key takes."),
    "E0130": Code(
        "no unit", 'A bare number says nothing of its unit: "2" may be meant as 2 s or 2 ms. Write the unit.'
    ),
    "E0131": Code(
        "unknown unit",
        "Times: ms, s, min, h, d. Rates: /s, /min, /h. Sizes: B, KB, MB, GB, KiB, MiB, GiB. Shares: %.",
    ),
    "E0132": Code("unit of another kind", "A time stands where a rate is wanted, or the like."),
    "E0133": Code("no quantity", "The text is no number with a unit."),
    "E0134": Code("quantity out of range", "Quantities are not below nought, and finite."),
    "E0140": Code(
        "defined twice",
        "Two files of the set, or two places of one, define the same thing; both "
        "places are named. Keep one, or write the difference as an `override`.",
    ),
    "E0142": Code(
        "no such constant",
        "`$NAME` stands for a constant under `[let]`. A text that begins with a "
        "dollar sign is written with two.",
    ),
    "E0143": Code("constants refer to each other", "A constant's value leads back to itself."),
    "E0144": Code(
        "override of nothing", "An `override` changes an entry of the set; there is none of this name."
    ),
    "E0145": Code("refers to nothing", "The name is that of no table of the set."),
    "E0146": Code("no target", "A route's `to` is `partner NAME` or `pool NAME`."),
    "E0150": Code(
        "no address",
        'Addresses are numeric, with a port: "192.0.2.7:25" or "[2001:db8::7]:25". '
        "Names would have to be looked up, which a courier does not do.",
    ),
    "E0151": Code(
        "endpoint counted twice",
        "Two endpoints have the same address, perhaps spelt otherwise. What "
        "is one server would be given the load of two.",
    ),
    "E0152": Code("address used twice", "Two listeners have the same address."),
    "E0153": Code("destination used twice", "Two partners stand for the same destination of the platform."),
    "E0154": Code(
        "partner without endpoints", "A partner of kind `mail` has no endpoint: nothing could reach it."
    ),
    "E0155": Code(
        "weights sum to nothing",
        "All endpoints of a partner, or all members of a tier, have weight 0: it would get nothing.",
    ),
    "E0160": Code("pool nobody reaches", "No route leads to this pool.", warning=True),
    "E0161": Code(
        "route is shadowed",
        "An earlier route fits whatever this one fits, so it never counts. Move it up, or remove it.",
    ),
    "E0162": Code("pool without members", "The pool has no member."),
    "E0163": Code(
        "member twice", "A partner stands in a pool twice; write one member with the sum of the weights."
    ),
    "E0164": Code("route leads nowhere", "A route has either `to` or `refuse`."),
    "E0165": Code(
        "route crosses destinations",
        "The route's destinations of the platform are not those of the "
        "partners that it leads to. A message must not be sent to another destination.",
    ),
    "E0166": Code(
        "partner nobody reaches",
        "No route, and no pool that a route leads to, has this partner.",
        warning=True,
    ),
    "E0167": Code("route named twice", "Reports tell routes apart by their names."),
    "E0168": Code("no hours", 'Hours are written "HH:MM-HH:MM" and are not empty; past midnight is allowed.'),
    "E0170": Code(
        "limit above what is taken",
        "The limit lies above the rates that the partners under it have agreed to, so it limits nothing.",
        warning=True,
    ),
    "E0171": Code(
        "window longer than the deadline",
        "A repeat after the deadline is never sent, so a longer "
        "window does nothing. Most likely one of the two is mistaken.",
        warning=True,
    ),
    "E0172": Code(
        "unsafe repeat",
        "A class with a window has messages that count twice if they are delivered "
        'twice later than that: `repeat = "safe"` would send them again at any time. And `keyed` '
        "needs a window.",
    ),
    "E0173": Code("aim after the deadline", "A message is given up before it is late."),
    "E0174": Code(
        "does not fit the memory",
        "What may be held at the largest size is more than the process has memory for.",
    ),
    "E0175": Code(
        "does not fit the descriptors", "Half of the descriptors are for clients, a quarter for calls."
    ),
    "E0176": Code("shares above the whole", "The networks' shares add up to more than 100 %."),
    "E0177": Code("limit above the slots", "The courier never has so many calls out at once.", warning=True),
    "E0178": Code(
        "does not fit the disk",
        "What may be held at the largest size is more than the folder that "
        "lasts has room for; old and new journal must fit together. The door refuses before that.",
        warning=True,
    ),
}
