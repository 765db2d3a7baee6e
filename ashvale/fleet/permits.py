"""Who may go out of service, as rules without I/O: budgets, permits, the queue for them, bans of endpoints.

It owns what a budget allows and why not. It must never look at a clock or at who is there: the leader says in
each command whom it counts as out, and a courier that cannot be confirmed counts as out. Nothing here ends by
time: a permit ends by its holder's own word that it is back, a ban by an operator's or by the end that it was
given.
"""

from __future__ import annotations

from typing import Optional

import msgspec

PERMITS_MOST, QUEUE_MOST, BANS_MOST = 1024, 512, 1024
REASON_MOST = 400  # characters of a reason or a name
AGAIN_MS = 5000.0  # when to come back, where nothing better is known
KINDS = ("drain", "restart", "release")


class Budget(msgspec.Struct, frozen=True):
    """What the operators declared. A limit is a count ("2") or a share ("10 %", rounded down).

    `out` and `out_building` are the most couriers out at once, in all and of one building; `left` and
    `left_building` the fewest endpoints of a partner that stay in service, in all and in one building.
    `apart_ms` is the least time between two grants, `warm_ms` how long a courier has to be ready until it
    counts as back. `quiet` are spans of the day (UTC, "22:00-06:00") in which nothing is granted.
    """

    out: str = "1"
    out_building: str = ""
    left: str = "1"
    left_building: str = ""
    apart_ms: float = 0.0
    warm_ms: float = 0.0
    quiet: tuple[str, ...] = ()


class Permit(msgspec.Struct, frozen=True):
    """A courier may be out. `number` is its place in the record, and fences what was said before it.

    `life` is the holder's incarnation where it was granted; `back` says that an operator called it back.
    `despite` is the reason for which a budget was set aside.
    """

    number: int
    kind: str
    who: str
    why: str
    building: str = ""
    life: int = 0
    back: bool = False
    despite: str = ""


class Waiting(msgspec.Struct, frozen=True):
    """A courier's place in the queue."""

    courier: str
    kind: str
    who: str
    why: str
    number: int


class Ban(msgspec.Struct, frozen=True):
    """An endpoint gets nothing new from any courier. `ends_ms` counts from its decision; 0 for no end."""

    number: int
    partner: str
    building: str
    who: str
    why: str
    ends_ms: float = 0.0
    despite: str = ""


class No(msgspec.Struct, frozen=True):
    """Why not, and when to ask again."""

    why: str
    after_ms: float = AGAIN_MS


def limit(text: str, size: int) -> int:
    """How many of `size` a limit comes to. Raises `ValueError`."""
    text = text.strip()
    if text.endswith("%"):
        share = float(text[:-1])
        if not 0.0 <= share <= 100.0:
            raise ValueError(f"'{text}' is no share from 0 to 100 %")
        return int(share * size / 100.0 + 1e-9)
    if not text.isdigit() or len(text) > 6:
        raise ValueError(f"'{text}' is no count and no share such as '10 %'")
    return int(text)


def minutes(span: str) -> tuple[int, int]:
    """A span of the day as minutes. Raises `ValueError`."""
    found = []
    for text in span.split("-"):
        hour, _, minute = text.strip().partition(":")
        if not (hour.isdigit() and minute.isdigit() and int(hour) <= 24 and int(minute) < 60):
            raise ValueError(f"'{span}' is no span such as '22:00-06:00'")
        found.append(int(hour) * 60 + int(minute))
    if len(found) != 2 or found[0] == found[1] or max(found) > 1440:
        raise ValueError(f"'{span}' is no span such as '22:00-06:00'")
    return found[0], found[1]


