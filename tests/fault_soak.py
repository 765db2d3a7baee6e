"""A seeded soak: real couriers whose calls fail now and then, killed and told to end in series.

`python -m tests.fault_soak FIRST COUNT [LOGS]` plays seeds by hand. Each prints every rule that was broken at
the couriers' edges, with what explains it, and keeps their logs. What is done is drawn from the seed; the
moments at which the machine does it are its own.
"""

from __future__ import annotations

import errno
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from ashvale.lab.rig import free_ports
from ashvale.lab.stand_ins import DROP, HERE, Call, Discovery, Endpoint, answer, request, settings
from ashvale.loop import FOREVER, Broken, Connection, Coroutine, Expired, Loop, connect, sleep
from tests.faults import Fault, shim, tracebacks

COURIERS, CLIENTS, CROWD = 3, 4, 150
SENDING_MS, TIMEOUT_MS = 9000.0, 6000.0  # how long clients send, and how long a message may be delivered
ANSWER_MS = 2000.0  # a request without an answer for so long has none
LATE_MS, AFTER_READY_MS = 300.0, 1500.0  # an end may come so late, and so long after a restart (PROTOCOL)
READY_MS, END_MS = 10_000.0, 3700.0  # a start, and an end, take no longer
READ_MS = 100.0  # a courier has read an answer within this
DOWN_MS = 600.0  # a killed courier begins again after so long
SOCKETS = 256
ONCE = {"name": "once-only", "repeat": "side_effect", "objective_ms": 2000, "give_up_ms": 16000}
KEYED = {"name": "usage-record", "repeat": "token", "key_scope": "all", "objective_ms": 2000}
KEYED |= {"give_up_ms": 16000, "dedup_window_ms": 6000, "late_worth": 0.3}
SAFE = {"name": "rate-update", "repeat": "pure", "objective_ms": 2000, "give_up_ms": 28000}
POOL = (
    ("write", errno.ENOSPC, True),
    ("write", errno.EIO, False),
    ("truncate", errno.EIO, False),
    ("create", errno.ENOSPC, False),
    ("create", errno.EMFILE, False),
    ("rename", errno.EIO, False),
    ("unlink", errno.EIO, False),
    ("open", errno.ENFILE, False),
    ("read", errno.EIO, False),
    ("stat", errno.EIO, False),
    ("flock", errno.ENOLCK, False),
    ("close", errno.EIO, False),
    ("config", errno.EMFILE, False),
    ("socket", errno.ENOBUFS, False),
    ("bind", errno.EADDRINUSE, False),
    ("listen", errno.EADDRINUSE, False),
    ("connect", errno.EAGAIN, False),
    ("accept", errno.EMFILE, False),
    ("accept", errno.ECONNABORTED, False),
    ("setsockopt", errno.ENOBUFS, False),
    ("getsockopt", errno.ENOBUFS, False),
    ("recv", errno.ENOMEM, False),
    ("recv", errno.EINTR, False),
    ("recv_short", 0, False),
    ("send", errno.ENOBUFS, False),
    ("send_short", 0, False),
    ("shutdown", errno.ENOBUFS, False),
    ("close_socket", errno.EIO, False),
    ("epoll_create", errno.EMFILE, False),
    ("epoll_add", errno.ENOMEM, False),
    ("epoll_mod", errno.ENOMEM, False),
    ("epoll_del", errno.ENOMEM, False),
    ("epoll_wait", errno.EINTR, False),
    ("pipe", errno.EMFILE, False),
    ("wake", errno.EIO, False),
)


@dataclass
class Message:
    """One message, and what became of it at the edges; times on the run's loop (ms)."""

    id: str
    cls: str
    body: bytes = field(repr=False)
    courier: int
    sent: float
    until: float
    status: str = ""
    answered: float = 0.0
    ran: list[float] = field(default_factory=list)  # calls that may have run
    delivered: list[float] = field(default_factory=list)  # calls that were answered 200
    told: list[tuple[float, str]] = field(default_factory=list)
    called: list[float] = field(default_factory=list)  # calls, whatever became of them
    final: int = 0  # the status with which endpoints say that no further call is to be made
    heard: list[float] = field(default_factory=list)  # when its courier was told that

    @property
    def end(self) -> float:
        return min([*self.ran, *(at for at, _ in self.told)], default=FOREVER)


