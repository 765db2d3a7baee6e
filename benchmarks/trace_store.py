"""Segments against the embedded stores for traces: time, bytes written, bytes on disk, memory.

    python benchmarks/trace_store.py [--messages 20000] [--budget-kb 512]

Each store runs in a process of its own and takes the same encoded messages of a storm, one commit for each,
as a courier that may be killed at any time has to; past the budget the oldest must go. SQLite: WAL,
synchronous off, by rank and time. LMDB: no sync, map of twice the budget, likewise. Needs the extra `dev`.
"""

from __future__ import annotations

import argparse
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
KINDS = ("none", "segments", "sqlite", "lmdb")


def message(sequence: random.Random, number: int, texts: object) -> object:
    from ashvale.trace import codec
    from ashvale.trace.codec import Message
    from ashvale.trace.model import Attempt, Kind, Reason, Span

    dest, waits = str(sequence.randrange(30)), sequence.uniform(10, 3000)
    spans = [
        Span(Kind.DOOR, Reason.NONE, 0.4),
        Span(Kind.JOURNAL, Reason.NONE, 0.1),
        Span(Kind.ANSWER, Reason.NONE, 0.2),
        Span(Kind.WAIT, Reason.RING, waits),
        Span(Kind.JOURNAL, Reason.NONE, 0.1),
        Span(Kind.ATTEMPT, Reason.NONE, sequence.uniform(500, 4000), 0),
        Span(Kind.JOURNAL, Reason.NONE, 0.1),
    ]
    attempts = codec.pack_attempts([Attempt(1, f"s-{dest}", "ok")], texts)  # type: ignore[arg-type]
    front, cls, to, home = (
        texts.number(t)
        for t in (  # type: ignore[attr-defined]
            "platform",
            "usage-record",
            dest,
            "kempen-mobiel",
        )
    )
    id = codec.short(sequence.randbytes(8).hex())
    return Message(
        sequence.randbytes(16),
        id,
        front,
        cls,
        to,
        home,
        0,
        0,
        1e12 + number,
        2000,
        16000,
        0,
        codec.pack_spans(spans),
        attempts,
    )


def segments(folder: Path, budget: int) -> Callable[[int, random.Random], None]:
    from ashvale.trace.sampling import Rank
    from ashvale.trace.store import Store

    store = Store(folder / "n1", budget, 1e18, 1e12)
    return lambda n, s: store.put(Rank.KEPT, 1e12 + n, lambda texts: [message(s, n, texts)])  # type: ignore


def sqlite(folder: Path, budget: int) -> Callable[[int, random.Random], None]:
    import sqlite3

    from ashvale.trace import codec

    db = sqlite3.connect(folder / "db", isolation_level=None)
    for line in (
        "pragma journal_mode=wal",
        "pragma synchronous=off",
        "pragma auto_vacuum=incremental",
        "create table t (rank integer, at real, body blob)",
        "create index i on t (rank, at)",
    ):
        db.execute(line)
    texts = codec.Texts()

    def put(n: int, s: random.Random) -> None:
        body = codec.encode(message(s, n, texts))  # type: ignore[arg-type]
        db.execute("insert into t values (3, ?, ?)", (1e12 + n, body))
        if n % 200 == 0 and db.execute("pragma page_count").fetchone()[0] * 4096 > budget * 0.8:
            db.execute("delete from t where rowid in (select rowid from t order by rank, at limit 400)")

    return put


def lmdb(folder: Path, budget: int) -> Callable[[int, random.Random], None]:
    import lmdb as library

    from ashvale.trace import codec

    env = library.open(str(folder / "db"), map_size=2 * budget, sync=False, writemap=True)
    texts, held = codec.Texts(), [0, 0]

    def put(n: int, s: random.Random) -> None:
        body = codec.encode(message(s, n, texts))  # type: ignore[arg-type]
        with env.begin(write=True) as txn:
            txn.put(b"\3" + n.to_bytes(8, "big"), body)
            held[0] += len(body) + 40
            if held[0] > 0.8 * budget:
                cursor = txn.cursor()
                cursor.first()
                for _ in range(400):
                    held[0] -= len(cursor.value()) + 40
                    cursor.delete()

    return put


def child(kind: str, count: int, budget: int) -> None:
    from ashvale.trace import codec

    def status(key: str, file: str = "status") -> float:
        lines = Path(f"/proc/self/{file}").read_text().splitlines()
        return float(next(line for line in lines if line.startswith(key)).split()[1])

    with tempfile.TemporaryDirectory() as name:
        folder, sequence = Path(name), random.Random(7)
        texts = codec.Texts()
        rss, wrote = status("VmRSS"), status("wchar", "io")
        make = {"segments": segments, "sqlite": sqlite, "lmdb": lmdb}.get(kind)
        put = make(folder, budget) if make else (lambda n, s: codec.encode(message(s, n, texts)) and None)  # type: ignore[arg-type]
        longest, start = 0.0, time.process_time()
        for number in range(1, count + 1):
            began = time.perf_counter()
            put(number, sequence)
            longest = max(longest, time.perf_counter() - began)
        cpu = time.process_time() - start
        disk = sum(p.stat().st_blocks * 512 for p in folder.rglob("*") if p.is_file())
        size = sum(p.stat().st_size for p in folder.rglob("*") if p.is_file())
        print(
            f"{kind:9} {cpu / count * 1e6:7.1f} us a message  longest {longest * 1e3:6.2f} ms  "
            f"written {(status('wchar', 'io') - wrote) / count:7.1f} B a message  "
            f"files {size / 1e3:7.0f} KB, {disk / 1e3:7.0f} KB in blocks  "
            f"memory {status('VmRSS') - rss:6.0f} KB"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description="Segments against embedded stores.")
    parser.add_argument("--messages", type=int, default=20000)
    parser.add_argument("--budget-kb", type=int, default=512)
    parser.add_argument("--one", choices=KINDS, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.one:
        child(told.one, told.messages, told.budget_kb * 1000)
        return
    for kind in KINDS:
        subprocess.run(
            [
                sys.executable,
                __file__,
                "--one",
                kind,
                "--messages",
                str(told.messages),
                "--budget-kb",
                str(told.budget_kb),
            ],
            check=True,
            env=dict(os.environ),
        )


if __name__ == "__main__":
    main()
