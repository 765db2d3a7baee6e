"""Joins Controllers to the wire on standard input and output. Translation only, no decisions."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ashvale import interface as api
from ashvale import wire
from ashvale.control import Controller


class Host:
    """One Controller for each instance; instances share nothing."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._instances: dict[int, Controller] = {}

    def step(self, header: bytes, source: BinaryIO) -> bytes:
        """Read the rest of one batch and return its reply."""
        seq, count, size, now = self._decoder.header(header)
        body = source.read(size)
        if len(body) != size:
            raise wire.WireError(f"batch {seq}: input ends after {len(body)} of {size} bytes")
        records: list[bytes] = []
        for inst, event in self._decoder.batch(seq, count, body):
            self._one(inst, event, now, records)
        return wire.encode_reply(seq, records)

    def _one(self, inst: int, event: object, now: float, records: list[bytes]) -> None:
        if isinstance(event, wire.Halt):
            self._instances.pop(inst, None)
            return
        if not isinstance(event, wire.Create) and inst not in self._instances:
            raise wire.WireError(f"event for unknown instance {inst}")
        try:
            if isinstance(event, wire.Create):
                self._instances[inst] = Controller(event.settings, event.seed)
                return
            actions = self._instances[inst].handle(event, now)  # type: ignore[arg-type]
            records.extend(
                wire.encode_action(inst, action)
                for action in actions
                if not isinstance(action, api.HealthChanged)
            )
        except Exception as error:  # an instance's fault is reported, the others go on
            records.append(wire.encode_fault(inst, f"{type(error).__name__}: {error}"))


def run(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends; return the exit code."""
    host = Host()
    try:
        while header := source.read(wire.HEADER.size):
            sink.write(host.step(header, source))
            sink.flush()
    except wire.WireError as error:
        print(f"ashvale: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin.buffer, sys.stdout.buffer))