class WatchedEndpoint(Endpoint):
    """An endpoint that drops or refuses some calls, and tells the run what it read."""

    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run.loop, took=lambda: random.uniform(*run.TOOK_MS))
        self.run, self.random = run, random
        self.usual = self._answer  # type: ignore[method-assign]

    def _answer(self, call: Call) -> bytes:
        draw, message = self.random.random(), self.run.messages.get(call.headers.get("request-id", ""))
        if message is not None and draw >= 1.0 - self.run.FINAL and not message.final:
            message.final = self.random.choice((410, 504))
        if message is not None and message.final:
            self.run.called(call, False, False)
            return answer(message.final)
        refused, dropped = draw < self.run.REFUSED, draw < self.run.REFUSED + 0.03
        self.run.called(call, not refused, not dropped)
        return answer(503) if refused else DROP if dropped else answer(200)  # type: ignore[return-value]

    def _serve(self, connection: Connection) -> Coroutine[None]:
        try:
            yield from super()._serve(connection)
        except (Broken, Expired):
            raise
        except Exception as error:
            self.run.broke(f"an endpoint read what is no call: {error!r}")


class Courier:
    """One courier over its lives."""

    def __init__(self, run: Run, number: int, port: int, random: Random) -> None:
        self.run, self.number, self.port, self.random = run, number, port, random
        self.folder = run.folder / f"n{number}"
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.life, self.ready, self.ending = 0, False, False
        self.down: list[tuple[float, float]] = []  # from a signal until it was ready again
        rules = random.sample(POOL, 6)
        self.faults = [Fault(call, error, random.choice((50, 150, 300)), half) for call, error, half in rules]

    @property
    def log(self) -> Path:
        return self.folder / "log"

    def fail(self, on: bool) -> None:
        gate = self.folder / "gate"
        gate.touch() if on else gate.unlink(missing_ok=True)

    def start(self) -> Coroutine[None]:
        loop, began = self.run.loop, self.run.loop.now()
        told = {
            "LB_CONFIG": str(self.run.folder / "config.json"),
            "LB_STATE": str(self.folder / "state"),
            "LB_LISTEN": f"{HERE}:{self.port}",
            "LB_DISCOVERY": self.run.agent,
            "LD_PRELOAD": str(shim()),
            "FAULTS": ",".join(map(str, self.faults)),
            "FAULTS_SEED": str(self.run.seed * 100 + self.number * 10 + self.life),
            "FAULTS_GATE": str(self.folder / "gate"),
            "FAULTS_FOLDER": str(self.folder / "state"),
        }
        (self.folder / "state").mkdir(exist_ok=True)
        self.life, self.ready, self.ending = self.life + 1, False, False
        life = self.life
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "ashvale"], stderr=log, env={**os.environ, **told}
            )
        while self.life == life and self.process.poll() is None:
            if (yield from self._is_up()):
                self.ready = True
                if self.down and self.down[-1][1] == FOREVER:
                    self.down[-1] = self.down[-1][0], loop.now()
                if loop.now() - began > READY_MS:
                    self.run.broke(f"n{self.number} was ready after {loop.now() - began:.0f} ms")
                return
            yield from sleep(loop, 20.0)
        if self.life == life and self.process.returncode != -signal.SIGKILL:
            self.run.broke(f"n{self.number} did not start: {self.process.returncode}")

    def _is_up(self) -> Coroutine[bool]:
        loop = self.run.loop
        try:
            connection = yield from connect(loop, (HERE, self.port), loop.now() + 500.0)
            try:
                yield from connection.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n", loop.now() + 500.0)
                return (yield from connection.receive(loop.now() + 500.0)).startswith(b"HTTP/1.1 200 ")
            finally:
                connection.close()
        except (Broken, Expired):
            return False

    def watch(self) -> Coroutine[None]:
        """A process that ends by itself has crashed, unless it was told to."""
        while True:
            process = self.process
            if process is not None and self.ready and not self.ending and process.poll() is not None:
                self.run.broke(f"n{self.number} crashed: exited with {process.returncode}")
                self.ready = False
            yield from sleep(self.run.loop, 20.0)

    def kill(self) -> None:
        assert self.process is not None
        if not self.down or self.down[-1][1] < FOREVER:
            self.down.append((self.run.loop.now(), FOREVER))
        self.ending, self.ready, self.life = True, False, self.life + 1
        self.process.kill()
        self.process.wait()

    def leave(self) -> Coroutine[None]:
        """SIGTERM; at the page's earliest SIGKILL, which must find it ended."""
        loop, process = self.run.loop, self.process
        assert process is not None
        self.down.append((loop.now(), FOREVER))
        self.ending = True
        process.send_signal(signal.SIGTERM)
        until = loop.now() + END_MS
        while process.poll() is None and loop.now() < until:
            yield from sleep(loop, 10.0)
        if process.poll() is None:
            self.run.broke(f"n{self.number} had not ended {END_MS:.0f} ms after SIGTERM")
        elif process.returncode != 0:
            self.run.broke(f"n{self.number} ended with {process.returncode} after SIGTERM")
        self.kill()

    def troubles(self) -> Coroutine[None]:
        """Restarts in series, with calls failing on and off."""
        loop, random = self.run.loop, self.random
        yield from sleep(loop, random.uniform(1500.0, 3000.0))
        while loop.now() < self.run.until:
            how = random.choice(("kill", "series", "leave"))
            if how == "leave":
                yield from self.leave()
            else:
                self.kill()
            for _ in range(random.randrange(1, 4) if how == "series" else 0):
                yield from sleep(loop, DOWN_MS)
                self.run.loop.spawn(self.start(), "start")
                yield from sleep(loop, random.uniform(20.0, 500.0))
                self.kill()
            yield from sleep(loop, DOWN_MS)
            yield from self.start()
            yield from sleep(loop, random.uniform(1500.0, 3500.0))

    def flicker(self) -> Coroutine[None]:
        loop, random = self.run.loop, self.random
        while loop.now() < self.run.until:
            self.fail(True)
            yield from sleep(loop, random.uniform(200.0, 1500.0))
            self.fail(False)
            yield from sleep(loop, random.uniform(200.0, 900.0))


