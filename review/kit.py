"""What the cases of the review share: stand-ins for the agent, endpoints and clients, and couriers.

The stand-ins follow PROTOCOL-ashvale.md and know only what has passed over a connection. A courier is a
process of its own, started by the `run` line of deploy/balancer.toml. Needs the standard library alone.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Optional

ROOT = Path(__file__).resolve().parent.parent
HERE = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT = 0, 1, 2


def now() -> float:
    """Milliseconds on the machine's monotonic clock."""
    return time.monotonic() * 1000.0


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, after WIRE-ashvale.md's example; those of a table are merged."""
    base: dict[str, Any] = {
        "categories": [usage_record(), rate_update()],
        "clients": {"marks_retry": True},
        "contract": {
            "answer_slack_ms": 20.0,
            "ask_within_ms": 10000.0,
            "cold_share": 0.19,
            "drain_grace_ms": 2000.0,
            "overload_factor": 2.0,
            "overload_for_ms": 3000.0,
            "warm_up_ms": 11000.0,
        },
        "counted_by": "request",
        "family_info": {
            "fades": "linear",
            "max_calls": 19,
            "per_call": [10, 1, 1],
            "refusal_cost": 0.05,
            "routes_apart": [False, False, False],
            "zone_fee": [0.0, 0.0],
        },
        "limits": {
            "connect_timeout_ms": 1000.0,
            "keepalive_ms": 15000.0,
            "max_open": 409,
            "max_retry_after_ms": 3000.0,
            "may_cancel": True,
            "most_tries": 8,
            "peers": False,
            "probing": False,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1,
        },
        "membership_mode": "automatic",
        "models": ["hub", "direct", "small-mvno"],
        "over_share_worth": 0.2,
        "peers_total": 2,
        "report": {"fields": [], "source": "off"},
        "slot_no": 0,
        "tenants": [
            {"name": "kempen-mobiel", "portion": 0.47, "quota_per_s": 30.0},
            {"name": "ardenne-tel", "portion": 0.34, "quota_per_s": 22.0},
        ],
        "tick_ms": 5.0,
        "weight_kind": "rough",
        "workload": "deliver",
        "zone": 0,
        "zones": ["building-a", "building-b"],
    }
    for key, value in changes.items():
        base[key] = {**base[key], **value} if isinstance(base.get(key), dict) else value
    return base


def usage_record(**changes: Any) -> dict[str, Any]:
    return {
        "name": "usage-record",
        "repeat": "token",
        "key_scope": "all",
        "dedup_window_ms": 6000.0,
        "give_up_ms": 16000.0,
        "objective_ms": 2000.0,
        "late_worth": 0.3,
        "stream": False,
        "worth": 1.0,
        **changes,
    }


def rate_update(**changes: Any) -> dict[str, Any]:
    return {
        "name": "rate-update",
        "repeat": "pure",
        "key_scope": "all",
        "dedup_window_ms": 5000.0,
        "give_up_ms": 28000.0,
        "objective_ms": 2000.0,
        "late_worth": 0.4,
        "stream": False,
        "worth": 1.0,
        **changes,
    }


class Record:
    """What was sent, answered and run, a line each, in `record.txt` of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = now()

    def note(self, what: str, **facts: Any) -> None:
        said = " ".join(f"{key}={value}" for key, value in facts.items())
        self.file.write(f"{now() - self.began:10.1f} {what} {said}".rstrip() + "\n")
        self.file.flush()

    def say(self, line: str) -> None:
        """A line of the verdict."""
        self.file.write(line + "\n")
        self.file.flush()
        print(line)


# Reading HTTP/1.1


@dataclass
class Request:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float


async def read_request(reader: asyncio.StreamReader) -> Optional[Request]:
    """The next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, path, _ = first.split(" ")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, path, headers, body, now())


