"""The fleet in virtual time: agreement and leases under faults, and planted mistakes that the judge finds."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from ashvale import config
from ashvale.fleet import agent as agents
from ashvale.fleet.agent import Agent, Kept, Setup
from ashvale.fleet.members import Members, Rhythm, Status, View
from ashvale.fleet.messages import Ack, Envelope, Ping, Stale
from ashvale.fleet.record import (
    Append,
    Appended,
    Entry,
    Out,
    Record,
    Refused,
    Saved,
    Snapshot,
    Timing,
    Vote,
    Voted,
)
from ashvale.fleet.state import Acquire, Put, Release, State, Unknown, encode
from ashvale.fleet.store import HARD, Spoilt, Store, frame
from ashvale.lab.fleet import World, play
from tests.stage import scene


@pytest.mark.parametrize(("voters", "followers", "seeds"), [(3, 0, 60), (5, 0, 25), (3, 5, 12)])
def test_a_fleet_under_faults_agrees_and_comes_to_rest(voters: int, followers: int, seeds: int) -> None:
    for seed in range(seeds):
        verdict = play(seed, voters, followers)
        assert not verdict.broken, verdict.broken
        assert verdict.counts["done"] > 10


def test_a_fleet_of_one_voter_decides_alone() -> None:
    for seed in range(6):
        assert not play(seed, 1, 2, kinds=("kill", "stop", "drop", "torn")).broken


def test_two_runs_of_one_seed_are_the_same() -> None:
    assert play(7, 3, 2) == play(7, 3, 2) != play(8, 3, 2)


def test_forty_couriers_follow_and_cost_little_when_idle() -> None:
    world = World(1, 5, 35, faults=0, span=10_000.0)
    verdict = world.play()
    assert not verdict.broken and verdict.counts["messages"] / (verdict.now / 1000.0) / 40 < 20.0


def test_a_slow_follower_gets_what_the_entries_came_to(monkeypatch: pytest.MonkeyPatch) -> None:
    """Compaction under a follower that is behind: it is handed the snapshot."""
    monkeypatch.setattr(agents, "COMPACT_AT", 6)
    for seed in range(25):
        verdict = play(seed, 3, 1)
        assert not verdict.broken, verdict.broken


# Planted mistakes


def votes_twice(
    self: Record, sender: str, m: Vote, now: float, out: Out, real: Any = Record._asked_to_vote
) -> None:
    if not m.pre and m.term >= self.term:
        self.vote = ""
    real(self, sender, m, now, out)


def takes_what_does_not_fit(self: Record, m: Append, out: Out, real: Any = Record._merge) -> Any:
    return real(
        self, Append(m.term, m.prev_index, self.term_at(m.prev_index) or 0, m.entries, m.commit, m.sent), out
    )


MUTANTS: dict[str, tuple[str, Callable[[pytest.MonkeyPatch], None]]] = {
    "two votes in a term": ("two leaders", lambda m: m.setattr(Record, "_asked_to_vote", votes_twice)),
    "decided by one": ("", lambda m: m.setattr("ashvale.fleet.record.majority", lambda voters: 1)),
    "lease given away at once": (
        "lease held twice",
        lambda m: m.setattr(
            Agent,
            "_lapsed",
            lambda self, lease, now: self.state.leases[lease].number if lease in self.state.leases else 0,
        ),
    ),
    "lease over a new leader": (
        "lease held twice",
        lambda m: m.setattr(
            Agent,
            "_lapsed",
            lambda self, lease, now: (
                h.number
                if (h := self.state.leases.get(lease)) is not None
                and now - self.renewed.get(lease, 0.0) > h.ttl
                else 0
            ),
        ),
    ),
    "a lost voter votes": (
        "leads though its folder was lost",
        lambda m: m.setattr(Agent, "_unconfirmed", lambda self: not self.record.may_vote),
    ),
    "told before it is decided": (
        "",
        lambda m: m.setattr(Record, "_advance", lambda self, out: self._decide(self.last, out)),
    ),
    "a log that does not fit": ("", lambda m: m.setattr(Record, "_merge", takes_what_does_not_fit)),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_a_planted_mistake_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    rule, plant = MUTANTS[name]
    plant(monkeypatch)
    found = list[str]()
    for seed in range(400):
        try:
            found += play(seed, 3 if seed % 2 else 5, faults=14).broken
        except AssertionError as error:  # the record's own
            found.append(str(error))
        if any(rule in one for one in found):
            return
    raise AssertionError(f"not found: {rule}; {found[:3]}")


# The parts


def record(term: int = 0, entries: tuple[Entry, ...] = (), now: float = 0.0) -> Record:
    saved = Saved(term, "", Snapshot(voters=("a", "b", "c")), list(entries))
    return Record("a", saved, Timing(), Random(1), now)


def test_who_hears_a_leader_votes_for_nobody_else_and_takes_up_no_term() -> None:
    one = record()
    one.may_vote = True
    for now, granted in ((500.0, False), (1500.0, True)):
        ((_, answer),) = one.handle("b", Vote(5, 0, 0, False), now).messages
        assert (answer.granted, one.term) == (granted, 5 if granted else 0)  # type: ignore[union-attr]
    ((_, answer),) = one.handle("c", Vote(5, 9, 4, False), 3000.0).messages
    assert not answer.granted  # type: ignore[union-attr]  # its vote of this term is given


def test_a_voter_that_nobody_has_confirmed_neither_asks_nor_votes() -> None:
    one = record()
    ((_, answer),) = one.handle("b", Vote(5, 0, 0, False), 5000.0).messages
    assert not answer.granted and not one.tick(99_000.0).messages  # type: ignore[union-attr]


def test_a_leader_without_a_majority_steps_down_and_refuses() -> None:
    one = record()
    one.may_vote = True
    one.tick(5000.0)
    one.handle("b", Voted(0, 1, True, True), 5001.0)
    one.handle("b", Voted(1, 1, True, False), 5002.0)
    assert one.role.value == "leader" and one.propose(b"x", 5003.0)
    assert one.leads_until(5003.0) == 0.0  # nothing of its term is decided yet
    one.tick(6500.0)
    assert one.role.value == "follower"
    with pytest.raises(Refused):
        one.propose(b"x", 6501.0)


def test_voters_change_one_at_a_time() -> None:
    one = record()
    one.may_vote = True
    one.tick(5000.0)
    one.handle("b", Voted(0, 1, True, True), 5001.0)
    one.handle("b", Voted(1, 1, True, False), 5002.0)
    with pytest.raises(Refused, match="this term"):
        one.change(["a", "b"], 5003.0)
    one.handle("b", Appended(1, True, 1, 5002.0), 5004.0)
    for wanted in (["a", "b", "c"], ["a", "d", "e"], []):
        with pytest.raises(Refused, match="one at a time"):
            one.change(wanted, 5005.0)
    one.change(["a", "b"], 5006.0)
    with pytest.raises(Refused, match="under way"):
        one.change(["a"], 5007.0)


def test_commands_have_one_effect_and_leases_one_holder() -> None:
    state = State()
    told = [
        state.apply(n, encode(command))[1]
        for n, command in enumerate(
            [
                Acquire("1", "l", "a", 100.0),
                Acquire("2", "l", "b", 100.0),
                Acquire("1", "l", "a", 100.0),
                Release("3", "l", "b", 1),
                Acquire("4", "l", "b", 100.0, over=1),
                Release("5", "l", "b", 5),
                Put("6", "k", "x", 0),
                Put("7", "k", "y", 0),
                Put("8", "k", "y", 7),
                Put("9", "k", "", 9),
            ],
            1,
        )
    ]
    assert [r.ok for r in told] == [True, False, True, False, True, True, True, False, True, True]
    assert told[2].number == 1 and not state.leases and not state.keys
    assert State(state.pack()).pack() == state.pack() and state.applied == 10
    with pytest.raises(Unknown):
        state.apply(11, b'{"type":"later"}')


def test_suspicion_spreads_is_refuted_and_silence_is_out_until_one_speaks_for_itself() -> None:
    def members(name: str) -> Members:
        peers = tuple(n for n in ("a", "b", "c") if n != name)
        made = Members(name, 1, peers, Rhythm(), Random(1), 0.0)
        made.serving()
        return made

    a, b, c = members("a"), members("b"), members("c")
    for one in (a, b):
        one.heard(c.own, 0.0)
    now = 0.0
    while a.status("c") is not Status.SUSPECT:
        now = max(now + 1.0, a.due)
        a.tick(now)
        a.heard(b.own, now)
    b.told([a.members["c"].view], "a", now)
    assert b.status("c") is Status.SUSPECT
    c.told([a.members["c"].view], "a", now)
    b.told([c.own], "a", now)
    assert b.status("c") is Status.SERVING  # it said louder that it is there
    a.tick(now + 99_000.0)
    assert a.status("c") is Status.OUT
    a.told([View("c", 1, c.own.beat, Status.SUSPECT)], "b", now)
    assert a.status("c") is not Status.SERVING
    a.heard(c.own, now + 99_001.0)
    assert a.status("c") is Status.SERVING


def test_two_processes_of_one_name_are_told_apart() -> None:
    """Guards against a mistake in the files: the second one is not heard, and keeps aside."""
    setup = Setup("f", "a", ("b", "c"), ("a", "b", "c"))
    one = Agent(setup, Saved(), Kept(), "life 1", Random(1), 0.0)
    sends = one.receive(Envelope("b", 1, "life 2", False, (), Ping()), 10.0).sends
    assert any(isinstance(body, Ack) for _, body in sends)
    ((peer, body),) = one.receive(Envelope("b", 1, "life 3", False, (), Ping()), 20.0).sends
    assert peer == "b" and isinstance(body, Stale)
    one.receive(Envelope("c", 1, "life 4", False, (), Stale(1, "other", 50.0)), 30.0)
    assert one.aside_until and not one.record.may_vote and not one.tick(40.0).sends


# The folder


def filled(folder: Path) -> bytes:
    """A folder with two steps of work in it; its file's bytes."""
    store = Store(folder, "f", "a")
    setup = Setup("f", "a", (), ("a",))
    one = Agent(setup, store.saved, store.kept, "life", Random(1), 0.0)
    while one.record.role.value != "leader":
        store.write(*store.plan(one, one.tick(one.due)))
    store.write(*store.plan(one, one.request(Put("1", "k", "v"), one.due)))
    assert one.state.keys["k"].data == "v"
    store.close()
    return (folder / "record").read_bytes()