class Run:
    """One run of a seed, from its start to its verdict."""

    TOOK_MS = (2.0, 30.0)  # an endpoint's work
    REFUSED = 0.03  # part of the calls that an endpoint refuses
    FINAL = 0.0  # part of the calls that an endpoint answers with 410 or 504, then and from then on

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed, self.folder, self.loop = seed, folder, Loop()
        random = Random(seed)
        self.broken: list[str] = []
        self.messages: dict[str, Message] = {}
        self.discovery = Discovery(self.loop)
        self.endpoints = [WatchedEndpoint(self, Random(random.random())) for _ in range(3)]
        for number, endpoint in enumerate(self.endpoints):
            self._reached(endpoint)
            self.discovery.list(f"s-{number}", endpoint, 1 + number % 2)
        self.agent = f"{HERE}:{self.discovery.listener.address[1]}"
        told: dict[str, Any] = settings({"categories": [SAFE, KEYED, ONCE], "limits": {"max_open": 400}})
        limits = {"disk_mb": random.choice((0.3, 3)), "sockets": SOCKETS}
        (folder / "config.json").write_text(
            json.dumps({"settings": told, "limits": limits, "known": self.discovery.whole()})
        )
        self.couriers = [
            Courier(self, number, port, Random(random.random()))
            for number, port in enumerate(free_ports(COURIERS))
        ]
        self.crowded, self.random = random.random() < 0.3, random
        self.until = self.loop.now() + SENDING_MS
        self._heard = 0

    def _reached(self, endpoint: Endpoint) -> None:
        """Say how couriers reach an endpoint, before it is listed."""

    def _ended(self, message: Message) -> float:
        """When a message had its end; infinite where it had none."""
        return message.end

    def broke(self, what: str) -> None:
        self.broken.append(f"{self.loop.now() - self.until + SENDING_MS:.0f} ms: {what}")

    def called(self, call: Call, may_run: bool, delivered: bool) -> None:
        message = self.messages.get(call.headers.get("request-id", ""))
        if message is None or call.body != message.body:
            return self.broke(f"an endpoint got what no client sent: {call.headers} {call.body[:40]!r}")
        message.called.append(self.loop.now())
        if may_run:
            message.ran.append(self.loop.now())
        if delivered:
            message.delivered.append(self.loop.now())

    def _listen(self) -> Coroutine[None]:
        """Note each notice when it comes."""
        while True:
            for notice in self.discovery.notices[self._heard :]:
                if (message := self.messages.get(notice["id"])) is None:
                    self.broke(f"a notice of what no client sent: {notice}")
                else:
                    message.told.append((self.loop.now(), notice["state"]))
            self._heard = len(self.discovery.notices)
            yield from sleep(self.loop, 5.0)

    def _client(self, courier: Courier, number: int, random: Random) -> Coroutine[None]:
        connection: Connection | None = None
        count = 0
        while self.loop.now() < self.until:
            yield from sleep(self.loop, random.expovariate(1 / 120.0))
            count += 1
            cls = random.choice(("rate-update", "usage-record", "once-only"))
            id = f"c{courier.number}-{number}-{count}"
            body = random.randbytes(random.choice((0, 5, 200, 3000)))
            now = self.loop.now()
            message = Message(id, cls, body, courier.number, now, now + TIMEOUT_MS)
            self.messages[id] = message
            connection = yield from self._hand_in(courier, connection, message, random.choice((1, 2)))
        if connection is not None:
            connection.close()

    def _hand_in(
        self, courier: Courier, connection: Connection | None, message: Message, dest: int
    ) -> Coroutine[Connection | None]:
        """Send one request, again on a new connection where an older one ended under it, as clients do."""
        data = request(message.cls, message.id, dest, message.body, f"{TIMEOUT_MS:.0f}m")
        for used in (True, False) if connection is not None else (False,):
            life = courier.life
            try:
                if connection is None or not used:
                    connection = yield from connect(self.loop, (HERE, courier.port), self.loop.now() + 500.0)
            except (Broken, Expired):
                return None
            head, why = b"", "the connection ended"
            try:
                yield from connection.send(data, self.loop.now() + ANSWER_MS)
                while b"\r\n\r\n" not in head:
                    part = yield from connection.receive(self.loop.now() + ANSWER_MS)
                    if not part:
                        break
                    head += part
            except Broken:
                pass
            except Expired:
                why = f"nothing for {ANSWER_MS:.0f} ms"
            if b"\r\n\r\n" in head:
                message.status, message.answered = head[9:12].decode("latin-1"), self.loop.now()
                if message.status not in ("202", "429", "503"):
                    self.broke(f"{message.id} was answered {head[:60]!r}")
                if b"onnection: close" in head:
                    connection.close()
                    return None
                return connection
            connection.close()
            if not used and life == courier.life and not courier.ending:
                self.broke(f"{message.id} has no answer from n{courier.number}: {why}")
        return None

    def _crowd(self, courier: Courier) -> Coroutine[None]:
        """Connections that say nothing, as many as the descriptors' share and more."""
        held: list[Connection] = []
        while self.loop.now() < self.until:
            held = [connection for connection in held if not connection.stale]
            try:
                if len(held) < CROWD:
                    where = (HERE, courier.port)
                    held.append((yield from connect(self.loop, where, self.loop.now() + 200.0)))
            except (Broken, Expired):
                pass
            yield from sleep(self.loop, 10.0)
        for connection in held:
            connection.close()

    def play(self) -> list[str]:
        """Play it; return what was broken."""
        loop, random = self.loop, self.random
        loop.spawn(self._listen(), "notices")
        for courier in self.couriers:
            courier.fail(False)
            loop.spawn(courier.start(), "start")
        self._until(lambda: all(c.ready for c in self.couriers), READY_MS)
        for courier in self.couriers:
            for steps in (courier.watch(), courier.flicker(), courier.troubles()):
                loop.spawn(steps, "courier")
            for number in range(CLIENTS):
                loop.spawn(self._client(courier, number, Random(random.random())), "client")
        if self.crowded:
            loop.spawn(self._crowd(self.couriers[0]), "crowd")
        self.until = loop.now() + SENDING_MS
        self._until(lambda: loop.now() >= self.until + 500.0, SENDING_MS + 5000.0)
        for courier in self.couriers:
            courier.fail(False)
        owed = [m for m in self.messages.values() if m.status == "202"]
        self._until(
            lambda: all(c.ready for c in self.couriers) and all(self._ended(m) < FOREVER for m in owed),
            3 * TIMEOUT_MS,
        )
        for courier in self.couriers:
            self._end(courier)
        self._judge(owed)
        return self.broken

    def _until(self, condition: Callable[[], bool], limit_ms: float) -> None:
        end = self.loop.now() + limit_ms
        while not condition() and self.loop.now() < end:
            self.loop.turn(10.0)

    def _end(self, courier: Courier) -> None:
        task = self.loop.spawn(courier.leave(), "leave")
        self._until(lambda: task.done, 2 * END_MS)
        for line in tracebacks(courier.log.read_text(errors="replace")):
            self.broke(f"n{courier.number} logged {line[-400:]}")

    def _judge(self, owed: list[Message]) -> None:
        for message in owed:
            downs = [(a, b) for a, b in self.couriers[message.courier].down if b > message.sent]
            allowed = message.until + LATE_MS
            for start, ready in downs:
                if start <= allowed and ready < FOREVER:
                    allowed = max(allowed, ready + AFTER_READY_MS)
            if (end := self._ended(message)) > allowed:
                self.broke(f"{message} ended {end - message.until:.0f} ms late; down: {downs}")
        for message in self.messages.values():
            if message.cls == "once-only" and len(message.ran) > 1:
                self.broke(f"{message} may run once and ran {len(message.ran)} times")
            if message.cls == "usage-record" and message.ran and max(message.ran) - message.ran[0] > 6000.0:
                self.broke(f"{message} ran again outside its window")
            if message.told and any(at > message.told[0][0] for at in message.ran):
                self.broke(f"{message} ran after its end was told")
            downs = self.couriers[message.courier].down
            for at in message.heard:
                unread = any(start - READ_MS <= at <= ready for start, ready in downs)
                if not unread and any(again > at + READ_MS for again in message.called):
                    self.broke(f"{message} was called again after {message.final}")

    def close(self) -> None:
        for courier in self.couriers:
            if courier.process is not None and courier.process.poll() is None:
                courier.process.kill()
                courier.process.wait()
        for listener in (self.discovery.listener, *(e.listener for e in self.endpoints)):
            listener.close()
            for connection in list(listener.open):
                connection.close()
        self.loop.close()