def answer(status: int, body: bytes = b"", **headers: Any) -> bytes:
    named = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} x\r\n{named}Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as the end of a process does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Host:
    """Something that listens; its connections are ended with it."""

    def __init__(self) -> None:
        self.server: Optional[asyncio.Server] = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._accept, HERE, self.port, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """As the end of its process: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.writers.add(writer)
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


# The platform's agent


class Agent(Host):
    """Discovery and notices, at one address."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.seq = 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.notices: list[tuple[float, dict[str, Any]]] = []

    def list(self, *entries: dict[str, Any]) -> None:
        """Tell new entries, changed ones, or ends (`health` DELETED), in one version."""
        self.seq += 1
        for entry in entries:
            self.record.note("list", seq=self.seq, host=entry["host"], health=entry["health"])
            if entry["health"] == "DELETED":
                self.hosts.pop(entry["host"], None)
            else:
                self.hosts[entry["host"]] = entry
            self.changes.append((self.seq, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def ended(self, id: str) -> Optional[tuple[float, str]]:
        """When the first notice of a message came, and what it said."""
        for at, notice in self.notices:
            if notice["id"] == id:
                return at, notice["state"]
        return None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            if request.path == "/v1/notices":
                try:
                    told = [json.loads(line) for line in request.body.splitlines()]
                except ValueError:
                    writer.write(answer(400))
                    continue
                for notice in told:
                    self.notices.append((now(), notice))
                    self.record.note("notice", **notice)
                writer.write(b"HTTP/1.1 204 x\r\n\r\n")
            else:
                writer.write(answer(200, json.dumps(await self._hosts(request.path)).encode()))
            await writer.drain()
            if request.headers.get("connection", "").lower() == "close":
                return

    async def _hosts(self, path: str) -> dict[str, Any]:
        since = re.search(r"since=(\d+)", path)
        wait = re.search(r"timeout_ms=(\d+)", path)
        if since is None:
            return self.whole()
        known, until = int(since[1]), now() + min(60000.0, float(wait[1]) if wait else 0.0)
        while self.seq <= known and now() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), (until - now()) / 1000.0)
            except TimeoutError:
                break
        changes = {entry["host"]: entry for seq, entry in self.changes if seq > known}
        return {"seq": self.seq, "whole": False, "hosts": list(changes.values())}


# Endpoints


@dataclass
class Call:
    """One call as an endpoint read it; `ids` with their keys and bodies."""

    at: float
    endpoint: str
    path: str
    ids: list[str]
    keys: list[str]
    bodies: list[bytes]
    size: int
    connection: int
    status: str = "out"
    ended: float = 0.0


def read_batch(body: bytes) -> tuple[list[str], list[str], list[bytes]]:
    ids, keys, bodies = [], [], []
    while body:
        line, _, rest = body.partition(b"\r\n")
        id, key, size = line.decode().split(" ")
        ids.append(id)
        keys.append(key)
        bodies.append(rest[: int(size)])
        if rest[int(size) : int(size) + 2] != b"\r\n":
            raise ValueError("a batch that cannot be read")
        body = rest[int(size) + 2 :]
    return ids, keys, bodies


BODY_MOST = 64 * 1024  # 'A body holds at most 64 KiB'