def test_a_folder_cut_at_any_byte_holds_what_was_whole_and_goes_on(tmp_path: Path) -> None:
    whole = filled(tmp_path)
    terms, lasts = set[int](), set[int]()
    for cut in range(len(whole) + 1):
        (tmp_path / "record").write_bytes(whole[:cut])
        store = Store(tmp_path, "f", "a")
        terms.add(store.saved.term)
        lasts.add(store.saved.entries[-1].index if store.saved.entries else 0)
        store.write(frame(HARD, (9, "b")), False)
        store.close()
        again = Store(tmp_path, "f", "a")
        assert (again.saved.term, again.saved.vote) == (9, "b")
        again.close()
    assert terms == {0, 1} and lasts == {0, 1, 2}


def test_a_folder_spoilt_foreign_newer_or_copied_is_refused_or_known_for_it(tmp_path: Path) -> None:
    whole = filled(tmp_path)
    path = tmp_path / "record"
    refused = 0
    for at in range(0, len(whole) - 40, 7):
        spoilt = bytearray(whole)
        spoilt[at] ^= 1
        path.write_bytes(bytes(spoilt))
        try:
            store = Store(tmp_path, "f", "a")
        except Spoilt as error:
            assert "record" in str(error)
            refused += 1
            assert path.read_bytes() == bytes(spoilt)  # nothing is written over it
        else:
            store.close()
    assert refused > 10
    path.write_bytes(whole)
    for fleet, name in (("g", "a"), ("f", "b")):
        with pytest.raises(Spoilt, match="name the right folder"):
            Store(tmp_path, fleet, name)
    path.write_bytes(frame(1, (9, "f", "a", "")))
    with pytest.raises(Spoilt, match="newer version"):
        Store(tmp_path, "f", "a")
    path.unlink()
    copy = tmp_path / "copy"
    copy.write_bytes(whole)
    copy.rename(path)
    store = Store(tmp_path, "f", "a")
    assert store.copied and store.kept.lost and store.saved.entries
    with pytest.raises(BlockingIOError):
        Store(tmp_path, "f", "a")  # another process, as far as it can tell
    store.close()
    store = Store(tmp_path, "f", "a")
    assert not store.copied and store.kept.lost  # until the fleet has taken it in again
    store.close()