def play(seed: int, logs: Path | None = None, kind: type[Run] = Run) -> tuple[list[str], str]:
    """Play a seed; return what was broken, and a line of counts."""
    with tempfile.TemporaryDirectory() as folder:
        run = kind(seed, Path(folder))
        try:
            broken = run.play()
        finally:
            run.close()
        if broken and logs is not None:
            for courier in run.couriers:
                (logs / f"{seed}-n{courier.number}.log").write_bytes(courier.log.read_bytes())
        statuses = [message.status or "none" for message in run.messages.values()]
        lives = sum(len(courier.down) for courier in run.couriers)
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        return broken, f"{counts} restarts={lives} crowd={run.crowded}"


def main(kind: type[Run]) -> int:
    """Play seeds as the command line says: the first, how many, and a folder for logs."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    where = Path(sys.argv[3]) if len(sys.argv) > 3 else None
    bad = 0
    for seed in range(first, first + count):
        found, counts = play(seed, where, kind)
        bad += bool(found)
        print(f"seed {seed}: {len(found)} broken, {counts}", flush=True)
        for what in found[:20]:
            print("   ", what, flush=True)
    print(f"{count} seeds, {bad} with broken rules")
    return bad


if __name__ == "__main__":
    sys.exit(bool(main(Run)))
