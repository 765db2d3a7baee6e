"""The judge: whether the rules were kept, from what passed at the edges alone.

It owns the record of those edges (`Edges`) and the rules. It must never look into a courier, and never judge
by the average: a rule that is broken once is broken, and is told with the shortest history that shows it,
which is that of the one message, or of the one partner, concerned. Times are milliseconds on the stand-ins'
clock.
"""

from __future__ import annotations

import hashlib
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Optional

ATTEMPTS = 8
WINDOWS = {"usage-record": 6000.0}  # of a possible effect, by class; no other class has one
DOWN_MS = 1000.0  # for so long nobody is there to tell an end, after a kill
SLACK_MS = 5.0  # a way between two machines, and a tick: calls may be under way in a kill


@dataclass
class Call:
    """An attempt as its endpoint saw it; `end` is unset while it runs."""

    id: str
    endpoint: str
    begin: float
    end: Optional[float] = None
    how: str = ""  # status, `dropped`, or `let go` where the courier closed first
    wait: float = 0.0  # told with it


@dataclass
class Told:
    """What passed for one message between its client and the couriers."""

    cls: str = ""
    until: float = 0.0
    asked: float = 0.0
    answers: list[tuple[float, str]] = field(default_factory=list)  # statuses, "" for none
    notices: list[tuple[float, str]] = field(default_factory=list)


@dataclass(frozen=True)
class Broken:
    """A rule that was broken, when, and what shows it."""

    rule: str
    at: float
    history: tuple[str, ...]

    def __str__(self) -> str:
        return "\n  ".join([f"{self.rule} at {self.at:.0f} ms", *self.history])


class Edges:
    """All that passed, in order."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.told: defaultdict[str, Told] = defaultdict(Told)
        self.kills: list[float] = []
        self.resets: list[float] = []  # when the connections to endpoints were reset
        self.unheard: list[float] = []  # when discovery did not take notices
        self.partners: dict[str, str] = {}  # of endpoints, by name
        self.silences: list[tuple[str, float, float]] = []  # endpoints that were cut off, from when to when
        self._log = hashlib.blake2b(digest_size=16)
        self.on_call: Callable[[int], None] = lambda number: None  # told of each call, counted from 1

    def _note(self, *what: object) -> None:
        self._log.update(repr(what).encode())

    @property
    def digest(self) -> str:
        """The same for two runs in which the same passed at the same times."""
        return self._log.hexdigest()

    def asked(self, at: float, id: str, cls: str, until: float) -> None:
        self._note("asked", at, id, cls)
        told = self.told[id]
        told.cls, told.until, told.asked = cls, until, at

    def answered(self, at: float, id: str, status: str) -> None:
        self._note("answered", at, id, status)
        self.told[id].answers.append((at, status))

    def unanswered(self, at: float, id: str) -> None:
        self._note("unanswered", at, id)
        self.told[id].answers.append((at, ""))

    def noticed(self, at: float, id: str, state: str) -> None:
        self._note("notice", at, id, state)
        self.told[id].notices.append((at, state))

    def untold(self, at: float, id: str) -> None:
        self._note("untold", at, id)
        self.unheard.append(at)

    def called(self, at: float, id: str, endpoint: str) -> int:
        self._note("call", at, id, endpoint)
        self.calls.append(Call(id, endpoint, at))
        self.on_call(len(self.calls))
        return len(self.calls) - 1

    def call_ended(self, at: float, number: int, how: str, wait: float) -> None:
        call = self.calls[number]
        if call.end is None:
            self._note("end", at, number, how, wait)
            call.end, call.how, call.wait = at, how, wait

    def killed(self, at: float) -> None:
        self._note("kill", at)
        self.kills.append(at)

    def reset(self, at: float) -> None:
        self._note("reset", at)
        self.resets.append(at)

    def silenced(self, at: float, endpoint: str) -> None:
        """From now on nothing passes to or from an endpoint, until `heard`."""
        self._note("silenced", at, endpoint)
        self.silences.append((endpoint, at, float("inf")))

    def heard(self, at: float, endpoint: str) -> None:
        self._note("heard", at, endpoint)
        self.silences = [
            (name, start, min(end, at) if name == endpoint else end) for name, start, end in self.silences
        ]

    def deaf(self, call: Call, end: float) -> bool:
        """Whether the endpoint was cut off between a call's begin and that time: neither what it answered
        nor that the courier let go need have been heard."""
        return any(
            name == call.endpoint and start <= end and call.begin <= until
            for name, start, until in self.silences
        )

    def cut(self, start: float, end: float) -> bool:
        """Whether a courier was killed between two times."""
        return any(start <= kill <= end for kill in self.kills)

    def doubtful(self, start: float, end: float) -> bool:
        """Whether connections were reset between two times: an answer that came on one that had carried calls
        before may have been another call's, and a delivered message that may be repeated goes once more."""
        return any(start <= reset <= end for reset in self.resets)


