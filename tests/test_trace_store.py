"""The store of traces: cuts at every byte, damage, budgets, a full disk, and two couriers side by side."""

from __future__ import annotations

import errno
import os
import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from ashvale.trace import codec, reader, store
from ashvale.trace.codec import Detail, Message, Texts
from ashvale.trace.model import Attempt, End, Kind, Reason, Span
from ashvale.trace.reader import Stock
from ashvale.trace.sampling import Rank
from ashvale.trace.store import LEAST_BYTES, Failed, Store

AGE = 1e12


def message(number: int, texts: Texts, start: float = 1000.0) -> Message:
    spans = [Span(Kind.DOOR, Reason.NONE, 1.0), Span(Kind.ATTEMPT, Reason.NONE, 20.0 + number, 0)]
    attempts = codec.pack_attempts([Attempt(1, f"s-{number % 7}", "reset")], texts)
    front, cls, dest, home = map(texts.number, ("platform", "usage-record", str(number % 5), "home"))
    why = texts.cause(str(number % 5), Kind.ATTEMPT, 0, f"s-{number % 7}")
    return Message(
        number.to_bytes(16, "big"),
        codec.short(f"{number:016x}"),
        front,
        cls,
        dest,
        home,
        End.FAILED,
        why,
        start + number,
        2000,
        16000,
        0,
        codec.pack_spans(spans),
        attempts,
    )


def put(kept: Store, number: int, rank: Rank = Rank.KEPT, start: float = 1000.0) -> None:
    kept.put(rank, start + number, lambda texts: [message(number, texts, start=start)])


def numbers(folder: Path, **wanted: object) -> list[int]:
    return [int.from_bytes(t.record.trace_id, "big") for t in reader.read_all(folder, Stock(), **wanted)]  # type: ignore[arg-type]


def opened(folder: Path, budget: int = 10 * LEAST_BYTES) -> Store:
    return Store(folder, budget, AGE, 1000.0)


@pytest.fixture(params=["raw", "sealed"])
def segment(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Path]:
    kept = opened(tmp_path / "a")
    for number in range(1, 13):
        put(kept, number)
    kept.close()
    if request.param == "sealed":
        opened(tmp_path / "a").close()
    yield next(p for p in (tmp_path / "a").iterdir() if p.suffix in (".raw", ".seg"))


def test_every_cut_gives_back_what_is_whole_and_nothing_wrong(segment: Path) -> None:
    """A segment that ends at any byte: reader and next start see the first so many messages, no others."""
    data, folder = segment.read_bytes(), segment.parent
    seen = set()
    for cut in range(len(data)):
        segment.write_bytes(data[:cut])
        found = numbers(folder)
        assert found == list(range(1, len(found) + 1))
        seen.add(len(found))
        if cut % 7 == 0 or segment.suffix == ".seg":
            again = opened(folder)
            put(again, 99)
            again.close()
            assert numbers(folder) == [*found, 99]
            shutil.rmtree(folder)
            folder.mkdir()
    assert seen == (set(range(13)) - {12} if segment.suffix == ".raw" else {0})


def test_every_flipped_byte_is_noticed(segment: Path) -> None:
    data, folder = segment.read_bytes(), segment.parent
    for at in range(len(data)):
        segment.write_bytes(data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :])
        traces = list(reader.read_all(folder, Stock()))
        found = [int.from_bytes(t.record.trace_id, "big") for t in traces]
        assert found == list(range(1, len(found) + 1))
        assert all(t.total == 21.0 + n and t.dest == str(n % 5) for t, n in zip(traces, found, strict=True))


