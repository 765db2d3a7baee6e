"""The journal alone: what comes back after a restart, and what a full or torn file does."""

from __future__ import annotations

import errno
import subprocess
import sys
from pathlib import Path

import pytest

from ashvale import disk
from ashvale.journal import Entry, Full, Journal

ROOM = 400_000


def entry(id: str = "a", body: bytes = b"hello") -> Entry:
    return Entry(0, id, "platform", "rate-update", "1", "home", "k", 9e12, body)


def again(ended: Journal, folder: Path) -> Journal:
    """The journal of the next process on a folder."""
    ended.close()
    return Journal(folder, ROOM)


def test_what_was_taken_comes_back_with_what_became_of_it(tmp_path: Path) -> None:
    first = Journal(tmp_path, ROOM)
    one, two, three = entry("1", bytes(range(256))), entry("2"), entry("3")
    for each in (one, two, three):
        first.take(each)
    first.started([one, two], 1000.0, 4)
    first.outcome(one, never_ran=True)
    first.started([one], 2000.0, 5)
    first.outcome(two, never_ran=False)
    first.started([two], 3000.0, 6)
    first.decided(three, "returned", 250.0, 77.0)
    back = {e.id: e for e in again(first, tmp_path).entries.values()}
    assert back["1"].body == bytes(range(256)) and back["1"].attempts == 2
    assert (back["1"].ran_at, back["1"].ran_zone) == (2000.0, 5)  # out when the process ended: may have run
    assert (back["2"].ran_at, back["2"].attempts) == (1000.0, 2)  # the first that may have run counts
    assert (back["3"].state, back["3"].after_ms, back["3"].keep_until) == ("returned", 250.0, 77.0)


def test_what_has_no_attempt_left_has_none_after_any_restart(tmp_path: Path) -> None:
    """Guards against a call for a message that is over: the next process, and the one after, knew nothing."""
    first = Journal(tmp_path, ROOM)
    one, two = entry("1"), entry("2")
    for each in (one, two):
        first.take(each)
    first.started([one, two], 1000.0, 4)
    first.spent(one)
    first.outcome(one, never_ran=True)
    for _ in range(3):  # each start writes the file anew
        first = again(first, tmp_path)
        assert {e.id: e.spent for e in first.entries.values()} == {"1": True, "2": False}


def test_what_has_ended_stays_away_and_numbers_are_not_used_twice(tmp_path: Path) -> None:
    first = Journal(tmp_path, ROOM)
    one, two = entry("1"), entry("2")
    first.take(one)
    first.take(two)
    first.ended(one)
    second = again(first, tmp_path)
    three = entry("3")
    second.take(three)
    assert [e.id for e in second.entries.values()] == ["2", "3"] and three.number > two.number


@pytest.mark.parametrize("cut", [1, 5, 12, 40])
def test_a_torn_end_costs_only_itself(tmp_path: Path, cut: int) -> None:
    """Guards a restart against a record that a kill or a full disk cut short."""
    first = Journal(tmp_path, ROOM)
    first.take(entry("1"))
    first.take(entry("2"))
    file = tmp_path / "journal"
    file.write_bytes(file.read_bytes()[:-cut])
    second = again(first, tmp_path)
    assert [e.id for e in second.entries.values()] == ["1"]
    second.take(entry("3"))
    assert [e.id for e in again(second, tmp_path).entries.values()] == ["1", "3"]


def test_a_damaged_record_is_not_believed(tmp_path: Path) -> None:
    first = Journal(tmp_path, ROOM)
    first.take(entry("1"))
    file = tmp_path / "journal"
    data = bytearray(file.read_bytes())
    data[-1] ^= 1
    file.write_bytes(bytes(data))
    assert not again(first, tmp_path).entries


def test_rewriting_keeps_old_and_new_file_within_the_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the disk limit, at which the courier would be taken for crashed; and counts across a rewrite."""
    seen = [0]
    real = disk.os.replace

    def replace(new: Path, old: Path) -> None:
        if old.exists():
            seen.append(new.stat().st_size + old.stat().st_size)
        real(new, old)

    monkeypatch.setattr(disk.os, "replace", replace)
    kept = Journal(tmp_path, ROOM)
    stays = entry("stays")
    kept.take(stays)
    for number in range(3000):
        passing = entry(f"p{number}", b"x" * 200)
        kept.take(passing)
        kept.started([passing], 1.0, 0)
        kept.outcome(passing, True)
        kept.ended(passing)
        if number % 500 == 0:
            kept.started([stays], float(number + 1), 0)
            kept.outcome(stays, False)
    assert len(seen) > 2 and max(seen) <= ROOM
    (back,) = again(kept, tmp_path).entries.values()
    assert (back.attempts, back.ran_at) == (6, 1.0)


def test_no_room_is_told_and_what_is_held_can_still_end(tmp_path: Path) -> None:
    kept, held = Journal(tmp_path, ROOM), []
    with pytest.raises(Full):
        for number in range(1000):
            held.append(entry(str(number), b"x" * 5000))
            kept.take(held[-1])
    for each in held[:-1]:
        for at in range(8):
            kept.started([each], float(at), 0)
            kept.outcome(each, False)
        kept.decided(each, "failed", 0.0)
    assert (tmp_path / "journal").stat().st_size <= ROOM
    assert all(e.state == "failed" for e in again(kept, tmp_path).entries.values())


def test_a_failed_write_leaves_no_half_record(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards what follows: behind half a record nothing would be read any more."""
    kept = Journal(tmp_path, ROOM)
    kept.take(entry("1"))
    real = disk.os.write

    def failing(file: int, data: bytes) -> int:
        real(file, bytes(data)[:7])
        raise OSError(28, "no space left")

    monkeypatch.setattr(disk.os, "write", failing)
    with pytest.raises(Full):
        kept.take(entry("2"))
    monkeypatch.setattr(disk.os, "write", real)
    kept.take(entry("3"))
    assert [e.id for e in again(kept, tmp_path).entries.values()] == ["1", "3"]


