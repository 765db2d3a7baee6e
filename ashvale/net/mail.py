"""The mail front: SMTP (RFC 5321) and LMTP (RFC 2033), as a server for service clients and towards endpoints.

It owns sessions on both sides and the translation between mail and the exchange's commands and attempts. It
must never decide where or when a message goes, never take a line feed alone for the end of a line (what one
side reads as the end of a message the other might not), and never answer the final dot before the message's
one end is decided.
"""

from __future__ import annotations

import email.parser
import email.utils
import hashlib
import json
import logging
import re
import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING, Optional

from ashvale import config
from ashvale import interface as api
from ashvale.exchange import DELIVERED, FAILED, RETURNED, Attempt, Command, Endpoint, Exchange, Refusal
from ashvale.interface import Outcome
from ashvale.journal import Entry
from ashvale.loop import FOREVER, Broken, Connection, Coroutine, Expired, Listener, Loop, Signal
from ashvale.net.pool import Carrier, NoConnection, Stopped

if TYPE_CHECKING:  # costs 300 KB where no mail is served
    from email.message import Message

LINE_MOST, TEXT_MOST = 2048, 64 * 1024  # longest command and longest line of a message that are read
REPLY_MS = 10000.0  # a client has this long to take a reply
REST_MS = (5000.0, 10000.0)  # rest before HELO, and later, for which a client is sent away in a full house
ERRORS_MOST = 20  # a client that errs more often is sent away
BYE = 221  # the reply to QUIT, and to nothing else
LEAVE_MS = 300.0  # QUIT's reply is awaited for so long where nothing depends on it
HOPS_MOST = 100  # a message that has come further goes in circles
_PATH = re.compile(r"<(?:@[^:<>]*:)?((?:\"(?:[^\"\\]|\\.)*\"|[^<>\"\s])*)>((?:\s.*)?)\Z")
_REPLY = re.compile(rb"([2-5][0-9]{2})(?:([ -])(.*?))?\r?\n\Z", re.S)
_UNITS = {
    "ms": 1.0,
    "millisecond": 1.0,
    "s": 1e3,
    "sec": 1e3,
    "second": 1e3,
    "m": 6e4,
    "min": 6e4,
    "minute": 6e4,
    "h": 3.6e6,
    "hr": 3.6e6,
    "hour": 3.6e6,
}
_WAIT = re.compile(
    r"\b(?:after|in|wait|for|least)\b[\s:=]*(?:at least\s+)?(\d+(?:\.\d+)?)\s*"
    r"(" + "|".join(sorted(_UNITS, key=len, reverse=True)) + r")s?\b",
    re.I,
)
log = logging.getLogger(__name__)


# Parsers


def wait_in(text: str) -> float:
    """The wait that a reply names, in milliseconds; 0 if it names none."""
    found = _WAIT.search(text)
    return 0.0 if found is None else min(1e9, float(found[1]) * _UNITS[found[2].lower()])


def path(argument: str, word: str) -> Optional[tuple[str, dict[str, str]]]:
    """`FROM:<a@b> SIZE=9` gives the address and its parameters; None for what is malformed."""
    if not argument.upper().startswith(word + ":"):
        return None
    found = _PATH.match(argument[len(word) + 1 :].strip())
    if found is None or not argument.isascii() or len(found[1]) > 256:
        return None
    words = (part.partition("=") for part in found[2].split())
    return found[1], {name.upper(): value for name, _, value in words}


def reply_line(line: bytes) -> Optional[tuple[int, bool, str]]:
    """One line of a reply: code, whether it is the last, text; None for what is no reply."""
    found = _REPLY.match(line)
    return (
        None
        if found is None
        else (int(found[1]), found[2] != b"-", (found[3] or b"").decode("utf-8", "replace"))
    )


def stuffed(body: bytes) -> bytes:
    """The message as it travels after DATA, with its final dot."""
    end = b"" if body.endswith(b"\r\n") or not body else b"\r\n"
    return re.sub(rb"(?m)^\.", b"..", body) + end + b".\r\n"


