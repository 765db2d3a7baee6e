"""Stand-ins for those around a courier: partners' endpoints, discovery with its notices, service clients.

They own what they were told and what they saw, and note it in `Edges` where they are given one. They must
never look into a courier: what they know has passed over a connection. They run on any loop, real or virtual.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Optional

from ashvale.lab.judge import Edges
from ashvale.loop import (
    FOREVER,
    Broken,
    Connection,
    Coroutine,
    Expired,
    Listener,
    Loop,
    Signal,
    connect,
    sleep,
)

HERE = "127.0.0.1"
LONG_MS = 20000.0
DROP, STALL = "drop", "stall"
WATCH_MS = 10_000.0  # a watch is answered after so long, with whatever there is

SETTINGS: dict[str, Any] = {
    "categories": [
        {
            "name": "usage-record",
            "repeat": "token",
            "key_scope": "all",
            "objective_ms": 2000,
            "give_up_ms": 16000,
            "dedup_window_ms": 6000,
            "late_worth": 0.3,
        },
        {"name": "rate-update", "repeat": "pure", "objective_ms": 2000, "give_up_ms": 28000},
    ],
    "models": ["hub", "direct"],
    "tenants": [{"name": "home"}],
    "zones": ["building-a"],
    "peers_total": 1,
    "family_info": {"max_calls": 8, "per_call": [10, 1], "routes_apart": [False, False]},
    "limits": {
        "most_tries": 8,
        "max_open": 50,
        "max_retry_after_ms": 3000.0,
        "retry_after": True,
        "connect_timeout_ms": 1000.0,
        "keepalive_ms": 15000.0,
    },
    "contract": {"drain_grace_ms": 2000.0},
    "tick_ms": 5.0,
    "weight_kind": "off",
}


@dataclass
class Call:
    """A request as a stand-in has read it."""

    path: str
    headers: dict[str, str]
    body: bytes
    at: float
    connection: int


def read_request(connection: Connection, loop: Loop, number: int) -> Coroutine[Call]:
    words = (yield from connection.line(4096, FOREVER)).decode().split()
    headers: dict[str, str] = {}
    while (line := (yield from connection.line(4096, FOREVER))) != b"\r\n":
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    while len(body) < int(headers.get("content-length", "0")):
        body += yield from connection.receive(FOREVER)
    return Call(words[1], headers, body, loop.now(), number)


def settings(changes: dict[str, Any]) -> dict[str, Any]:
    """`SETTINGS` with changes; those of a table leave the rest of it as it is."""
    return SETTINGS | {
        key: {**SETTINGS[key], **value} if isinstance(SETTINGS.get(key), dict) else value
        for key, value in changes.items()
    }


def answer(status: int, body: bytes = b"", **headers: Any) -> bytes:
    named = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} so\r\n{named}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Endpoint:
    """Answers each call by the next script line, and with 200 once they are used up."""

    def __init__(
        self,
        loop: Loop,
        *script: bytes | str,
        name: str = "",
        edges: Optional[Edges] = None,
        took: Callable[[], float] = lambda: 20.0,
    ) -> None:
        self.loop, self.script, self.name, self.edges, self.took = loop, list(script), name, edges, took
        self.marks = True  # the last answer of a connection says that it is
        self.ends = True  # a connection ends where the courier asks for that
        self.breaks = False  # an answer whose body is not whole ends its connection
        self.calls: list[Call] = []
        self.connections = self.out = self.most_out = 0
        self.listener = Listener(loop, (HERE, 0), self._serve, 100, "endpoint")
        self.dial = f"{HERE}:{self.listener.address[1]}"

    def _serve(self, connection: Connection) -> Coroutine[None]:
        self.connections += 1
        number = self.connections
        while True:
            call = yield from read_request(connection, self.loop, number)
            self.calls.append(call)
            self.out += 1
            self.most_out = max(self.most_out, self.out)
            action = self.script.pop(0) if self.script else self.usual(call)
            part = self._begins(call, connection)
            yield from self._works(connection, part, self.loop.now() + self.took())
            self.out -= 1
            if action == DROP:
                self._ends(part, "dropped")
                return connection.close()
            if action == STALL:
                yield from self._works(connection, part, FOREVER)
                yield Signal(), FOREVER
            data = action if isinstance(action, bytes) else action.encode()
            # A first line with 200 is a delivery, whatever comes of the rest; not so in a batch.
            told = b"\r\n\r\n" in data[9:] or (data[:12] == b"HTTP/1.1 200" and call.path == "/hook")
            self._ends(part, data[9:12].decode("latin-1") if told else "broken off", data)
            last = call.headers.get("connection") == "close" and self.ends
            if last and self.marks:
                data = data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
            yield from connection.send(data, FOREVER)
            if isinstance(action, bytes) and b"\r\n\r\n" not in action:
                return  # an answer that breaks off
            if isinstance(action, bytes) and self.breaks and self._is_cut(action):
                return
            if last:
                return

    @staticmethod
    def _is_cut(action: bytes) -> bool:
        """Whether an answer breaks off within its body."""
        head, _, body = action.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        return length is not None and len(body) < int(length[1])

    def _works(self, connection: Connection, part: list[int], until: float) -> Coroutine[None]:
        """A call takes its time, also when the courier has let go of it; that it has is noted at once."""
        while self.loop.now() < until:
            if connection.ended:
                self._ends(part, "let go")
                return (yield from sleep(self.loop, until - self.loop.now())) if until < FOREVER else None
            yield connection.changed, until

    def _begins(self, call: Call, connection: Connection) -> list[int]:
        """Note that the call's messages have come; a courier that lets go of the connection ends them."""
        if self.edges is None:
            return []
        ids = batch_ids(call.body) if call.path == "/hook/batch" else [call.headers["request-id"]]
        part = [self.edges.called(self.loop.now(), id, self.name) for id in ids]
        closes = connection.on_close

        def closed() -> None:
            self._ends(part, "let go")
            closes()

        connection.on_close = closed
        return part

    def _ends(self, part: list[int], how: str, data: bytes = b"") -> None:
        wait = data.lower().partition(b"retry-after: ")[2].partition(b"\r")[0]
        for number in part:
            if self.edges is not None:
                self.edges.call_ended(self.loop.now(), number, how, 1000.0 * float(wait or 0))

    @staticmethod
    def usual(call: Call) -> bytes:
        if call.path != "/hook/batch":
            return answer(200)
        return answer(200, b"".join(f"{name} delivered\r\n".encode() for name in batch_ids(call.body)))


