"""A seeded soak: couriers whose endpoints' and agent's answers come twice, over kills, ends and starts.

`python -m tests.answer_soak FIRST COUNT [LOGS]` plays seeds by hand; see tests/fault_soak.py, whose run this
is with relays that repeat answers in place of system calls that fail. What counts as an end is stricter: a
delivery that its endpoint answered 200, or a notice.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path
from random import Random
from typing import Optional

from ashvale.lab.stand_ins import HERE, Endpoint
from ashvale.loop import FOREVER, Address
from tests.fault_soak import Courier, Message, Run, main
from tests.repeating import Copies, RepeatingRelay, When

REPEATED = 0.15  # part of the answers that come again
LONGEST_MS = 120.0  # a copy is held back for so long at most


class RandomRelay(RepeatingRelay):
    """Repeats answers at random, each in its own way."""

    def __init__(self, run: RepeatingRun, target: Address, random: Random) -> None:
        super().__init__(run.loop, target)
        self.run, self.random = run, random

    def heard(self, request: bytes, answer: bytes) -> None:
        id = re.search(rb"(?i)\r\nrequest-id: *(\S+)\r\n", request)
        if id is not None and answer[9:12] in (b"410", b"504"):
            self.run.messages[id[1].decode()].heard.append(self.loop.now())

    def choose(self, place: int, chosen: int, answer: bytes) -> Optional[Copies]:
        random = self.random
        if random.random() >= REPEATED:
            return None
        return Copies(
            random.choice([*When, When.BEHIND_REQUEST]),
            random.choice((1, 1, 1, 2, 3)),
            random.choice((1, 1, 2)),
            random.choice((0.0, random.uniform(0.0, 10.0), random.uniform(0.0, LONGEST_MS))),
            random.choice((0, 0, 11)),
        )


class QuietCourier(Courier):
    """One whose system calls do not fail."""

    def fail(self, on: bool) -> None:
        super().fail(False)


class RepeatingRun(Run):
    """One run with relays in front of every endpoint and of the agent."""

    TOOK_MS = (40.0, 200.0)
    REFUSED = 0.15
    FINAL = 0.06

    def __init__(self, seed: int, folder: Path) -> None:
        self.relays: list[RandomRelay] = []
        self._draw = Random(f"relays {seed}")
        super().__init__(seed, folder)
        agent = self._relay(self.discovery.listener.address)
        self.agent = agent.dial
        for courier in self.couriers:
            courier.__class__ = QuietCourier

    def _relay(self, target: Address) -> RandomRelay:
        relay = RandomRelay(self, target, Random(self._draw.random()))
        self.relays.append(relay)
        return relay

    def _reached(self, endpoint: Endpoint) -> None:
        relay = self._relay((HERE, endpoint.listener.address[1]))
        endpoint.dial = relay.dial

    def _ended(self, message: Message) -> float:
        over = message.heard if message.final == 410 else []
        return min([*message.delivered, *over, *(at for at, _ in message.told)], default=FOREVER)

    def close(self) -> None:
        for relay in self.relays:
            relay.close()
        super().close()


if __name__ == "__main__":
    sys.exit(bool(main(RepeatingRun)))