class DataReader:
    """Takes the lines after DATA until the final dot, undoing dot-stuffing.

    Guards against smuggled messages: only CRLF, dot, CRLF is the end, and a message with a carriage return or
    line feed on its own is refused whole, as the next server might read an end in it.
    """

    def __init__(self, most: int) -> None:
        self.most, self.body, self.size = most, bytearray(), 0
        self.bare = self.too_long = False
        self._fresh, self._last = True, b""

    def feed(self, piece: bytes) -> bool:
        """Take a line, or a part of a very long one; True at the end of the message."""
        if self._fresh and piece == b".\r\n":
            return True
        whole = (self._last + piece).endswith(b"\r\n")
        inner = piece[:-2] if whole else piece
        self.bare |= b"\r" in inner or piece.endswith(b"\n") and not whole
        self.too_long |= not piece.endswith(b"\n")
        self.size += len(piece)
        if self.size <= self.most:
            self.body += piece[1:] if self._fresh and piece.startswith(b".") else piece
        self._fresh, self._last = whole, piece[-1:]
        return False

    @property
    def fault(self) -> Optional[tuple[int, str]]:
        """Why the message is refused, if it is."""
        if self.size > self.most:
            return 552, "5.3.4 message too large"
        if self.too_long:
            return 554, "5.6.0 line too long"
        return (554, "5.6.0 carriage return or line feed on its own") if self.bare else None


# The service clients' side


@dataclass
class Envelope:
    """What a transaction has gathered before its message."""

    sender: str
    tenant: str
    recipients: list[tuple[str, config.Rule]] = field(default_factory=list)
    began: float = 0.0  # on the loop's clock


class MailFront:
    """Listens where the file says, and answers each message once with its end."""

    def __init__(self, loop: Loop, exchange: Exchange, setup: config.Mail) -> None:
        self.loop, self.exchange, self.setup = loop, exchange, setup
        self.closing = False
        self._waiting: dict[int, Signal] = {}
        self._places: dict[config.Listen, Listener] = {}
        self.configure(setup)

    @property
    def listeners(self) -> list[Listener]:
        return list(self._places.values())

    def configure(self, setup: config.Mail) -> None:
        """Listen where the file says now; or leave all as it was and raise, where that cannot be."""
        gone = {(where.protocol, where.address): where for where in self._places}
        made: dict[config.Listen, Listener] = {}
        try:
            for where in setup.listen:
                old = gone.pop((where.protocol, where.address), None)
                made[where] = self._places[old] if old else self._listener(where)
        except OSError:
            for listener in made.values():
                if listener not in self._places.values():
                    listener.close()
            raise
        for where, listener in made.items():
            listener.most = where.most
        for where in gone.values():
            self._places[where].close()
        self.setup, self._places = setup, made

    def _listener(self, where: config.Listen) -> Listener:
        listener = Listener(
            self.loop, where.address, lambda c: Session(self, c, listener).run(), where.most, where.protocol
        )
        listener.dismiss = listener.dismiss_unused = self._dismiss
        listener.spare_ms = REST_MS
        return listener

    # What the exchange calls

    def ended(self, entry: Entry) -> None:
        if signal := self._waiting.pop(entry.number, None):
            signal.fire()
        self.exchange.told(entry)

    def keep_ms(self, entry: Entry, state: str, after_ms: float) -> float:
        """Guards against a second delivery where a client lost its connection and comes back.

        What was returned may come again, so it is remembered no longer than its wait.
        """
        cls = self.exchange.message_class(entry.cls)
        return after_ms if state == RETURNED or cls is None else cls.window_ms

    # What sessions call

    def rule(self, address: str) -> Optional[config.Rule]:
        return next((r for r in self.setup.receivers if fnmatchcase(address.lower(), r.match)), None)

    def tenant(self, address: str) -> Optional[str]:
        """The tenant of a sender; none is needed where no senders are listed."""
        found = next((r for r in self.setup.senders if fnmatchcase(address.lower(), r.match)), None)
        return found.tenant if found else None if self.setup.senders else ""

    def take(self, envelope: Envelope, body: bytes) -> Entry | Refusal:
        rule = envelope.recipients[0][1]
        cls = self.exchange.message_class(rule.cls)
        recipients = [address for address, _ in envelope.recipients]
        return self.exchange.take(
            Command(
                identity(envelope.sender, recipients, body),
                "mail",
                rule.cls,
                rule.dest,
                envelope.tenant,
                "",
                self.loop.now() + (cls.deadline_ms if cls else 0.0),
                body,
                envelope=json.dumps({"from": envelope.sender, "to": recipients}),
                began=envelope.began,
                traceparent=self._told(body, "Traceparent"),
                tracestate=self._told(body, "Tracestate"),
            )
        )

    def _told(self, body: bytes, name: str) -> str:
        """What the message's header says of its trace, where tracing is on."""
        return str(head_of(body).get(name, "")) if self.exchange.tracer is not None else ""

    def end_of(self, taken: Entry | Refusal) -> Coroutine[tuple[int, str]]:
        """Wait for the one end of a message and word it as a reply."""
        if isinstance(taken, Refusal):
            return 451, f"4.3.2 not taken, {taken.why}; come back after {taken.after_ms:.0f} ms"
        while not taken.state:
            yield self._waiting.setdefault(taken.number, Signal()), FOREVER
        if taken.state == DELIVERED:
            return 250, "2.0.0 delivered"
        if taken.state == FAILED:
            return 554, "5.0.0 not delivered, or not surely; do not send it again"
        left = taken.after_ms
        if taken.keep_until:  # the wait counts from when it was told first
            left = max(1.0, min(left, taken.keep_until - self.exchange.wall(self.loop.now())))
        return 451, "4.4.0 not delivered" + (f"; come back after {left:.0f} ms" if left > 0 else "")

    def leave(self) -> None:
        """Accept no more, and take leave of the clients that are not waiting for an answer."""
        self.closing = True
        for listener in self.listeners:
            listener.close()
            listener.dismiss_resting(0.0, 0.0)

    @staticmethod
    def _dismiss(connection: Connection) -> None:
        connection.outbound.append(b"421 4.3.2 closing\r\n")
        connection.flush()
        connection.finish()


