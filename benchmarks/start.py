"""How long a start takes by the entries that the journal owes.

`python benchmarks/start.py [--destinations N] [ENTRIES ...]`; a real courier on a folder whose journal owes
so many, discovery down, and the list as it was last known. Prints one row each: CPU seconds to read the
journal, and until the module has heard of all.
"""

from __future__ import annotations

import argparse
import json
import logging
import tempfile
import time
from pathlib import Path

from ashvale import config
from ashvale.courier import Courier
from ashvale.journal import Entry, Journal
from ashvale.lab.stand_ins import SETTINGS
from ashvale.loop import Loop

ENTRIES = (500, 1000, 2000, 4000, 8000)
BODY = b"x" * 100
JOURNAL_BYTES = 256_000_000
DEADLINE_MS = 600_000.0


def fill(folder: Path, entries: int, destinations: int) -> None:
    """Write a journal as a courier does that took messages and was killed."""
    journal = Journal(folder, JOURNAL_BYTES)
    deadline = time.time() * 1000.0 + DEADLINE_MS
    name = SETTINGS["categories"][0]["name"]
    for number in range(entries):
        dest = str(1 + number % destinations)
        journal.take(Entry(0, f"m{number}", "platform", name, dest, "home", "", deadline, BODY))
    journal.close()


def start(folder: Path, destinations: int) -> tuple[float, float, int]:
    """CPU seconds to read the journal and to hand all to the module; and how many are held then."""
    limits = {"disk_mb": JOURNAL_BYTES / 1e6}
    hosts = [
        {"host": f"s-{block}", "dial": "127.0.0.1:9", "block": block, "class": "direct", "health": "SERVING"}
        for block in range(1, destinations + 1)
    ]
    known = {"seq": 1, "whole": True, "hosts": hosts}
    file = folder / "config.json"
    file.write_text(json.dumps({"settings": SETTINGS, "limits": limits, "known": known}))
    environ = {
        "LB_CONFIG": str(file),
        "LB_STATE": str(folder),
        "LB_LISTEN": "127.0.0.1:0",
        "LB_DISCOVERY": "127.0.0.1:1",
    }
    told, loop = config.load(environ), Loop()
    began = time.process_time()
    courier = Courier(told, loop)
    read = time.process_time()
    while courier.exchange._events or not courier.exchange.controller.messages:
        loop.turn(1.0)
    handed = time.process_time()
    held = len(courier.exchange._owed)
    courier.halt()
    return read - began, handed - read, held


def main() -> None:
    logging.disable(logging.CRITICAL)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs="*", type=int, default=list(ENTRIES))
    parser.add_argument("--destinations", type=int, default=1)
    told = parser.parse_args()
    print("| entries | destinations | s to read | us an entry | s until the module knows all | us an entry |")
    print("| --- " * 6 + "|")
    for entries in told.entries:
        with tempfile.TemporaryDirectory() as name:
            fill(Path(name), entries, told.destinations)
            read, handed, held = start(Path(name), told.destinations)
        assert held == entries, held
        print(
            f"| {entries} | {told.destinations} | {read:.2f} | {read / entries * 1e6:.0f} "
            f"| {handed:.2f} | {handed / entries * 1e6:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