class Endpoint(Host):
    """An endpoint of a partner: it delivers after `took_ms`, unless `does` says otherwise.

    `does` is given a call and returns the whole answer; None to say nothing and leave the connection open,
    b"" to reset it. What a call counted as is noted.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        dest: int,
        kind: str = "direct",
        share: float = 10.0,
        took_ms: float = 40.0,
    ) -> None:
        super().__init__()
        self.record, self.name, self.dest, self.kind, self.share, self.took_ms = (
            record,
            name,
            dest,
            kind,
            share,
            took_ms,
        )
        self.calls: list[Call] = []
        self.ran: dict[str, list[float]] = {}
        self.connections = 0
        self.does: Callable[[Call], Awaitable[Optional[bytes]]] = self.deliver

    def entry(self, health: str = "SERVING", born_ms: float = 0) -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": f"{HERE}:{self.port}",
            "site": "building-a",
            "class": self.kind,
            "block": self.dest,
            "health": health,
            "share": self.share,
            "born_ms": born_ms,
        }

    def run(self, call: Call) -> None:
        """The call's messages take effect now."""
        for id in call.ids:
            self.ran.setdefault(id, []).append(now())
            self.record.note("run", endpoint=self.name, id=id)

    async def deliver(self, call: Call) -> Optional[bytes]:
        await asyncio.sleep(self.took_ms / 1000.0)
        self.run(call)
        return self.delivered(call)

    @staticmethod
    def delivered(call: Call) -> bytes:
        if call.path == "/hook":
            return answer(200)
        return answer(200, "".join(f"{id} delivered\r\n" for id in call.ids).encode())

    async def _carry_out(self, call: Call, reader: asyncio.StreamReader) -> Optional[bytes]:
        """What the call is answered; None once the courier has let go of its connection. The work goes on."""
        work = asyncio.ensure_future(self.does(call))
        end = asyncio.ensure_future(reader.read(1))  # nothing comes before the answer but the end
        WORK.add(work)
        work.add_done_callback(WORK.discard)
        try:
            await asyncio.wait({work, end}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done() or work.result() is None:
                await end
                return None
            return work.result()
        finally:
            end.cancel()
            await asyncio.wait({end})

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        while (request := await read_request(reader)) is not None:
            if request.method == "GET":  # a probe
                self.record.note("probe", endpoint=self.name, path=request.path)
                writer.write(answer(200, b"TEXT x0=0.4, x1=25" if request.path == "/metrics/load" else b""))
                continue
            if request.path == "/hook/batch":
                try:
                    ids, keys, bodies = read_batch(request.body)
                except ValueError:
                    writer.write(answer(400))
                    continue
            else:
                ids = [request.headers.get("request-id", "")]
                keys = [request.headers.get("idempotency-key", "-")]
                bodies = [request.body]
            call = Call(request.at, self.name, request.path, ids, keys, bodies, len(request.body), number)
            self.calls.append(call)
            self.record.note(
                "call",
                endpoint=self.name,
                connection=number,
                path=call.path,
                bytes=call.size,
                ids=",".join(ids),
            )
            try:
                data = await self._carry_out(call, reader)
            except (ConnectionError, asyncio.CancelledError):
                call.status, call.ended = "reset", now()
                raise
            if data is None:
                call.status, call.ended = "let go", now()
                self.record.note("let go", endpoint=self.name, ids=",".join(ids))
                return
            if data == b"":
                call.status, call.ended = "reset", now()
                self.record.note("reset", endpoint=self.name, ids=",".join(ids))
                return reset(writer)
            last = request.headers.get("connection", "").lower() == "close"
            if last:
                data = data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
            writer.write(data)
            await writer.drain()
            call.status, call.ended = data[9:12].decode(), now()
            self.record.note("answer", endpoint=self.name, status=call.status, ids=",".join(ids))
            if last:
                return


WORK: set[asyncio.Future[Optional[bytes]]] = set()  # of calls, kept until it is done


# Couriers


def run_line() -> str:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return str(deploy["run"])


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HERE, 0))
        return int(sock.getsockname()[1])