def judge(edges: Edges, over: float) -> list[Broken]:
    """All rules that were broken, the earliest first; `over` is when the run ended."""
    calls: defaultdict[str, list[Call]] = defaultdict(list)
    for call in edges.calls:
        calls[call.id].append(call)
    found = [
        broken for id, told in edges.told.items() for broken in _message(edges, id, told, calls[id], over)
    ]
    found += _waits(edges)
    return sorted(found, key=lambda broken: (broken.at, broken.rule))


def _history(edges: Edges, told: Told, calls: list[Call]) -> tuple[str, ...]:
    lines = [(told.asked, f"asked, {told.cls}, until {told.until:.0f}")]
    lines += [(at, f"answered {status or 'nothing'}") for at, status in told.answers]
    lines += [(at, f"notice {state}") for at, state in told.notices]
    for call in calls:
        lines.append((call.begin, f"call at {call.endpoint}"))
        if call.end is not None:
            lines.append((call.end, f"call at {call.endpoint} ends: {call.how}"))
    lines += [(at, "courier killed") for at in edges.kills]
    lines += [(at, "connections to endpoints reset") for at in edges.resets]
    return tuple(f"{at:10.1f}  {what}" for at, what in sorted(lines))


def _message(edges: Edges, id: str, told: Told, calls: list[Call], over: float) -> Iterator[Broken]:
    history = _history(edges, told, calls)

    def broken(rule: str, at: float) -> Broken:
        return Broken(f"{rule}: {id}", at, history)

    taken = [at for at, status in told.answers if status == "202"]
    good = [call for call in calls if call.how == "200" and call.end is not None]
    ends = [call.end or 0.0 for call in good] + [at for at, _ in told.notices]
    if taken and not ends and over > told.until:
        yield broken("no end", told.until)
    unheard = any(told.asked <= at <= min(ends) for at in edges.unheard) if ends else False
    down = edges.cut(told.until - DOWN_MS, told.until)
    if ends and min(ends) > told.until + SLACK_MS and not (unheard or down):
        yield broken("end too late", min(ends))
    states = {state for _, state in told.notices}
    if len(states) > 1:
        yield broken("two ends", told.notices[-1][0])
    refused = [at for at, status in told.answers if status[:1] in ("4", "5")]
    if refused and not taken and calls and not any(not status for _, status in told.answers):
        yield broken("refused and sent all the same", calls[0].begin)
    for call in good:  # a kill between may have hidden the delivery from the courier
        for at, _ in told.notices:
            if (
                at > call.begin
                and not edges.cut(call.begin - SLACK_MS, at)
                and not edges.deaf(call, call.end or at)
                and not edges.doubtful(call.end or at, at)
            ):
                yield broken("delivered, and a notice as well", at)
    for one, other in zip(calls, calls[1:], strict=False):
        cut = edges.cut(one.begin - SLACK_MS, other.begin) or edges.deaf(one, other.begin)
        if (one.end is None or one.end > other.begin + SLACK_MS) and not cut:
            yield broken("two attempts at once", other.begin)
        delivered = one.how == "200" and one.end is not None and one.end < other.begin
        if delivered and not (cut or edges.doubtful(one.end or 0.0, other.begin)):
            yield broken("sent again after it was delivered", other.begin)
    if len(calls) > ATTEMPTS:
        yield broken("more attempts than allowed", calls[ATTEMPTS].begin)
    if (window := WINDOWS.get(told.cls)) is not None:
        ran = next((call for call in calls if not call.how.startswith(("4", "5"))), None)
        end = ran.begin + window + SLACK_MS if ran is not None else 0.0
        if ran is not None and (late := [call.begin for call in calls if call.begin > end]):
            yield broken("sent again past its window", late[0])


def _waits(edges: Edges) -> Iterator[Broken]:
    """Nothing new to a partner within a wait that it told, unless the courier was killed since."""
    until: dict[str, tuple[float, float, str]] = {}
    steps: list[tuple[float, int, Call]] = [(call.begin, 1, call) for call in edges.calls]
    steps += [(call.end, 0, call) for call in edges.calls if call.end is not None and call.wait > 0]
    for at, begins, call in sorted(steps, key=lambda step: (step[0], step[1])):
        partner = edges.partners.get(call.endpoint, call.endpoint)
        told, end, by = until.get(partner, (0.0, 0.0, ""))
        if not begins and not edges.deaf(call, at):
            until[partner] = max((told, end, by), (at, at + call.wait, call.endpoint), key=lambda x: x[1])
        elif begins and told + SLACK_MS < at < end - SLACK_MS and not edges.cut(told, at):
            yield Broken(
                f"sent within a told wait: {partner}",
                at,
                (f"{told:10.1f}  {by} tells to wait until {end:.0f}", f"{at:10.1f}  call of {call.id}"),
            )