def test_a_sync_that_failed_is_not_tried_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    filled(tmp_path)
    store = Store(tmp_path, "f", "a")
    with monkeypatch.context() as patch:
        patch.setattr("ashvale.fleet.store.os.fsync", lambda _file: (_ for _ in ()).throw(OSError(5, "lost")))
        with pytest.raises(OSError, match="lost"):
            store.write(frame(HARD, (7, "")), False)
    with pytest.raises(OSError, match="lost"):
        store.write(frame(HARD, (8, "")), False)
    store.close()


# The file

PEERS = "".join(
    f'[[fleet.peer]]\nname = "{n}"\naddress = "127.0.0.1:70{i}"\nvotes = true\n'
    for i, n in enumerate(("n0", "b", "c"), 10)
)
HEAD = '[fleet]\nname = "west"\n'


@pytest.mark.parametrize(
    ("text", "told"),
    [
        (HEAD + PEERS.replace('"c"', '"b"'), "peer 3: key 'name'"),
        (HEAD + PEERS.replace("7012", "7011"), "peer 3: key 'address' is that of 'b'"),
        (HEAD + PEERS.replace("votes = true", "votes = false"), "no majority is possible"),
        (HEAD + PEERS.replace('"n0"', '"d"'), "key 'courier' is 'n0', which no peer is called"),
        (HEAD + 'listen = "127.0.0.1:4321"\n' + PEERS, "key 'listen' is the address of listen already"),
        (HEAD + 'election = "300 ms"\n' + PEERS, "key 'election' is below 3 times 'beat'"),
        (HEAD + 'suspect = "600 ms"\n' + PEERS, "key 'suspect' is below 2 times 'every'"),
        (HEAD + 'drift = "50 %"\n' + PEERS, "key 'drift' is above"),
        (HEAD + "quorum = 2\n" + PEERS, "unknown key 'quorum'"),
        (HEAD + PEERS.replace("127.0.0.1:7012", "nowhere"), "peer 3: key 'address'"),
        (PEERS, "key 'name' is missing"),
    ],
)
def test_a_fleet_that_contradicts_itself_is_refused_by_name(tmp_path: Path, text: str, told: str) -> None:
    with scene() as s:
        file = tmp_path / "own.toml"
        file.write_text(text)
        s.environ = {"ASHVALE_SETTINGS": str(file), "LB_LISTEN": "127.0.0.1:4321"}
        s.endpoint()
        with pytest.raises(config.ConfigError) as error:
            s.start()
        assert told in str(error.value) and "fleet" in str(error.value)


def test_without_a_fleet_nothing_of_it_is_loaded() -> None:
    code = (
        "import sys, ashvale.__main__, ashvale.courier\n"
        "print([m for m in sys.modules if 'fleet' in m or m in ('msgspec', 'xxhash')])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
        == "[]\n"
    )