class Courier:
    """One courier under its name and address, with the folder that outlasts its processes."""

    def __init__(self, record: Record, folder: Path, name: str, agent: Agent, told: dict[str, Any]) -> None:
        self.record, self.name, self.agent, self.told = record, name, agent, told
        self.port, self.folder = free_port(), folder / name
        self.state = self.folder / "state"
        self.state.mkdir(parents=True)
        self.operator = 0
        self.more: dict[str, str] = {}
        self.known: Optional[dict[str, Any]] = None
        self.process: Optional[asyncio.subprocess.Process] = None
        self.starts = 0

    def configure(self) -> None:
        """Write the file that LB_CONFIG names."""
        known = self.known if self.known is not None else self.agent.whole()
        config: dict[str, Any] = {
            "name": self.name,
            "listen": f"{HERE}:{self.port}",
            "discovery": f"{HERE}:{self.agent.port}",
            "seed": f"{0x8C1F30D27A5BE964 + self.starts:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known,
            "settings": self.told,
        }
        scratch = self.folder / "config.new"
        scratch.write_text(json.dumps(config))
        scratch.replace(self.folder / "config.json")

    async def spawn(self) -> asyncio.subprocess.Process:
        """Start `run`; the file has to be there."""
        self.starts += 1
        scratch = self.folder / f"tmp{self.starts}"
        scratch.mkdir()
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(scratch),
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HERE}:{self.port}",
            "LB_DISCOVERY": f"{HERE}:{self.agent.port}",
            "LB_STATE": str(self.state),
            "LB_CONFIG": str(self.folder / "config.json"),
            "ASHVALE_LOG": os.environ.get("ASHVALE_LOG", "INFO"),
            **({"LB_OPERATOR": f"{HERE}:{self.operator}"} if self.operator else {}),
            **self.more,
        }
        with (self.folder / "log.txt").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run_line(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        PROCESSES.append(process)
        self.record.note("start", courier=self.name, start=self.starts)
        return process

    async def start(self, within_s: float = 30.0) -> None:
        self.configure()
        self.process = await self.spawn()
        await self.ready(within_s)

    async def ready(self, within_s: float = 30.0) -> None:
        """Wait until GET /up is answered with 200."""
        until = now() + within_s * 1000.0
        while now() < until:
            if (
                await ask(self.port, b"GET /up HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n", 1000.0)
                == 200
            ):
                self.record.note("ready", courier=self.name)
                return
            await asyncio.sleep(0.02)
        raise CouldNot(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.note("signal", courier=self.name, signal=number.name)
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        assert self.process is not None
        await self.process.wait()

    async def restart(self, term: bool = False, down_s: float = 0.6) -> None:
        """A planned restart: SIGTERM, SIGKILL 3.7 s after it, and the next start; or SIGKILL alone."""
        assert self.process is not None
        if term:
            self.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 3.7)
            except TimeoutError:
                pass
        if self.process.returncode is None:
            await self.kill()
        await asyncio.sleep(down_s)
        await self.start()

    async def call_operator(self, method: str, path: str) -> int:
        data = f"{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n".encode()
        status = await ask(self.operator, data, 1000.0)
        self.record.note("operator", courier=self.name, call=path, answer=status)
        return status


PROCESSES: list[asyncio.subprocess.Process] = []


class CouldNot(Exception):
    """The case could not run."""


async def ask(port: int, data: bytes, within_ms: float) -> int:
    """One request on a new connection; the status of its answer, or 0 for none."""
    try:
        return (await asyncio.wait_for(_ask(port, data), within_ms / 1000.0))[0]
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0


async def _ask(port: int, data: bytes) -> tuple[int, dict[str, str]]:
    reader, writer = await asyncio.open_connection(HERE, port)
    try:
        writer.write(data)
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first.split(" ")[1]), headers


# Clients


@dataclass
class Message:
    id: str
    cls: str
    dest: int
    key: str
    sent: float
    deadline: float
    body: bytes = b""
    order: str = ""
    status: int = 0  # of the courier's answer; 0 for none in time
    answered: float = 0.0
    courier: str = ""

    @property
    def taken(self) -> bool:
        return self.status in (200, 202)


