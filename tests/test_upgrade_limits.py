"""Two processes of one courier, as in an upgrade: the disk and the descriptors that both share."""

from __future__ import annotations

import itertools
import socket
from contextlib import suppress
from pathlib import Path

import pytest

from ashvale import config
from ashvale.courier import Courier
from ashvale.disk import Disk
from ashvale.exchange import Command, Refusal
from ashvale.journal import Entry, Full, Journal
from ashvale.lab.stand_ins import HERE
from tests.stage import Scene, scene

DISK_MB = 1.0
BODY = b"x" * 6000


class MeasuredDisk(Disk):
    """Notes what the folder held at the most, each file counted in whole 512 bytes, and counts rewrites."""

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self.folder, self.most, self.rewrites = folder, 0, 0

    def replace(self, old: Path, new: Path) -> None:
        self.rewrites += new.name == "journal"
        super().replace(old, new)

    def write(self, file: int, data: memoryview) -> int:
        taken = super().write(file, data)
        sizes = [path.stat().st_size for path in self.folder.iterdir() if path.name != "config.json"]
        self.most = max(self.most, sum(-(-size // 512) * 512 for size in sizes))
        return taken


def start(s: Scene, disk: Disk) -> Courier:
    """Another courier on the scene's folder, which has written its configuration already."""
    return Courier(config.load(s.told), s.loop, disk)


def hand(courier: Courier, id: str) -> bool:
    """Whether a message was taken on."""
    until = courier.loop.now() + 9000.0
    command = Command(id, "platform", "rate-update", "1", "home", "", until, BODY)
    return not isinstance(courier.exchange.take(command), Refusal)


def test_two_processes_of_an_upgrade_stay_within_the_disk_together() -> None:
    """Guards review case 3: each process filled the whole disk limit, beside the other one's file."""
    with scene(disk_mb=DISK_MB) as s:
        s.environ["LB_OPERATOR"] = f"{HERE}:0"
        endpoint = s.endpoint()
        s.start().halt()
        disk = MeasuredDisk(s.folder)
        old = s.courier = start(s, disk)
        s.until(lambda: old.exchange.listed)
        ids, taken = (f"m{number}" for number in itertools.count()), list[str]()

        def load(couriers: list[Courier], rounds: int) -> None:
            for courier in couriers * rounds:
                id = next(ids)
                taken.extend([id] if hand(courier, id) else [])
                s.until(lambda: len(endpoint.calls) >= len(taken) - 6)

        load([old], 120)
        new = start(s, disk)
        s.at_end.append(lambda: (old.halt(), new.halt()))
        s.until(lambda: new.exchange.listed)
        s.until(lambda: (s.folder / "journal.share").exists())
        load([old, new], 80)
        old.leave()
        load([new], 20)
        s.until(lambda: old.exchange.idle and new.exchange.idle)
        old.halt()
        s.until(lambda: not new.exchange.journal.waiting)
        load([new], 120)
        s.until(lambda: len(endpoint.calls) == len(taken))
        assert len(taken) > 360 and disk.most <= DISK_MB * 1_000_000


def entry(id: str, size: int) -> Entry:
    return Entry(0, id, "platform", "rate-update", "1", "home", "", 9e12, b"x" * size)


@pytest.mark.parametrize("held", [0, 8, 25])
def test_the_newcomer_may_use_what_the_older_process_does_not_need(tmp_path: Path, held: int) -> None:
    """Guards review case 3's disk limit where the older process owes much, and service where it does not."""
    disk, room = MeasuredDisk(tmp_path), 400_000
    old = Journal(tmp_path, room, disk=disk)
    for number in range(held):
        old.take(entry(f"held{number}", 6000))
    for number in range(200):  # what has ended still takes room in the file
        passing = entry(f"passing{number}", 500)
        old.take(passing)
        old.ended(passing)
    new = Journal(tmp_path, room, disk=disk)
    old.divide()
    refused = 0
    for number in range(300):
        passing = entry(f"new{number}", 2000)
        try:
            new.take(passing)
            new.ended(passing)
        except Full:
            refused += 1
            for over in list(old.entries.values())[:1]:
                old.ended(over)
            old.divide(leaving=True)
    assert disk.most <= room and refused <= held
    old.close()
    new.adopt()
    assert not new.waiting and disk.most <= room


def deliver(journal: Journal, entries: list[Entry]) -> None:
    for each in entries:
        journal.started([each], 1000.0, 1)
        journal.outcome(each, False)
        journal.decided(each, "delivered", 0.0)
        journal.ended(each)


def test_a_journal_that_owes_more_than_fits_twice_is_not_rewritten_for_each_record(tmp_path: Path) -> None:
    """Guards review case 1: the courier stood still for seconds, as each record wrote the whole file anew."""
    room = 400_000
    held = Journal(tmp_path, 2 * room)  # as two processes that did not share the disk left it
    for number in range(50):
        held.take(entry(f"m{number}", 6000))
    held.close()
    disk = MeasuredDisk(tmp_path)
    joined = Journal(tmp_path, room, disk=disk)
    assert len(joined.entries) == 50
    disk.rewrites = 0
    deliver(joined, list(joined.entries.values()))
    assert disk.rewrites <= 4  # of 200 records


def test_a_lower_limit_does_not_have_the_journal_rewritten_for_each_record(tmp_path: Path) -> None:
    """Guards review case 1's like: SIGHUP may lower the disk limit under what is owed."""
    disk = MeasuredDisk(tmp_path)
    held = Journal(tmp_path, 400_000, disk=disk)
    for number in range(25):
        held.take(entry(f"m{number}", 6000))
    held.limit(250_000)
    disk.rewrites = 0
    deliver(held, list(held.entries.values())[:12])
    assert disk.rewrites <= 2  # of 48 records


def test_what_two_processes_owe_fits_twice_where_one_takes_it_over(tmp_path: Path) -> None:
    """Guards review case 1: each process of an upgrade owed up to half of the disk, both together all."""
    disk = MeasuredDisk(tmp_path)
    old = Journal(tmp_path, 400_000, disk=disk)
    new = Journal(tmp_path, 400_000, disk=disk)
    for number in range(100):
        old.divide()
        for journal in (old, new):
            with suppress(Full):
                journal.take(entry(f"{number}-{journal.waiting}", 6000))
    old.close()
    new.adopt()
    assert 15 < len(new.entries) and 2 * 7000 * len(new.entries) < 400_000
    disk.rewrites = 0
    deliver(new, list(new.entries.values()))
    assert disk.rewrites <= 2


def test_two_processes_of_an_upgrade_share_the_descriptors() -> None:
    """Guards the limit on sockets: each process of an upgrade held as many clients as a lone one may."""
    with scene() as s:
        s.sockets = 64
        s.environ["LB_OPERATOR"] = f"{HERE}:0"
        s.start()
        assert s.courier.server is not None
        listener = s.courier.server.listener
        clients = [socket.create_connection(listener.address) for _ in range(30)]
        s.until(lambda: len(listener.open) == 30)
        new = Courier(config.load(s.told), s.loop)
        s.at_end.append(new.halt)
        assert new.server is not None
        s.until(lambda: listener.most + new.server.listener.most == 32)
        s.until(lambda: len(listener.open) <= 16)
        s.courier.halt()
        s.until(lambda: new.server.listener.most == 32)
        for client in clients:
            client.close()
