"""The journal on a folder whose calls fail: each in turn, once and in a row, and a kill behind each step."""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from ashvale.disk import Disk
from ashvale.journal import Entry, Full, Journal

ROOM = 400_000


class FailingDisk(Disk):
    """A real folder on which the calls `first` to `last` fail, each write after half of its bytes."""

    def __init__(self, first: int = 0, last: int = 0) -> None:
        super().__init__()
        self.first, self.last, self.calls = first, last, 0

    def _fails(self) -> bool:
        self.calls += 1
        return self.first <= self.calls <= self.last

    def _check(self) -> None:
        if self._fails():
            raise OSError(errno.EIO, "Input/output error")

    def create(self, path: Path) -> int:
        self._check()
        return super().create(path)

    def write(self, file: int, data: memoryview) -> int:
        if self._fails():
            super().write(file, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        return super().write(file, data)

    def truncate(self, file: int, size: int) -> None:
        self._check()
        super().truncate(file, size)

    def replace(self, old: Path, new: Path) -> None:
        self._check()
        super().replace(old, new)

    def remove(self, path: Path) -> None:
        self._check()
        super().remove(path)


def entry(id: str) -> Entry:
    return Entry(0, id, "platform", "rate-update", "1", "home", "k", 9e12, id.encode() * 50)


class Story:
    """Two messages from their taking to their ends, with what the journal said of each step."""

    def __init__(self, journal: Journal) -> None:
        self.journal, self.one, self.two = journal, entry("one"), entry("two")
        self.done: list[str] = []  # steps of which the journal has said that it has them
        self.tried: list[str] = []
        self.steps: dict[str, Callable[[], None]] = {
            "take one": lambda: journal.take(self.one),
            "take two": lambda: journal.take(self.two),
            "start one": lambda: journal.started([self.one], 1000.0, 0),
            "outcome one": lambda: journal.outcome(self.one, False),
            "start two": lambda: journal.started([self.two], 2000.0, 0),
            "refused two": lambda: journal.outcome(self.two, True),
            "decide one": lambda: journal.decided(self.one, "returned", 5.0),
            "end one": lambda: journal.ended(self.one),
        }
        self.needs = {"start one": "take one", "outcome one": "start one", "start two": "take two"}
        self.needs |= {"refused two": "start two", "decide one": "take one", "end one": "take one"}

    def play(self, last: int) -> None:
        """The first `last` steps; a step is left out where one that it needs did not come about."""
        for name in list(self.steps)[:last]:
            if (needed := self.needs.get(name)) is None or needed in self.done:
                self.tried.append(name)
                with suppress(Full):
                    self.steps[name]()
                    self.done.append(name)

    def check(self, found: dict[str, Entry]) -> None:
        """What a restart finds: all that was said to be written, and nothing that was refused."""
        done = set(self.done)
        if "end one" in done or "take one" not in done:
            assert "one" not in found
        elif "end one" not in self.tried:
            assert "one" in found
        assert ("two" in found) is ("take two" in done)
        for each in found.values():
            assert each.body == each.id.encode() * 50
        if (one := found.get("one")) is not None:
            assert (one.ran_at == 1000.0) is ("start one" in done)
            assert one.state == "returned" or "decide one" not in done
        if (two := found.get("two")) is not None and "start two" in done:
            assert two.attempts == 1
            assert two.ran_at is None or "refused two" not in done


CALLS_MOST = 25  # more than a run without faults makes


@pytest.mark.parametrize("row", [1, 2, 3, 4, 1000])
@pytest.mark.parametrize("steps", range(1, 9))
def test_a_kill_behind_any_step_finds_what_was_written_whatever_call_failed(
    tmp_path: Path, row: int, steps: int
) -> None:
    """Guards what was answered 202 against half a record that hides what follows it, and ends too."""
    for first in range(1, CALLS_MOST):
        folder = tmp_path / f"{first}"
        folder.mkdir()
        journal = Journal(folder, ROOM, 0.0, FailingDisk(first, first + row - 1))
        story = Story(journal)
        story.play(steps)
        journal.close()  # as a kill leaves it
        again = Journal(folder, ROOM)
        story.check({each.id: each for each in again.entries.values()})
        again.close()


@pytest.mark.parametrize("row", [1, 2, 3, 4, 7])
def test_once_the_folder_can_be_written_the_file_has_all_that_came_about(tmp_path: Path, row: int) -> None:
    """Guards an outcome or an end that could not be written against being lost."""
    for first in range(1, CALLS_MOST):
        folder = tmp_path / f"{first}"
        folder.mkdir()
        disk = FailingDisk(first, first + row - 1)
        journal = Journal(folder, ROOM, 0.0, disk)
        story = Story(journal)
        story.play(99)
        disk.first = disk.last = 0
        journal.catch_up()
        assert not journal.behind
        held = {each.id: (each.attempts, each.ran_at, each.state) for each in journal.entries.values()}
        journal.close()
        again = Journal(folder, ROOM)
        assert {e.id: (e.attempts, e.ran_at, e.state) for e in again.entries.values()} == held
        again.close()


def test_a_start_on_a_folder_that_cannot_be_written_serves_what_it_holds(tmp_path: Path) -> None:
    """Guards owed messages against a start that fails as long as the disk is full."""
    first = Journal(tmp_path, ROOM)
    first.take(entry("one"))
    first.close()
    disk = FailingDisk(1, 10**6)
    second = Journal(tmp_path, ROOM, 0.0, disk)
    (held,) = second.entries.values()
    with pytest.raises(Full):
        second.started([held], 1000.0, 0)
    disk.last = 0
    second.started([held], 2000.0, 0)
    second.close()
    (back,) = Journal(tmp_path, ROOM).entries.values()
    assert (back.attempts, back.ran_at) == (1, 2000.0)


def test_a_large_file_that_cannot_be_renamed_is_not_written_again_for_each_message(tmp_path: Path) -> None:
    """Guards service against a loop that does nothing but write a file which never takes its place."""

    class NoRename(Disk):
        on, written = False, 0

        def replace(self, old: Path, new: Path) -> None:
            if self.on:
                raise OSError(errno.EIO, "Input/output error")
            super().replace(old, new)

        def write(self, file: int, data: memoryview) -> int:
            self.written += len(data)
            return super().write(file, data)

    disk, now = NoRename(), [0.0]
    journal = Journal(tmp_path, 50 * ROOM, 0.0, disk, lambda: now[0])
    for number in range(100):
        journal.take(Entry(0, f"m{number}", "platform", "rate-update", "1", "home", "k", 9e12, b"x" * 2000))
    size = (tmp_path / "journal").stat().st_size
    disk.on, disk.written = True, 0
    journal.limit(2 * size)  # the next message needs a new file
    journal._file, left = -1, journal._file
    for _ in range(50):
        with pytest.raises(Full):
            journal.started(list(journal.entries.values())[:1], 1.0, 0)
        now[0] += 1.0
    assert disk.written < 2 * size
    disk.on = False
    now[0] += 100.0
    journal.started(list(journal.entries.values())[:1], 1.0, 0)
    disk.close(left)
    journal.close()
    assert len(Journal(tmp_path, 50 * ROOM).entries) == 100


def test_entries_of_a_newcomers_file_that_cannot_be_removed_do_not_come_back(tmp_path: Path) -> None:
    """Guards a message that is over against its entry in a file that was joined and could not be removed."""
    owner = Journal(tmp_path, ROOM)
    newcomer = Journal(tmp_path, ROOM)
    newcomer.take(entry("one"))
    newcomer.close()
    owner.close()

    class Keeping(Disk):
        keeps = True

        def remove(self, path: Path) -> None:
            if self.keeps and path.name == "journal.next":
                raise OSError(errno.EIO, "Input/output error")
            super().remove(path)

    disk = Keeping()
    joined = Journal(tmp_path, ROOM, 0.0, disk)
    (one,) = joined.entries.values()
    with pytest.raises(Full):
        joined.ended(one)
    disk.keeps = False
    joined.catch_up()
    joined.close()
    assert not Journal(tmp_path, ROOM).entries


def test_an_adoption_that_cannot_read_the_old_file_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards what the process before an upgrade owed against one read that failed as it was taken over."""
    old, new = Journal(tmp_path, ROOM), Journal(tmp_path, ROOM)
    old.take(entry("old"))
    new.take(entry("new"))
    old.close()
    with monkeypatch.context() as patch:
        patch.setattr(new._disk, "read", lambda _path: (_ for _ in ()).throw(OSError(errno.EIO, "no")))
        assert new.adopt() == [] and new.waiting
    assert [each.id for each in new.adopt()] == ["old"] and not new.waiting
    new.close()
    assert sorted(each.id for each in Journal(tmp_path, ROOM).entries.values()) == ["new", "old"]


def test_a_whole_record_that_is_not_understood_costs_only_itself(tmp_path: Path) -> None:
    """Guards a start against a record of another version."""
    from ashvale.journal_records import TAKEN, frame

    first = Journal(tmp_path, ROOM)
    first.take(entry("one"))
    with (tmp_path / "journal").open("ab") as file:
        file.write(frame(TAKEN, b"\xff\xff\xff\xff{}") + frame(2, b"x"))
    first.take(entry("two"))
    first.close()
    assert [each.id for each in Journal(tmp_path, ROOM).entries.values()] == ["one", "two"]