@dataclass
class Clients:
    """Hands messages in, each on a new connection, and waits 400 ms for the answer."""

    record: Record
    messages: dict[str, Message] = field(default_factory=dict)

    async def hand_in(
        self,
        courier: Courier,
        cls: str,
        dest: int,
        timeout_ms: float = 16000.0,
        body: bytes = b"record",
        tenant: str = "kempen-mobiel",
        order: str = "",
        keyed: bool = True,
    ) -> Message:
        number = len(self.messages) + 1
        id, key = f"{number:016x}", f"{number:032x}"
        message = Message(id, cls, dest, key, now(), now() + timeout_ms, body, order, courier=courier.name)
        self.messages[id] = message
        named = {
            "Host": "origin.svc",
            "Request-Id": id,
            "Tenant": tenant,
            "Request-Timeout": f"{timeout_ms:.0f}m",
            **({"Idempotency-Key": key} if keyed else {}),
            "Content-Length": str(len(body)),
            "X-Consignee": f"dest={dest}",
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in named.items())
        path = f"/{cls}/{order}" if order else f"/{cls}"
        data = f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body
        self.record.note(
            "hand in", courier=courier.name, id=id, cls=cls, dest=dest, bytes=len(body), order=order
        )
        message.status = await ask(courier.port, data, 400.0)
        message.answered = now()
        self.record.note("told", id=id, status=message.status)
        return message


# The case around them


@dataclass
class Stage:
    record: Record
    folder: Path
    agent: Agent
    clients: Clients
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    couriers: list[Courier] = field(default_factory=list)

    async def endpoint(self, name: str, dest: int, **more: Any) -> Endpoint:
        endpoint = Endpoint(self.record, name, dest, **more)
        await endpoint.open()
        self.endpoints[name] = endpoint
        self.agent.list(endpoint.entry())
        return endpoint

    async def courier(
        self, name: str = "n0", start: bool = True, operator: bool = False, **changes: Any
    ) -> Courier:
        courier = Courier(self.record, self.folder, name, self.agent, settings(**changes))
        courier.operator = free_port() if operator else 0
        self.couriers.append(courier)
        if start:
            await courier.start()
        return courier

    def ran(self, id: str) -> list[float]:
        return sorted(at for endpoint in self.endpoints.values() for at in endpoint.ran.get(id, []))

    def calls(self, id: str) -> list[Call]:
        found = [c for endpoint in self.endpoints.values() for c in endpoint.calls if id in c.ids]
        return sorted(found, key=lambda call: call.at)

    def delivered(self, id: str) -> bool:
        return any(call.status == "200" for call in self.calls(id))

    def owed(self, message: Message) -> bool:
        """Taken on, and neither delivered nor ended by a notice."""
        return message.taken and not self.delivered(message.id) and self.agent.ended(message.id) is None


def main(folder: str, case: Callable[[Stage], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Run a case; exit with 1 where it returns that the rule was broken, 0 where it held, 2 otherwise."""
    sys.exit(asyncio.run(_main(Path(folder), case, limit_s)))


async def _main(where: Path, case: Callable[[Stage], Awaitable[bool]], limit_s: float) -> int:
    record = Record(where)
    record.note("begin", trouble=int(TROUBLE))
    with tempfile.TemporaryDirectory() as folder:
        agent = Agent(record)
        stage = Stage(record, Path(folder), agent, Clients(record))
        try:
            await agent.open()
            broken = await asyncio.wait_for(case(stage), limit_s)
            crashed = [
                c.name for c in stage.couriers if c.process and c.process.returncode not in (None, 0, -9)
            ]
            record.say(f"verdict: {'the rule was broken' if broken else 'the rule held'}")
            if crashed:
                record.say(f"ended by itself: {crashed}")
            code = BROKEN if broken else HELD
        except (TimeoutError, CouldNot, OSError) as error:
            record.say(f"verdict: could not run ({type(error).__name__}: {error})")
            code = COULD_NOT
        finally:
            for process in PROCESSES:
                if process.returncode is None:
                    try:
                        process.kill()
                    except ProcessLookupError:
                        pass
                    await process.wait()
            for host in [agent, *stage.endpoints.values()]:
                await host.close()
            if keep := os.environ.get("KEEP_LOGS"):
                for courier in stage.couriers:
                    Path(keep, f"{courier.name}.log").write_bytes((courier.folder / "log.txt").read_bytes())
            await asyncio.sleep(0.05)
    return code