def test_an_index_leads_to_a_message_past_the_others(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    kept = opened(tmp_path / "a")
    for number in range(1, 2000):
        put(kept, number)
    kept.close()
    opened(tmp_path / "a").close()
    reads = list[Path]()
    real = store.read
    monkeypatch.setattr(store, "read", lambda path: reads.append(path) or real(path))
    assert numbers(tmp_path, id=f"{1500:016x}") == [1500] and numbers(tmp_path, id=f"{1500:032x}") == [1500]
    assert len(reads) < len(store.listed(tmp_path / "a"))
    reads.clear()
    assert numbers(tmp_path, since=2900.0) == list(range(1900, 2000))
    assert len(reads) < len(store.listed(tmp_path / "a"))
    (shelf,) = reader.shelves(tmp_path)
    assert (shelf.messages, shelf.ends) == (1999, {"failed": 1999}) and shelf.segments > 2


def test_the_budget_holds_and_ranks_go_in_order(tmp_path: Path) -> None:
    """Samples go first, then detail, then the oldest; what is missing is counted to the last message."""
    kept, total = opened(tmp_path / "a", LEAST_BYTES), {rank: 0 for rank in Rank}
    trail = list[tuple[int, int, int]]()
    for number in range(1, 12001):
        rank = (Rank.SAMPLE, Rank.DETAIL, Rank.KEPT)[number % 3] if number < 6000 else Rank.KEPT
        total[rank] += 1
        if rank is Rank.DETAIL:
            kept.put(
                rank,
                1000.0 + number,
                lambda texts, n=number: [  # type: ignore[misc]
                    Detail(n.to_bytes(16, "big"), b"x", [1] * 6)
                ],
            )
        else:
            put(kept, number, rank)
        size = sum(store.blocks(p.stat().st_size) for p in (tmp_path / "a").iterdir())
        assert size <= LEAST_BYTES
        trail.append(
            tuple(  # type: ignore[arg-type]
                kept.missing[what].count if what in kept.missing else 0
                for what in ("sample", "detail", "kept")
            )
        )
    assert trail[-1][0] == total[Rank.SAMPLE] and trail[-1][1] == total[Rank.DETAIL] and trail[-1][2] > 0
    first = [next(i for i, now in enumerate(trail) if now[at]) for at in range(3)]
    assert first == sorted(first)  # nothing of a rank goes while a lower one is there
    found = numbers(tmp_path)
    assert len(found) + trail[-1][2] == total[Rank.KEPT] and found == list(range(found[0], 12001))
    missing = store.read_missing(tmp_path / "a")["kept"]
    assert missing.first == 1002.0 and missing.last < 1000.0 + found[0]


def test_what_is_missing_outlasts_a_restart_and_age_removes(tmp_path: Path) -> None:
    kept = Store(tmp_path / "a", LEAST_BYTES, 5000.0, 1000.0)
    for number in range(1, 3000):
        put(kept, number)
    before = kept.missing["kept"].count
    kept.close()
    again = Store(tmp_path / "a", LEAST_BYTES, 5000.0, 1000.0)
    assert again.missing["kept"].count >= before > 0
    again.tidy(50000.0)
    assert numbers(tmp_path) == [] and again.missing["aged"].count > 0
    again.close()


def test_two_couriers_write_side_by_side_and_one_name_serves_one(tmp_path: Path) -> None:
    one, two = opened(tmp_path / "a"), opened(tmp_path / "b")
    for number in range(1, 2001):
        put((one, two)[number % 2], number)
        if number % 500 == 0:  # readers work meanwhile
            assert sorted(numbers(tmp_path)) == list(range(1, number + 1))
    with pytest.raises(Failed):
        opened(tmp_path / "a")
    one.close()
    opened(tmp_path / "a").close()
    two.close()


def test_a_message_that_two_lives_wrote_counts_once(tmp_path: Path) -> None:
    kept = opened(tmp_path / "a")
    put(kept, 1)
    kept.close()
    again = opened(tmp_path / "a")
    put(again, 1)
    again.close()
    sealed = next((tmp_path / "a").glob("*.seg"))
    sealed.with_suffix(".raw").write_bytes(store.RAW)  # its removal did not last
    assert numbers(tmp_path) == [1]
    opened(tmp_path / "a").close()
    assert not sealed.with_suffix(".raw").exists() and numbers(tmp_path) == [1]


def test_a_full_disk_shortens_and_then_ends_it(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """What others leave of the disk is used: half of what is held goes, and half a record never stays."""
    kept = opened(tmp_path / "a")
    for number in range(1, 4000):
        put(kept, number)
    used, real, room = kept.used, os.write, [0]

    def full(file: int, data: bytes) -> int:
        if room[0] < len(data):
            if data[:4] != store.RAW[:4]:
                real(file, bytes(data)[:5])
            raise OSError(errno.ENOSPC, "no space left")
        return real(file, data)

    monkeypatch.setattr(store.os, "write", full)
    with pytest.raises(Failed):
        put(kept, 4000)
    monkeypatch.setattr(store.os, "write", real)
    assert kept.used <= max(used // 2, LEAST_BYTES)
    found = numbers(tmp_path)
    assert found == list(range(found[0], 4000))


def test_a_disk_that_has_room_again_goes_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    kept = opened(tmp_path / "a")
    put(kept, 1)
    real, fails = os.write, [errno.ENOSPC]

    def once(file: int, data: bytes) -> int:
        if fails:
            real(file, bytes(data)[:9])
            raise OSError(fails.pop(), "no space left")
        return real(file, data)

    monkeypatch.setattr(store.os, "write", once)
    put(kept, 2)  # the texts that the failed write held are written again
    put(kept, 3)
    assert numbers(tmp_path) == [1, 2, 3]
    assert [t.dest for t in reader.read_all(tmp_path, Stock())] == ["1", "2", "3"]


def test_a_folder_taken_away_ends_it(tmp_path: Path) -> None:
    kept = opened(tmp_path / "a")
    put(kept, 1)
    shutil.rmtree(tmp_path / "a")
    put(kept, 2)
    with pytest.raises(Failed):
        for number in range(3, 5000):
            put(kept, number)
    with pytest.raises(Failed):
        kept.tidy(1000.0)
    kept.close()
    file = tmp_path / "file"
    file.write_text("")
    with pytest.raises(Failed):
        opened(file / "a")


def test_texts_of_hostile_length_and_number_stay_bounded(tmp_path: Path) -> None:
    kept = opened(tmp_path / "a", 64 * LEAST_BYTES)
    for number in range(6000):
        kept.put(
            Rank.KEPT,
            1.0,
            lambda texts, n=number: [  # type: ignore[misc]
                Message(
                    bytes(16), str(n).encode(), 0, 0, texts.number(f"d{n}"), 0, 2, 0, 1.0, 1, 1, 0, [], []
                )
            ],
        )
    kept.put(
        Rank.KEPT,
        1.0,
        lambda texts: [Message(bytes(16), b"x" * 70000, 0, 0, 0, 0, 2, 0, 1.0, 1, 1, 0, [], [])],
    )
    assert kept.missing["untraced"].count == 1
    found = list(reader.read_all(tmp_path, Stock()))
    assert [t.dest for t in found] == [f"d{n}" for n in range(6000)]
    kept.close()