def identity(sender: str, recipients: list[str], body: bytes) -> str:
    """The same for a message that is sent again; without a Message-ID every sending is new."""
    name = str(head_of(body).get("Message-ID", "")).strip() or uuid.uuid4().hex
    parts = "\0".join([sender, *sorted(recipients), name])
    return hashlib.sha256(parts.encode("utf-8", "replace")).hexdigest()


class Session:
    """One connection of a service client."""

    def __init__(self, front: MailFront, connection: Connection, listener: Listener) -> None:
        self.front, self.connection, self.listener, self.loop = front, connection, listener, front.loop
        self.lmtp = listener.name == "lmtp"
        self.helo, self.errors = "", 0
        self.envelope: Optional[Envelope] = None
        hello = {"LHLO": self._hello} if self.lmtp else {"HELO": self._hello, "EHLO": self._hello}
        self.verbs: dict[str, Callable[[str, str], Coroutine[bool]]] = {
            **hello,
            "MAIL": self._mail,
            "RCPT": self._rcpt,
            "DATA": self._data,
            "RSET": self._rset,
            "NOOP": self._noop,
            "VRFY": self._vrfy,
            "HELP": self._help,
            "QUIT": self._quit,
        }

    def run(self) -> Coroutine[None]:
        name = "LMTP" if self.lmtp else "ESMTP"
        if self.front.closing:
            yield from self._say(421, "4.3.2 closing")
            return
        yield from self._say(220, f"{self.front.setup.hostname} {name} ashvale")
        more = True
        while more and self.errors <= ERRORS_MOST:
            self.listener.rest(self.connection, bool(self.helo))
            try:
                line = yield from self.connection.line(LINE_MOST, self._until())
            except Expired:
                yield from self._say(421, "4.4.2 idle for too long")
                return
            finally:
                self.listener.wake(self.connection)
            more = yield from self._command(line)
        if more:
            yield from self._say(421, "4.7.0 too many errors")

    def _until(self) -> float:
        return self.loop.now() + self.front.setup.idle_ms

    def _say(self, code: int, *texts: str) -> Coroutine[None]:
        lines = [f"{code}{'-' if n < len(texts) else ' '}{text}\r\n" for n, text in enumerate(texts, 1)]
        yield from self.connection.send("".join(lines).encode(), self.loop.now() + REPLY_MS)

    def _err(self, code: int, text: str) -> Coroutine[bool]:
        self.errors += 1
        yield from self._say(code, text)
        return True

    def _command(self, line: bytes) -> Coroutine[bool]:
        """Carry out one command; False ends the session."""
        if not line.endswith(b"\r\n") or b"\r" in line[:-2]:
            # Guards against commands smuggled behind an end of line that only one side takes for one.
            yield from self._err(500, "5.5.2 a command is one line that ends in CRLF")
            return False
        if not line.isascii() or b"\0" in line:
            return (yield from self._err(500, "5.5.2 a command is plain text"))
        verb, _, argument = line.decode().strip().partition(" ")
        action = self.verbs.get(verb.upper())
        if action is None:
            return (yield from self._err(500, "5.5.1 unknown command"))
        return (yield from action(verb.upper(), argument.strip()))

    def _hello(self, verb: str, argument: str) -> Coroutine[bool]:
        if not argument:
            return (yield from self._err(501, "5.5.4 a name is wanted"))
        self.helo, self.envelope = argument.split()[0][:255], None
        extensions = ["PIPELINING", f"SIZE {self.front.setup.size}", "8BITMIME", "ENHANCEDSTATUSCODES"]
        yield from self._say(250, self.front.setup.hostname, *(extensions if verb != "HELO" else []))
        return True

    def _mail(self, _verb: str, argument: str) -> Coroutine[bool]:
        if not self.helo or self.envelope is not None:
            return (yield from self._err(503, "5.5.1 bad sequence of commands"))
        found = path(argument, "FROM")
        if found is None:
            return (yield from self._err(501, "5.5.4 MAIL FROM:<address> is wanted"))
        address, parameters = found
        if parameters.keys() - {"SIZE", "BODY"}:
            return (yield from self._err(555, "5.5.4 unknown parameter"))
        size = parameters.get("SIZE", "0")
        if not size.isdigit() or parameters.get("BODY", "7BIT").upper() not in ("7BIT", "8BITMIME"):
            return (yield from self._err(501, "5.5.4 malformed parameter"))
        if int(size[:20]) > self.front.setup.size:
            return (yield from self._err(552, "5.3.4 message too large"))
        tenant = self.front.tenant(address)
        if tenant is None:
            return (yield from self._err(550, "5.7.1 sender unknown here"))
        self.envelope = Envelope(address, tenant, began=self.loop.now())
        yield from self._say(250, "2.1.0 ok")
        return True

    def _rcpt(self, _verb: str, argument: str) -> Coroutine[bool]:
        if self.envelope is None:
            return (yield from self._err(503, "5.5.1 bad sequence of commands"))
        found = path(argument, "TO")
        if found is None or not found[0]:
            return (yield from self._err(501, "5.5.4 RCPT TO:<address> is wanted"))
        address, parameters = found
        rule = self.front.rule(address)
        if parameters:
            return (yield from self._err(555, "5.5.4 unknown parameter"))
        if rule is None:
            return (yield from self._err(550, "5.1.1 recipient unknown here"))
        known = self.envelope.recipients
        if len(known) >= self.front.setup.recipients:
            return (yield from self._err(452, "4.5.3 too many recipients"))
        first = known[0][1] if known else rule
        if not self.lmtp and (rule.cls, rule.dest, rule.route) != (first.cls, first.dest, first.route):
            # One reply answers a transaction, so it may concern one destination and class only.
            yield from self._say(452, "4.5.3 another destination, in a transaction of its own please")
            return True
        known.append((address, rule))
        yield from self._say(250, "2.1.5 ok")
        return True

    def _data(self, _verb: str, argument: str) -> Coroutine[bool]:
        if self.envelope is None or not self.envelope.recipients:
            return (yield from self._err(503, "5.5.1 bad sequence of commands"))
        if argument:
            return (yield from self._err(501, "5.5.4 DATA takes no argument"))
        yield from self._say(354, "end with a dot on a line of its own")
        reader, envelope, self.envelope = DataReader(self.front.setup.size), self.envelope, None
        while not reader.feed((yield from self.connection.line(TEXT_MOST, self._until()))):
            pass
        fault = reader.fault
        if fault is None and re.match(
            rb"(?:Received:[^\r]*\r\n(?:[ \t][^\r]*\r\n)*){%d}" % HOPS_MOST, reader.body, re.I
        ):
            fault = 554, "5.4.6 too many hops"
        if fault is not None:
            self.errors += 1
            for _ in envelope.recipients if self.lmtp else [None]:
                yield from self._say(*fault)
            return True
        body = self._trace() + bytes(reader.body)
        parts = [
            Envelope(envelope.sender, envelope.tenant, [one], envelope.began) for one in envelope.recipients
        ]
        taken = [self.front.take(part, body) for part in (parts if self.lmtp else [envelope])]
        for one in taken:
            yield from self._say(*(yield from self.front.end_of(one)))
        return not self.front.closing

    def _trace(self) -> bytes:
        peer = "LMTP" if self.lmtp else "ESMTP"
        date = email.utils.formatdate(self.front.loop.wall() / 1000.0)
        return f"Received: from {self.helo} by {self.front.setup.hostname} with {peer}; {date}\r\n".encode()

    def _rset(self, _verb: str, _argument: str) -> Coroutine[bool]:
        self.envelope = None
        yield from self._say(250, "2.0.0 ok")
        return True

    def _noop(self, _verb: str, _argument: str) -> Coroutine[bool]:
        yield from self._say(250, "2.0.0 ok")
        return True

    def _vrfy(self, _verb: str, _argument: str) -> Coroutine[bool]:
        yield from self._say(252, "2.1.5 try to send to it")
        return True

    def _help(self, _verb: str, _argument: str) -> Coroutine[bool]:
        yield from self._say(214, "2.0.0 " + " ".join(self.verbs))
        return True

    def _quit(self, _verb: str, _argument: str) -> Coroutine[bool]:
        yield from self._say(221, "2.0.0 bye")
        return False