def batch_ids(body: bytes) -> list[str]:
    """The ids in a batch, read as an endpoint would."""
    ids = []
    while body:
        line, _, rest = body.partition(b"\r\n")
        name, _key, size = line.decode().split(" ")
        ids.append(name)
        assert rest[int(size) : int(size) + 2] == b"\r\n"
        body = rest[int(size) + 2 :]
    return ids


class Discovery:
    """The agent: the list, a watch on it, and notices; silent while `down`."""

    def __init__(
        self, loop: Loop, edges: Optional[Edges] = None, address: tuple[str, int] = (HERE, 0)
    ) -> None:
        self.loop, self.edges = loop, edges
        self.seq, self.changed = 1, Signal()
        self.hosts = {"s-0": {"host": "s-0", "dial": f"{HERE}:9", "block": 1, "health": "DRAINING"}}
        self.down, self.refuse = False, 0
        self.script: Callable[[], str] = lambda: (
            ""
        )  # for each notice: DROP, STALL, or a status in place of 204
        self.unreadable = ""  # the id of a message whose notice is answered 400
        self.indent: Optional[int] = None
        self.notices: list[dict[str, Any]] = []
        self.asked: list[str] = []
        self.listener = Listener(loop, address, self._serve, 100, "discovery")

    def list(
        self, name: str, endpoint: Endpoint, block: int = 1, kind: str = "direct", health: str = "SERVING"
    ) -> None:
        self.hosts[name] = {
            "host": name,
            "dial": endpoint.dial,
            "site": "building-a",
            "class": kind,
            "block": block,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }
        self.seq += 1
        self.changed.fire()

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            call = yield from read_request(connection, self.loop, 0)
            if call.path == "/v1/notices":
                if action := self.script():
                    if action == STALL:
                        yield Signal(), FOREVER
                    if action == DROP:
                        return connection.close()
                    yield from connection.send(answer(int(action)), FOREVER)
                    continue
                self.refuse -= 1
                told = [json.loads(line) for line in call.body.splitlines()]
                if self.unreadable in [notice["id"] for notice in told]:
                    yield from connection.send(answer(400), FOREVER)
                    continue
                self.notices += told if self.refuse < 0 else []
                for notice in told:
                    if self.edges is not None and self.refuse < 0:
                        self.edges.noticed(self.loop.now(), notice["id"], notice["state"])
                    elif self.edges is not None:
                        self.edges.untold(self.loop.now(), notice["id"])
                yield from connection.send(answer(503 if self.refuse >= 0 else 204), FOREVER)
                continue
            self.asked.append(call.path)
            most = float(call.path.rpartition("timeout_ms=")[2]) if "timeout_ms=" in call.path else WATCH_MS
            until = self.loop.now() + min(most, WATCH_MS)
            while self.down or f"since={self.seq}&" in call.path:
                if not ((yield self.changed, FOREVER if self.down else until) or self.down):
                    break
            yield from connection.send(
                answer(200, json.dumps(self.whole(), indent=self.indent).encode()), FOREVER
            )


