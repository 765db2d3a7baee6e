"""The exchange alone, between a front and a carrier that only take notes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ashvale import interface as api
from ashvale.exchange import Attempt, Command, Endpoint, Exchange, Refusal
from ashvale.interface import Outcome
from ashvale.journal import Entry, Full, Journal
from ashvale.lab.stand_ins import run
from ashvale.loop import Loop, sleep
from tests.samples import KEYED, SAFE

HUB = Endpoint("h", "1", ("127.0.0.1", 1), "hub")


class Notes:
    """Front and carrier in one."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.ends: list[tuple[str, str]] = []
        self.attempts: list[Attempt] = []
        self.started: list[bool] = []

    def ended(self, entry: Entry) -> None:
        self.ends.append((entry.id, entry.state))
        self.exchange.told(entry)

    def keep_ms(self, entry: Entry, state: str, after_ms: float) -> float:
        return 0.0

    def execute(self, attempt: Attempt) -> None:
        begun = self.exchange.begin(attempt)  # as carriers do, right before they write
        self.started.append(begun and all(e.out_since is not None for e in attempt.parts))
        self.attempts.append(attempt)

    def cancel(self, attempt: Attempt) -> None: ...

    def close_idle(self, endpoint: str) -> None: ...

    def halt(self) -> None: ...


@pytest.fixture
def notes(tmp_path: Path) -> Iterator[Notes]:
    loop = Loop()
    settings = api.Settings(
        classes=(SAFE, KEYED), kinds=(api.Kind("hub", per_call=3), api.Kind("mail")), max_open=6, tick_ms=2.0
    )
    exchange = Exchange(loop, settings, 1, Journal(tmp_path, 400_000))
    made = Notes(exchange)
    exchange.fronts["f"], exchange.carriers["platform"], exchange.carriers["mail"] = made, made, made
    yield made
    loop.close()


def take(notes: Notes, id: str, dest: str = "1") -> Any:
    deadline = notes.exchange.loop.now() + 5000.0
    return notes.exchange.take(Command(id, "f", "safe", dest, "", "", deadline, b"x"))


def rest(notes: Notes, ms: float = 20.0) -> None:
    run(notes.exchange.loop, sleep(notes.exchange.loop, ms))


def test_what_leaves_in_one_turn_shares_calls_and_the_journal_knows_first(notes: Notes) -> None:
    notes.exchange.endpoints_known(api.ListKind.FULL, [HUB])
    for number in range(5):
        take(notes, str(number))
    rest(notes)
    assert [len(e.parts) for e in notes.attempts] == [3, 2] and all(notes.started)


def test_an_execution_is_reported_once(notes: Notes) -> None:
    notes.exchange.endpoints_known(api.ListKind.FULL, [HUB])
    entry = take(notes, "a")
    rest(notes)
    for outcome in (Outcome.OK, Outcome.RESET, Outcome.OK):
        notes.exchange.report(notes.attempts[0], entry, outcome)
    rest(notes)
    assert notes.ends == [("a", "delivered")] and len(notes.attempts) == 1 and notes.exchange.idle


def test_an_id_that_is_held_is_taken_once(notes: Notes) -> None:
    assert take(notes, "a") is take(notes, "a")
    assert len(notes.exchange.journal.entries) == 1


def test_a_withdrawal_overtakes_the_turn_that_would_send_it(notes: Notes) -> None:
    entry = take(notes, "a")
    rest(notes)
    notes.exchange.endpoints_known(api.ListKind.FULL, [HUB])  # its turn would send what waits
    notes.exchange.withdraw(entry)
    rest(notes)
    assert not notes.attempts and notes.exchange.idle


def test_one_carriers_whole_list_says_nothing_of_anothers(notes: Notes) -> None:
    """Guards mail's destinations against discovery, whose whole list does not name them."""
    notes.exchange.endpoints_known(
        api.ListKind.DELTA, [Endpoint("m", "partner", ("127.0.0.1", 2), "mail", carrier="mail")]
    )
    for _ in range(3):
        notes.exchange.endpoints_known(api.ListKind.FULL, [HUB])
        rest(notes, 5.0)
    take(notes, "a", "partner")
    rest(notes)
    assert [e.endpoint.name for e in notes.attempts] == ["m"]


def test_instances_that_lists_leave_out_are_forgotten(notes: Notes) -> None:
    for number in range(20):
        notes.exchange.endpoints_known(
            api.ListKind.FULL, [Endpoint(f"i{number}", "1", ("127.0.0.1", 1), "hub")]
        )
        rest(notes, 3.0)
    assert len(notes.exchange.endpoints) <= 2


def test_two_whole_lists_in_one_turn_forget_nothing_that_is_still_named(notes: Notes) -> None:
    """Guards a message against a send to an endpoint that only the Controller still knows."""
    for endpoints in ([HUB], [], [], []):
        notes.exchange.endpoints_known(api.ListKind.FULL, endpoints)
    take(notes, "a")
    rest(notes)
    notes.exchange.endpoints_known(api.ListKind.FULL, [HUB])
    rest(notes)
    assert [e.parts[0].id for e in notes.attempts] == ["a"]


def test_an_instance_that_is_told_to_be_gone_is_forgotten_with_its_connections(notes: Notes) -> None:
    """Guards memory on long days, when new endpoints replace old ones all the time."""
    closed = list[str]()
    notes.close_idle = closed.append  # type: ignore[method-assign]
    for number in range(20):
        told = [
            Endpoint(f"i{number}", "1", ("127.0.0.1", 1), "hub"),
            Endpoint(f"i{number - 1}", "1", ("127.0.0.1", 1), "hub", gone=True),
        ]
        notes.exchange.endpoints_known(api.ListKind.DELTA, told)
        if number == 5:  # one that is back before the Controller has heard that it was gone
            notes.exchange.endpoints_known(api.ListKind.DELTA, [replace(told[1], gone=False)])
        rest(notes, 3.0)
    assert notes.exchange.endpoints.keys() == {"i19", "i4"} and len(closed) == 19


def test_a_fault_over_one_event_leaves_the_others_alone(
    notes: Notes, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = notes.exchange.controller.handle

    def handle(event: api.Event, now: float) -> list[api.Action]:
        if isinstance(event, api.NewMessage) and event.message == 1:
            raise ValueError("odd")
        return real(event, now)

    monkeypatch.setattr(notes.exchange.controller, "handle", handle)
    notes.exchange.endpoints_known(api.ListKind.FULL, [HUB])
    take(notes, "a")
    take(notes, "b")
    rest(notes)
    assert [e.parts[0].id for e in notes.attempts] == ["b"]


def test_an_execution_that_cannot_be_journalled_does_not_begin(
    notes: Notes, monkeypatch: pytest.MonkeyPatch
) -> None:
    def full(*_: object) -> None:
        raise Full("no room")

    monkeypatch.setattr(notes.exchange.journal, "started", full)
    notes.exchange.endpoints_known(api.ListKind.FULL, [HUB])
    take(notes, "a")
    rest(notes)
    assert notes.started == [False] and not notes.attempts[0].begun


def test_the_door_is_shut_when_as_much_is_held_as_may_be(notes: Notes) -> None:
    """All that comes before the module's next turn is counted too."""
    results = [take(notes, str(number)) for number in range(9)]
    assert sum(isinstance(result, Refusal) for result in results) == 3
