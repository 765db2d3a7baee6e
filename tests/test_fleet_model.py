"""The protocol of votes, leases and permits as small models, for a checker that walks through all states.

Each step names the code it stands for; each planted mistake has to be found. What the models leave out (times
of elections, the log, the network's order) the laboratory plays on the code itself.
"""

from __future__ import annotations

from typing import Any

import pytest
from minicheck import Protocol, check_safety

VOTERS, TERMS = 3, 2
TTL, END = 3, 11


def put(state: tuple[int, ...], at: int, value: int) -> tuple[int, ...]:
    return (*state[:at], value, *state[at + 1 :])


def votes(mistake: str) -> Protocol:
    """Terms and votes of three voters, and who has led in each term.

    Fields: term and vote of each (0: none), then a leader's number for each term (0: none, 9: two of them).
    """

    def steps(s: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        found = []
        for i in range(VOTERS):
            term, vote = s[2 * i], s[2 * i + 1]
            if term < TERMS:  # Record._count, after the vote before the vote
                found.append((f"{i} asks", put(put(s, 2 * i, term + 1), 2 * i + 1, i + 1)))
            for j in range(VOTERS):  # Record._asked_to_vote
                if j == i or s[2 * j] == 0 or s[2 * j + 1] != j + 1 or s[2 * j] < term:
                    continue
                if s[2 * j] > term or vote in (0, j + 1) or mistake == "votes twice":
                    found.append((f"{i} votes for {j}", put(put(s, 2 * i, s[2 * j]), 2 * i + 1, j + 1)))
            if mistake == "vote not saved":  # Store.plan without HARD: a restart forgets it
                found.append((f"{i} begins again", put(s, 2 * i + 1, 0)))
            if mistake == "folder lost and votes":  # Agent._unconfirmed ignored
                found.append((f"{i} loses its folder", put(put(s, 2 * i, 0), 2 * i + 1, 0)))
            if term and vote == i + 1:  # Record._lead
                mine = sum(s[2 * k] == term and s[2 * k + 1] == i + 1 for k in range(VOTERS))
                at = 2 * VOTERS + term - 1
                if mine >= (1 if mistake == "no majority" else 2):
                    found.append((f"{i} leads", put(s, at, i + 1 if s[at] in (0, i + 1) else 9)))
        return found

    names = tuple(f"{what}{i}" for i in range(VOTERS) for what in ("term", "vote")) + ("first", "second")
    return Protocol(
        name="votes",
        candidate=False,
        fields=names,
        initial=(0,) * len(names),
        transitions=steps,
        invariants={"one leader a term": lambda d: d["first"] != 9 and d["second"] != 9},
    )


def leases(mistake: str) -> Protocol:
    """One lease, its holder and another who wants it, under a leader that may change; time runs in steps.

    Fields: now; until when the holder may use it; when its request under way was sent and, once a leader has
    renewed it, its answer (-1: none); what the leader knows: renewed at, led since; until when the other may.
    """

    def steps(s: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        now, until, asked, answer, renewed, led, other = s
        found = []
        if now < END:
            found.append(("time", put(s, 0, now + 1)))
        if asked < 0 and answer < 0 and now < until:  # Agent._renew
            found.append(("ask", put(s, 2, now)))
        if asked >= 0 and other == 0:  # Agent._renew_for, by whoever surely leads
            found.append(("renew", put(put(put(s, 2, -1), 3, asked), 4, now)))
        if answer >= 0:  # Agent._renewed
            base = now if mistake == "counts from the answer" else answer
            found.append(("answer", put(put(s, 3, -1), 1, max(until, base + TTL))))
        if led < 4:  # another leads, and knows of no renewal before it: Record._lead
            found.append(("another leads", put(put(s, 4, 0), 5, now)))
        since = {"forgets the change of leader": renewed, "gives away at once": -TTL - 1}.get(
            mistake, max(renewed, led)
        )
        if other == 0 and now - since > TTL:  # Agent._lapsed, then State._carry_out
            found.append(("given to the other", put(s, 6, now + TTL)))
        if mistake == "used after release" and other == 0:  # Agent.request for Release
            found.append(("released, given", put(s, 6, now + TTL)))
        return found

    return Protocol(
        name="leases",
        candidate=False,
        fields=("now", "until", "asked", "answer", "renewed", "led", "other"),
        initial=(0, TTL, -1, -1, 0, 0, 0),
        transitions=steps,
        invariants={"one holder": lambda d: not (d["now"] < d["until"] and d["now"] < d["other"])},
    )


def permits(mistake: str) -> Protocol:
    """Two couriers, of which one may be out at once; the record, what each knows of it, words under way.

    Fields of each: the permit's number in the record, the number by which it is out, the latest that it came
    back from, and its word of that, which may come late and twice. Then the next number.
    """

    def steps(s: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        found, number = [], s[8]
        for i in range(2):
            at = 4 * i
            permit, out, back, word = s[at : at + 4]
            if number < 5 and (permit or not s[4 - at]):  # State._ask, as the record stands
                found.append((f"{i} granted", put(put(s, at, number), 8, number + 1)))
            found.append((f"{i} learns", put(s, at + 1, permit if permit > back else 0)))  # Agent.out
            if out:  # Agent.come_back, saved first
                found.append((f"{i} comes back", put(put(s, at + 1, 0), at + 2, out)))
            if permit and (permit == back or mistake == "a restart ends it"):  # Agent._serve_again
                found.append((f"{i} says so", put(s, at + 3, permit)))
            if word and (permit == word or mistake == "any word ends it"):  # State._permit
                found.append((f"{i} is seen back", put(s, at, 0)))
            if permit and mistake == "ends by time":
                found.append((f"{i} lapses", put(s, at, 0)))
            if not permit and mistake == "a minority grants":
                found.append((f"{i} goes", put(s, at + 1, 9)))
        return found

    names = tuple(f"{what}{i}" for i in range(2) for what in ("permit", "out", "back", "word"))
    return Protocol(
        name="permits",
        candidate=False,
        fields=(*names, "next"),
        initial=(0,) * 8 + (1,),
        transitions=steps,
        invariants={"one out": lambda d: not (d["out0"] and d["out1"])},
    )


def holds(model: Protocol) -> tuple[bool, Any]:
    found = check_safety(model, max_states=500_000)["properties"]
    (told,) = found.values()
    return told["holds"], told.get("counterexample")


@pytest.mark.parametrize("model", [votes, leases, permits])
def test_the_protocol_holds_in_every_state(model: Any) -> None:
    assert holds(model(""))[0]


@pytest.mark.parametrize(
    ("model", "mistake"),
    [
        (votes, "votes twice"),
        (votes, "vote not saved"),
        (votes, "folder lost and votes"),
        (votes, "no majority"),
        (leases, "counts from the answer"),
        (leases, "forgets the change of leader"),
        (leases, "gives away at once"),
        (leases, "used after release"),
        (permits, "ends by time"),
        (permits, "a restart ends it"),
        (permits, "any word ends it"),
        (permits, "a minority grants"),
    ],
)
def test_a_planted_mistake_has_a_shortest_way_to_it(model: Any, mistake: str) -> None:
    ok, way = holds(model(mistake))
    assert not ok and len(way) >= 2