def faults(budget: Budget, size: int) -> list[str]:
    """What makes a budget unusable for a fleet of `size`, each by its key; nothing where it can be kept."""
    found = []
    for key in ("out", "out_building", "left", "left_building"):
        text = str(getattr(budget, key))
        if not text and key.endswith("_building"):
            continue
        try:
            count = limit(text, size)
        except ValueError as error:
            found.append(f"'{key}': {error}")
            continue
        if key.startswith("out") and count < 1:
            found.append(f"'{key}': '{text}' of {size} couriers is none: nobody could ever go")
        if key == "out" and count >= size > 1:
            found.append(f"'{key}': '{text}' lets all {size} couriers go at once")
    for key in ("apart_ms", "warm_ms"):
        if not 0.0 <= getattr(budget, key) <= 86_400_000.0:
            found.append(f"'{key}': {getattr(budget, key):g} is not from nought to a day")
    if len(budget.quiet) > 16:
        found.append("'quiet': more than 16 spans")
    covered = set[int]()
    for span in budget.quiet[:16]:
        try:
            start, end = minutes(span)
        except ValueError as error:
            found.append(f"'quiet': {error}")
        else:
            covered |= {minute % 1440 for minute in range(start, end if end > start else end + 1440)}
    if len(covered) >= 1440:
        found.append("'quiet': leaves no minute of the day")
    return found


def quiet(budget: Budget, minute: int) -> float:
    """Milliseconds of quiet hours that are left at this minute of the day (UTC); a minute below 0: none."""
    left = 0
    for span in budget.quiet if minute >= 0 else ():
        start, end = minutes(span)
        if (minute - start) % 1440 < (end - start) % 1440:
            left = max(left, (end - minute) % 1440)
    return left * 60_000.0


def may_go(
    budget: Budget,
    permits: dict[str, Permit],
    queue: list[Waiting],
    courier: str,
    building: str,
    out: dict[str, str],
    size: int,
    size_building: int,
    minute: int,
    apart_left: float,
) -> Optional[No]:
    """Whether a courier may go now; None where it may.

    `out` are couriers, by name with their building, that the leader counts as out for whatever reason.
    """
    ahead = [w.courier for w in queue[: next((n for n, w in enumerate(queue) if w.courier == courier), None)]]
    if ahead:
        return No(f"{len(ahead)} wait before it: {', '.join(ahead[:3])}")
    gone = out | {name: permit.building for name, permit in permits.items()}
    gone.pop(courier, None)
    if len(gone) >= limit(budget.out, size):
        return No(f"{len(gone)} of {size} are out already ({_names(gone)}); at once {budget.out} may be")
    if budget.out_building and building:
        near = {name: "" for name, where in gone.items() if where == building}
        if len(near) >= limit(budget.out_building, size_building):
            return No(
                f"{len(near)} of {size_building} in {building} are out already ({_names(near)}); "
                f"at once {budget.out_building} may be"
            )
    if left := quiet(budget, minute):
        return No("quiet hours", left)
    if apart_left > 0.0:
        return No("too soon after the one before", apart_left)
    return None


def may_ban(
    budget: Budget,
    bans: dict[str, Ban],
    endpoint: str,
    building: str,
    listed: dict[str, str],
    ready: dict[str, str],
) -> Optional[No]:
    """Whether an endpoint may be banned; None where it may.

    `listed` are all endpoints of its partner by name with their building, `ready` those that serve.
    """
    left = {name: where for name, where in ready.items() if name not in bans and name != endpoint}
    if len(left) < (least := limit(budget.left, len(listed))):
        return No(f"{len(left)} of {len(listed)} endpoints of its partner would be left; {least} have to be")
    if budget.left_building and building:
        near = [name for name, where in left.items() if where == building]
        size = sum(where == building for where in listed.values())
        if len(near) < (least := limit(budget.left_building, size)):
            return No(
                f"{len(near)} of {size} endpoints of its partner in {building} would be left; "
                f"{least} have to be"
            )
    return None


def _names(names: dict[str, str]) -> str:
    shown = sorted(names)
    return ", ".join(shown[:4]) + (f" and {len(shown) - 4} more" if len(shown) > 4 else "")