def request(
    cls: str, id: str, dest: int = 1, body: bytes = b"hello", timeout: str = "9000m", **headers: str
) -> bytes:
    named = {
        "Host": "origin.svc",
        "Request-Id": id,
        "Tenant": "home",
        "Request-Timeout": timeout,
        "X-Consignee": f"dest={dest}",
        "Idempotency-Key": f"k{id}",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in named.items() if value is not None)
    return f"POST /{cls} HTTP/1.1\r\n{lines}\r\n".encode() + body


def hand_in(
    loop: Loop,
    address: tuple[str, int],
    edges: Edges,
    cls: str,
    id: str,
    dest: int,
    timeout_ms: float,
    patience: int = 20,
) -> Coroutine[None]:
    """A service client with one message: it asks until it is answered 202, or refused, or its time is up."""
    until = loop.now() + timeout_ms
    edges.asked(loop.now(), id, cls, until)
    for _ in range(patience):
        try:
            connection = yield from connect(loop, address, loop.now() + 400.0)
            try:
                left = until - loop.now()
                yield from connection.send(request(cls, id, dest, timeout=f"{left:.0f}m"), loop.now() + 400.0)
                head = yield from connection.line(256, loop.now() + 400.0)
            finally:
                connection.close()
        except (Broken, Expired):
            edges.unanswered(loop.now(), id)
            if until - loop.now() < 1000.0:
                return
            yield from sleep(loop, 250.0)
            continue
        edges.answered(loop.now(), id, head[9:12].decode("latin-1"))
        return


def run(loop: Loop, steps: Coroutine[Any], limit_ms: float = 60000.0) -> Any:
    """Run the loop until the coroutine has ended; return what it returned, or raise what it raised."""
    result: list[Any] = []
    faults: list[BaseException] = []

    def whole() -> Coroutine[None]:
        try:
            result.append((yield from steps))
        except Exception as error:  # handed on to the caller
            faults.append(error)

    task, end = loop.spawn(whole(), "steps"), loop.now() + limit_ms
    while not task.done:
        if loop.now() > end:
            task.cancel()
            raise Expired("the case has not ended in time")
        loop.turn(50.0)
    if faults:
        raise faults[0]
    return result[0]