@pytest.mark.parametrize(
    ("name", "error", "told"),
    [
        ("open", errno.EMFILE, "raises"),
        ("open", errno.EROFS, "raises"),
        ("flock", errno.EIO, "raises"),
        ("flock", errno.ENOLCK, "raises"),
        ("flock", errno.ENOSYS, "alone"),
        ("flock", errno.EAGAIN, "beside"),
    ],
)
def test_only_a_platform_without_locks_counts_as_one_without_a_second_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str, error: int, told: str
) -> None:
    """Guards the journal against two writers where a lock cannot be had for another reason."""

    def fails(*_: object) -> int:
        raise OSError(error, "no")

    monkeypatch.setattr(disk.os if name == "open" else disk.fcntl, name, fails)
    if told == "raises":
        with pytest.raises(OSError):
            disk.Disk().lock(tmp_path / "lock")
    else:
        assert disk.Disk().lock(tmp_path / "lock") is (told == "alone")


def test_a_lock_outlasts_other_closes_of_its_file_and_is_asked_for_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against locks that any close of the file lets go of, and a newcomer against giving up."""
    owner = Journal(tmp_path, ROOM)
    (tmp_path / "journal.lock").read_bytes()  # opened and closed by somebody in this process
    new = Journal(tmp_path, ROOM)
    assert new.waiting and owner.succeeded and not new.adopt()
    owner.close()
    with monkeypatch.context() as patch:
        patch.setattr(disk.os, "open", lambda *_: (_ for _ in ()).throw(OSError(errno.EMFILE, "full")))
        assert not new.adopt() and new.waiting
    new.adopt()
    assert not new.waiting and not new.succeeded


# Two processes on one folder, as in an upgrade: the old one is a real process that holds the lock.

_OLD = """
import sys, time
from pathlib import Path
from ashvale.journal import Entry, Journal
old = Journal(Path(sys.argv[1]), 400_000)
for id in ("old-1", "old-2", "both"):
    old.take(Entry(0, id, "platform", "rate-update", "1", "home", "k", 9e12, b"x"))
old.started([e for e in old.entries.values() if e.id == "old-2"], 1000.0, 1)
print("ready", flush=True)
sys.stdin.readline()
"""


def _old_process(folder: Path) -> subprocess.Popen[str]:
    process = subprocess.Popen(
        [sys.executable, "-c", _OLD, str(folder)], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None and process.stdout.readline() == "ready\n"
    return process


def test_a_second_process_writes_beside_the_first_and_adopts_what_it_left(tmp_path: Path) -> None:
    """Guards an upgrade against two writers of one file, and so against two attempts of one message."""
    old = _old_process(tmp_path)
    try:
        new = Journal(tmp_path, ROOM)
        assert new.waiting and not new.entries  # nothing of the old one's while it lives
        new.take(entry("new-1"))
        new.take(entry("both"))
        assert new.adopt() == [] and new.waiting
        before = (tmp_path / "journal").read_bytes()
        assert before and b"new-1" not in before  # the old file is the old process's alone
    finally:
        assert old.stdin is not None
        old.stdin.close()
        old.wait(10)
    taken = new.adopt()
    assert not new.waiting and sorted(e.id for e in taken) == ["old-1", "old-2"]
    assert next(e for e in taken if e.id == "old-2").ran_at == 1000.0  # out when it ended: may have run
    assert len({e.number for e in new.entries.values()}) == 4
    assert not (tmp_path / "journal.next").exists()
    new = again(new, tmp_path)
    back = sorted(e.id for e in new.entries.values())
    assert back == ["both", "new-1", "old-1", "old-2"]
    child = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys; from pathlib import Path; "
            "from ashvale.journal import Journal; "
            "print(Journal(Path(sys.argv[1]), 400000).waiting)",
            str(tmp_path),
        ],
        capture_output=True,
        text=True,
    )
    assert child.stdout.strip() == "True", child.stderr  # the next upgrade's newcomer may start


def test_what_a_newcomer_left_is_taken_by_the_next_owner(tmp_path: Path) -> None:
    """Guards a newcomer that ended before the old process did: its file is read at the next start."""
    old = _old_process(tmp_path)
    try:
        newcomer = Journal(tmp_path, ROOM)
        newcomer.take(entry("new-1"))
        newcomer.close()
    finally:
        assert old.stdin is not None
        old.stdin.close()
        old.wait(10)
    child = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys; from pathlib import Path; "
            "from ashvale.journal import Journal; "
            "j = Journal(Path(sys.argv[1]), 400_000); "
            "print(sorted(e.id for e in j.entries.values()))",
            str(tmp_path),
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert child.stdout.strip() == str(["both", "new-1", "old-1", "old-2"])
