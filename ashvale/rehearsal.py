"""The rehearsal kit: a stand-in client and a stand-in partner play short scripted cases with a courier.

It owns the stand-ins, which the tests use as well, and the cases. It must never reach beyond the loopback,
and never judge by speed: a verdict rests on replies, on what reached the partner, and on waits kept.

`python -m ashvale.rehearsal` starts a courier with a mail front for each case and prints its verdict.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ashvale import config
from ashvale.courier import Courier
from ashvale.lab.mail import Client, Partner, Script
from ashvale.lab.stand_ins import DROP, STALL, run
from ashvale.log import set_up_log
from ashvale.loop import (
    FOREVER,
    Address,
    Broken,
    Expired,
    Loop,
    sleep,
)

SETUP = """
enabled = true
hostname = "courier.example"
[limits]
size = 20000
{limits}
[[listen]]
protocol = "smtp"
address = "127.0.0.1:0"
[[listen]]
protocol = "lmtp"
address = "127.0.0.1:0"
[[class]]
name = "usage-record"
repeat = "never"
aim_ms = 2000
deadline_ms = {deadline}
window_ms = {window}
[[class]]
name = "rate-update"
repeat = "safe"
aim_ms = 2000
deadline_ms = {deadline}
window_ms = {window}
[[tenant]]
name = "home"
[[sender]]
match = "*@home.example"
tenant = "home"
[[recipient]]
match = "usage*@a.example"
class = "usage-record"
destination = "a"
[[recipient]]
match = "rate*@a.example"
class = "rate-update"
destination = "a"
[[recipient]]
match = "*@b.example"
class = "rate-update"
destination = "b"
[[destination]]
name = "a"
[[destination.instance]]
protocol = "{protocol}"
address = "127.0.0.1:{port}"
[[destination]]
name = "b"
[[destination.instance]]
protocol = "{protocol}"
address = "127.0.0.1:{port}"
"""


def set_up(
    port: int, protocol: str = "smtp", deadline: int = 6000, window: int = 6000, limits: str = ""
) -> str:
    """The mail front's file for a courier with one partner for two destinations."""
    return SETUP.format(port=port, protocol=protocol, deadline=deadline, window=window, limits=limits)


class Stage:
    """A courier with a mail front on a loop of the caller's; `again` is a restart after a kill."""

    def __init__(self, loop: Loop, folder: Path, text: str) -> None:
        self.loop, self.folder, self.text = loop, folder, text
        self.courier = self._start()

    def _start(self) -> Courier:
        file = self.folder / "mail.toml"
        file.write_text(self.text)
        told = config.load({"ASHVALE_MAIL": str(file), "LB_STATE": str(self.folder)})
        return Courier(told, self.loop)

    def address(self, protocol: str = "smtp") -> Address:
        assert self.courier.mail is not None
        return self.courier.mail.listeners[protocol == "lmtp"].address

    def stop(self) -> None:
        """End without warning: sockets close, nothing more is written."""
        self.courier.halt()

    def again(self) -> None:
        self.stop()
        self.courier = self._start()


@contextmanager
def staged(partner: Callable[[Loop], Partner], **setup: Any) -> Iterator[tuple[Loop, Partner, Stage]]:
    """A loop, a partner and a courier for one case."""
    loop = Loop()
    with tempfile.TemporaryDirectory() as folder:
        other = partner(loop)
        stage = Stage(loop, Path(folder), set_up(other.address[1], "lmtp" if other.lmtp else "smtp", **setup))
        try:
            yield loop, other, stage
        finally:
            stage.stop()
            other.close()
            loop.close()


MESSAGE = b"Message-ID: <1@home.example>\r\nSubject: record\r\n\r\n..dotted\r\ntext\r\n"


@dataclass(frozen=True)
class Case:
    """A script for the partner, and what must come of a message sent through the courier."""

    name: str
    recipient: str
    reply: str  # the code that the client must read
    deliveries: int  # how often the final dot may have reached the partner
    scripts: list[Script] = field(default_factory=list)
    lmtp: bool = False
    least_gap_ms: float = 0.0  # between the first two transactions
    setup: dict[str, Any] = field(default_factory=dict)

    def play(self) -> str:
        """Play the case; an empty text says that all went as it must."""

        def other(loop: Loop) -> Partner:
            return Partner(loop, self.lmtp, self.scripts)

        with staged(other, **self.setup) as (loop, partner, stage):
            client = Client(loop, stage.address("lmtp" if self.lmtp else "smtp"))
            replies = run(loop, client.send("x@home.example", [self.recipient], MESSAGE, self.lmtp))
            run(loop, sleep(loop, 100.0))
            if not replies or not replies[0].startswith(self.reply):
                return f"reply {replies}, {self.reply} was expected"
            if len(partner.deliveries) != self.deliveries:
                return f"{len(partner.deliveries)} deliveries, {self.deliveries} expected"
            gap = partner.calls[1] - partner.calls[0] if len(partner.calls) > 1 else FOREVER
            return f"the next call came after {gap:.0f} ms" if gap < self.least_gap_ms else ""


USAGE, RATE = "usage@a.example", "rate@a.example"
CASES = (
    *(
        Case(f"drop at {step}, then delivered", USAGE, "250", 1, [{step: DROP}])
        for step in ("connect", "hello", "mail", "rcpt", "data")
    ),
    Case(
        "drop with the dot sent but not read, usage-record is not sent again",
        USAGE,
        "554",
        0,
        [{"body": DROP}],
    ),
    Case("drop after the dot, usage-record is not sent again", USAGE, "554", 1, [{"dot": DROP}]),
    Case("drop after the dot, rate-update is sent again", RATE, "250", 2, [{"dot": DROP}]),
    Case(
        "4xx with a wait is kept, then delivered",
        USAGE,
        "250",
        1,
        [{"mail": "451 come back in 700 ms"}],
        least_gap_ms=699.0,
    ),
    Case(
        "4xx after the dot never ran",
        USAGE,
        "250",
        2,
        [{"dot": "452 try again after 1 second"}],
        least_gap_ms=999.0,
    ),
    Case(
        "a wait beyond the message's time ends it at once",
        USAGE,
        "451",
        0,
        [{"rcpt": "450 try again in 1 hour"}],
    ),
    Case(
        "stall after the dot, usage-record is not sent again",
        USAGE,
        "554",
        1,
        [{"dot": STALL}],
        setup={"deadline": 1500},
    ),
    Case("refusal of the recipient is final", RATE, "554", 0, [{"rcpt": "550 unknown"}]),
    Case("refusal after the dot is final", USAGE, "554", 1, [{"dot": "554 no"}]),
    Case("lmtp delivers", USAGE, "250", 1, lmtp=True),
    Case(
        "lmtp drop after the dot, usage-record is not sent again", USAGE, "554", 1, [{"dot": DROP}], lmtp=True
    ),
)


def main() -> int:
    set_up_log("ERROR")
    failed = 0
    for case in CASES:
        try:
            fault = case.play()
        except (Broken, Expired, AssertionError) as error:
            fault = f"{type(error).__name__}: {error}"
        failed += bool(fault)
        print(f"{'FAILED' if fault else 'ok':7}{case.name}{': ' + fault if fault else ''}", flush=True)
    print(f"{len(CASES) - failed} of {len(CASES)} cases went as they must")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