# The endpoints' side


class Declined(Exception):
    """The other server said no, in so many words; nothing has run."""

    def __init__(self, code: int, text: str, early: bool = False) -> None:
        super().__init__(f"{code} {text}")
        self.code, self.text, self.early = code, text, early


def judge(code: int, text: str, early: bool = False) -> tuple[Outcome, float, str]:
    """What a refusal says: outcome, told wait, and the message's end where it is final.

    `early` is before any message was named: what a server says then of itself is no answer to a message.
    """
    if 400 <= code < 500:
        return Outcome.FULL, wait_in(text), ""
    return (Outcome.CONNECT_FAILED, 0.0, "") if early else (Outcome.MOOT, 0.0, FAILED)


class MailClient:
    """The requesting side of one connection, for one transaction.

    Nothing in a reply says which command it answers, and a network may bring one again. A copy in the place
    of another command's reply is seen where that has to be of another kind: 354 shows that the envelope's
    were in their places. Behind the message a reply unlike all before it is no copy; for any other QUIT's own
    reply, 221, shows that every reply before it was in its place. So a connection serves one transaction.
    """

    reusable = False

    def __init__(self, connection: Connection, lmtp: bool, name: str) -> None:
        self.connection, self.lmtp, self.name = connection, lmtp, name
        self.extensions: dict[str, str] = {}
        self.written = False
        self.attempt: Optional[Attempt] = None  # is told when things happened
        self.calls = 0  # transactions begun on this connection
        self.answers: list[tuple[int, str]] = []  # the replies to the final dot, once all have come
        self.surplus: list[tuple[int, str]] = []  # replies behind those that are not QUIT's own
        self.leaving = False  # QUIT has been said
        self.proven = True  # each reply to the final dot is unlike all replies before it
        self._heard: set[tuple[int, tuple[str, ...]]] = set()
        self._unknown: Optional[tuple[int, list[str]]] = (
            None  # the reply to EHLO of one that knows HELO alone
        )

    @property
    def unread(self) -> int:
        """Bytes that have come behind the last reply."""
        return len(self.connection.inbound)

    def _is_new(self, code: int, texts: list[str]) -> bool:
        """Note a reply; whether none like it came before in this session."""
        known = len(self._heard)
        self._heard.add((code, tuple(texts)))
        return len(self._heard) > known

    def reply(self, until: float) -> Coroutine[tuple[int, list[str]]]:
        """Read a reply of one line or several."""
        texts: list[str] = []
        while True:
            found = reply_line((yield from self.connection.line(LINE_MOST, until)))
            if found is None or len(texts) > 100:
                raise Broken("no reply of mail")
            code, last, text = found
            texts.append(text)
            if last:
                return code, texts

    def expect(self, kind: int, until: float, early: bool = False) -> Coroutine[list[str]]:
        """Read a reply that is to be positive, of the kind that its first digit says."""
        code, texts = yield from self.reply(until)
        self._is_new(code, texts)
        if (code, texts) == self._unknown or (code < 400 and code // 100 != kind):
            raise Broken(f"reply out of turn: {code}")
        if code >= 400:
            raise Declined(code, " ".join(texts), early)
        return texts

    def _say(self, text: str, until: float) -> Coroutine[None]:
        yield from self.connection.send(text.encode() + b"\r\n", until)

    def greet(self, until: float) -> Coroutine[None]:
        """Read the greeting and introduce this side."""
        yield from self.expect(2, until, early=True)
        yield from self._say(f"{'LHLO' if self.lmtp else 'EHLO'} {self.name}", until)
        code, texts = yield from self.reply(until)
        self._is_new(code, texts)
        if code >= 500 and not self.lmtp:  # an old server that knows no extensions
            self._unknown = code, texts
            yield from self._say(f"HELO {self.name}", until)
            code, texts = yield from self.reply(until)
            self._is_new(code, texts)
        if code >= 300:
            raise Declined(code, " ".join(texts), early=True)
        words = (text.split(None, 1) for text in texts[1:])
        self.extensions = {w[0].upper(): w[1] if len(w) > 1 else "" for w in words if w}

    def leave(self, until: float) -> Coroutine[None]:
        """End the session; note the replies that come before QUIT's own, of which none belongs there."""
        self.leaving = True
        yield from self._say("QUIT", until)
        while True:
            code, texts = yield from self.reply(until)
            if code == BYE:
                return
            self.surplus.append((code, " ".join(texts)))

    def deliver(
        self,
        sender: str,
        recipients: list[str],
        body: bytes,
        until: float,
        check: Callable[[], None],
        begin: Callable[[], None],
    ) -> Coroutine[None]:
        """One transaction; notes the replies to its final dot: one, or with LMTP one for each recipient.

        `check` raises where the transaction is not to go on, and is asked before each thing that is said;
        `begin` is so too, right before the message itself.
        """
        parameters, plain, size = "", body.isascii(), self.extensions.get("SIZE", "")
        if "SIZE" in self.extensions:
            parameters += f" SIZE={len(body)}"
        if not plain and "8BITMIME" not in self.extensions:
            raise Declined(554, "the server takes no eight-bit text")
        if not plain:
            parameters += " BODY=8BITMIME"
        if size.isdigit() and 0 < int(size) < len(body):
            raise Declined(552, "the server takes no message of that size")
        lines = [f"MAIL FROM:<{sender}>{parameters}", *(f"RCPT TO:<{one}>" for one in recipients)]
        check()
        yield from self._agree(lines, until)
        check()
        yield from self._say("DATA", until)
        yield from self.expect(3, until)
        begin()
        by = self.attempt.by if self.attempt is not None else []
        yield from self.connection.send(stuffed(body), min([until, *by]))
        self.written = True
        if self.attempt is not None:
            self.attempt.written = self.connection.loop.now()
        answers: list[tuple[int, str]] = []
        for _ in recipients if self.lmtp else [None]:
            code, texts = yield from self.reply(until)
            if 300 <= code < 400:
                raise Broken(f"reply out of turn: {code}")
            if self.attempt is not None and not answers:
                self.attempt.first = self.connection.loop.now()
            self.proven = self._is_new(code, texts) and self.proven
            answers.append((code, " ".join(texts)))
        self.answers = answers

    def _agree(self, lines: list[str], until: float) -> Coroutine[None]:
        """The envelope, in one go where the server allows it; all of it is agreed or none."""
        if "PIPELINING" in self.extensions:
            yield from self._say("\r\n".join(lines), until)
        declined: Optional[Declined] = None
        for line in lines:
            if "PIPELINING" not in self.extensions:
                if declined is not None:
                    break
                yield from self._say(line, until)
            try:
                yield from self.expect(2, until)
            except Declined as error:
                declined = declined or error
        if declined is not None:
            raise declined


class MailCarrier(Carrier[MailClient]):
    """Carries attempts to endpoints as mail transactions."""

    def __init__(self, loop: Loop, exchange: Exchange, setup: config.Mail, most_idle: int) -> None:
        super().__init__(loop, exchange, most_idle)
        self.setup = setup

    def configure(self, setup: config.Mail) -> None:
        """Follow another file: its endpoints are announced, and those it leaves out are gone."""
        old, self.setup = self.setup, setup
        now = {instance_name(i) for i in setup.instances}
        self._announce([i for i in old.instances if instance_name(i) not in now], gone=True)
        self.announce()

    def announce(self) -> None:
        """Tell the exchange the endpoints that the file lists."""
        self._announce(self.setup.instances)

    def _announce(self, endpoints: Iterable[config.MailInstance], gone: bool = False) -> None:
        self.exchange.endpoints_known(
            api.ListKind.DELTA,
            [
                Endpoint(
                    instance_name(i),
                    i.dest,
                    i.address,
                    config.MAIL_KIND,
                    i.zone,
                    gone=gone,
                    rate=i.rate,
                    carrier="mail",
                )
                for i in endpoints
            ],
        )

    def _drop(self, client: MailClient) -> None:
        if not (client.leaving or client.connection.stale):
            client.connection.outbound.append(b"QUIT\r\n")
            client.connection.flush()
        client.connection.close()

    def _converse(self, _kept: Optional[MailClient], attempt: Attempt) -> Coroutine[Optional[MailClient]]:
        entry, until = attempt.parts[0], attempt.until
        outcome, wait, over, later = Outcome.CONNECT_FAILED, 0.0, "", False
        client: Optional[MailClient] = None
        try:
            connection = yield from self._connect(attempt)
            lmtp = attempt.endpoint.name.startswith("lmtp:")
            client = MailClient(connection, lmtp, self.setup.hostname)
            yield from client.greet(until)
            yield from self._deliver(client, attempt)
            outcome, wait, over = yield from self._learn_end(client, until)
        except Declined as error:
            outcome, wait, over = judge(error.code, error.text, error.early)
        except Stopped as stopped:  # cut short, which undoes a transaction whatever it has come to
            outcome, later = Outcome.MOOT, isinstance(stopped, NoConnection)
            if client is not None:
                client.connection.close()
        except (Broken, Expired) as error:
            log.debug("attempt broke", extra={"endpoint": attempt.endpoint.name, "why": str(error)})
            if client is not None and client.written:  # the dot was sent: it may have taken effect
                outcome = Outcome.TIMEOUT if isinstance(error, Expired) else Outcome.RESET
                over = unproven_end(client.answers, client.surplus)
            elif isinstance(error, Expired):
                outcome = self._too_late(attempt)
                if client is not None:
                    client.connection.close()  # what has not left yet never does
        self.exchange.report(attempt, entry, outcome, wait, over, no_slot=later)
        if client is not None:
            self._drop(client)
        return None

    def _learn_end(self, client: MailClient, until: float) -> Coroutine[tuple[Outcome, float, str]]:
        """End the session, and return what became of its message."""
        if not client.proven:
            yield from client.leave(until)
            return verdict(client.answers, client.surplus)
        try:
            yield from client.leave(min(until, self.loop.now() + LEAVE_MS))
        except (Broken, Expired) as error:
            log.debug("session not left", extra={"why": str(error)})
        return verdict(client.answers)

    def _deliver(self, client: MailClient, attempt: Attempt) -> Coroutine[None]:
        """Hand the attempt's message over."""
        client.attempt = attempt
        client.calls += 1
        attempt.connection, attempt.place = client.connection.number, client.calls
        entry = attempt.parts[0]
        envelope, body = json.loads(entry.envelope), entry.body
        if self.setup.trace_headers:
            body = with_headers(body, self.exchange.trace_headers(attempt))
        yield from client.deliver(
            envelope["from"],
            envelope["to"],
            body,
            attempt.until,
            lambda: self._check(attempt),
            lambda: self._begin(attempt),
        )


def verdict(
    answers: list[tuple[int, str]], surplus: Sequence[tuple[int, str]] = ()
) -> tuple[Outcome, float, str]:
    """One end from the replies to the final dot, of which LMTP gives one for each recipient.

    With a surplus some are copies of earlier replies: only where all of them are positive is it sure.
    """
    if surplus and not all(200 <= code < 300 for code, _ in [*answers, *surplus]):
        return Outcome.ERROR, 0.0, ""
    bad = [answer for answer in answers if not 200 <= answer[0] < 300]
    if not bad:
        return Outcome.OK, 0.0, ""
    outcome, wait, over = judge(*min(bad, key=lambda answer: -answer[0]))
    if len(bad) < len(answers):  # some have it: the class says whether all may be sent it again
        return Outcome.ERROR, 0.0, ""
    return outcome, max(wait_in(text) for code, text in bad) if outcome is Outcome.FULL else wait, over


def unproven_end(answers: Sequence[tuple[int, str]], surplus: Sequence[tuple[int, str]]) -> str:
    """The message's end where its session ended without a proof that the replies were its own; or none.

    Guards a message that may have been taken against a second delivery, and one that may not against a word
    that it was: neither is sent again nor called delivered. With other replies its class decides.
    """
    alike = len({code // 100 for code, _ in answers}) == 1 and not surplus
    return FAILED if alike and answers[0][0] // 100 in (2, 5) else ""


def head_of(body: bytes) -> Message:
    """The header fields of a message."""
    return email.parser.BytesHeaderParser().parsebytes(re.split(rb"(?:^|\r\n)\r\n", body, maxsplit=1)[0])


def with_headers(body: bytes, headers: list[tuple[str, str]]) -> bytes:
    """The message with these header fields in front, in place of any it has of these names."""
    for name, _ in headers:
        field = rb"%s[ \t]*:[^\r]*\r\n(?:[ \t][^\r]*\r\n)*" % re.escape(name.encode())
        end = body.find(b"\r\n\r\n") + 2
        body = re.sub(rb"(?im)^" + field, b"", body[:end]) + body[end:]
    lines = "".join(f"{name.title()}: {value}\r\n" for name, value in headers).encode()
    if not headers or re.match(rb"[!-9;-~]+[ \t]*:|\r\n", body):
        return lines + body
    return lines + b"\r\n" + body  # it had no header fields at all


def instance_name(endpoint: config.MailInstance) -> str:
    return f"{endpoint.protocol}:{endpoint.dest}:{endpoint.address[0]}:{endpoint.address[1]}"
