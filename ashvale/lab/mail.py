"""Stand-ins for those who speak mail with a courier: a client, and a partner that follows scripts.

They own what they were told and what they saw. They must never look into a courier.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Optional

from ashvale.lab.stand_ins import DROP, HERE, LONG_MS, STALL
from ashvale.loop import (
    FOREVER,
    Address,
    Connection,
    Coroutine,
    Listener,
    Loop,
    Signal,
    connect,
)

STEPS = ("connect", "hello", "mail", "rcpt", "data", "body", "dot")
Script = dict[str, str]  # by step: DROP, STALL, or the reply to give in place of the usual one


@dataclass
class Delivery:
    """A message whose final dot has reached the partner."""

    sender: str
    recipients: list[str]
    body: bytes
    at: float


class Partner:
    """A mail server that follows one script for each connection, and none once they are used up."""

    def __init__(
        self,
        loop: Loop,
        lmtp: bool = False,
        scripts: Optional[list[Script]] = None,
        greeting: str = "220 partner",
        extensions: tuple[str, ...] = ("PIPELINING", "8BITMIME"),
    ) -> None:
        self.loop, self.lmtp, self.scripts = loop, lmtp, list(scripts or [])
        self.greeting, self.extensions = greeting, extensions
        self.deliveries: list[Delivery] = []
        self.calls: list[float] = []  # when a transaction began
        self.connections = self.left = 0  # sessions begun, and those that their client has ended
        self.listener = Listener(loop, (HERE, 0), self._serve, 100, "partner")
        self.address = self.listener.address

    def close(self) -> None:
        self.listener.close()
        for connection in list(self.listener.open):
            connection.close()

    def _serve(self, connection: Connection) -> Coroutine[None]:
        script = self.scripts.pop(0) if self.scripts else {}
        self.connections += 1
        if not (yield from self._say(connection, script, "connect", self.greeting)):
            return
        sender, recipients = "", list[str]()
        while True:
            line = (yield from connection.line(4096, FOREVER)).decode().strip()
            verb = line[:4].upper()
            if verb in ("EHLO", "LHLO", "HELO"):
                lines = ["partner", *(self.extensions if verb != "HELO" else ())]
                text = "\r\n".join(f"250{'-' if n < len(lines) else ' '}{x}" for n, x in enumerate(lines, 1))
                more = yield from self._say(connection, script, "hello", text)
            elif verb == "MAIL":
                sender, recipients = line.partition("<")[2].partition(">")[0], []
                self.calls.append(self.loop.now())
                more = yield from self._say(connection, script, "mail", "250 ok")
            elif verb == "RCPT":
                recipients.append(line.partition("<")[2].partition(">")[0])
                more = yield from self._say(connection, script, "rcpt", "250 ok")
            elif verb == "DATA":
                if "data" in script and script["data"][:1] in "45":
                    more = yield from self._say(connection, script, "data", "")
                    continue
                more = yield from self._say(connection, script, "data", "354 go on")
                more = more and (yield from self._message(connection, script, sender, recipients))
            elif verb == "QUIT":
                self.left += 1
                yield from self._say(connection, {}, "quit", "221 bye")
                return
            else:
                more = yield from self._say(connection, {}, "other", "250 ok")
            if not more:
                return

    def _message(
        self, connection: Connection, script: Script, sender: str, recipients: list[str]
    ) -> Coroutine[bool]:
        lines: list[bytes] = []
        while (line := (yield from connection.line(65536, FOREVER))) != b".\r\n":
            if "body" in script:
                return (yield from self._say(connection, script, "body", ""))
            lines.append(line[1:] if line.startswith(b".") else line)
        self.deliveries.append(Delivery(sender, recipients, b"".join(lines), self.loop.now()))
        for number in range(len(recipients) if self.lmtp else 1):
            step = f"dot{number + 1}" if f"dot{number + 1}" in script else "dot"
            if not (yield from self._say(connection, script, step, "250 taken")):
                return False
        return True

    def _say(self, connection: Connection, script: Script, step: str, usual: str) -> Coroutine[bool]:
        action = script.get(step, usual)
        if action == DROP:
            connection.close()
            return False
        if action == STALL:
            yield Signal(), FOREVER
        yield from connection.send(action.encode() + b"\r\n", self.loop.now() + LONG_MS)
        return True


class Client:
    """A mail client that says what it is given and reads one reply to each line."""

    def __init__(self, loop: Loop, address: Address) -> None:
        self.loop, self.address = loop, address
        self.connection: Optional[Connection] = None

    def open(self) -> Coroutine[str]:
        self.connection = yield from connect(self.loop, self.address, self.loop.now() + LONG_MS)
        return (yield from self.reply())

    def reply(self) -> Coroutine[str]:
        """A whole reply; its lines are joined by line feeds."""
        assert self.connection is not None
        lines: list[str] = []
        while not lines or lines[-1][3:4] == "-":
            lines.append((yield from self.connection.line(4096, self.loop.now() + LONG_MS)).decode().rstrip())
        return "\n".join(lines)

    def write(self, data: bytes) -> Coroutine[None]:
        assert self.connection is not None
        yield from self.connection.send(data, self.loop.now() + LONG_MS)

    def say(self, *lines: str) -> Coroutine[list[str]]:
        """Say the lines in one go and read a reply to each."""
        yield from self.write("".join(line + "\r\n" for line in lines).encode())
        replies = []
        for _ in lines:
            replies.append((yield from self.reply()))
        return replies

    def send(
        self, sender: str, recipients: list[str], message: bytes, lmtp: bool = False, drop: bool = False
    ) -> Coroutine[list[str]]:
        """A whole transaction on a connection of its own; the replies to the final dot."""
        yield from self.open()
        yield from self.say(
            "LHLO client" if lmtp else "EHLO client",
            f"MAIL FROM:<{sender}>",
            *(f"RCPT TO:<{one}>" for one in recipients),
            "DATA",
        )
        yield from self.write(message + b".\r\n")
        replies: list[str] = []
        for _ in recipients if lmtp and not drop else [None] * (not drop):
            replies.append((yield from self.reply()))
        self.close()
        return replies

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
