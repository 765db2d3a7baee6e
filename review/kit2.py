"""What the cases of the second review share: stand-ins with threads, by the users' protocol page alone.

It owns the processes that it starts and the record of what was sent, answered and run. It uses the standard
library only and looks into no courier: what it knows has passed over a loopback connection.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any, Optional

HERE = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1")
HELD, BROKEN, CANNOT = 0, 1, 2
LONGEST_S = 110  # a case is given up then, and ends what it started


class CannotRun(Exception):
    """The case could not be brought about: that says nothing of the rule."""


class Record:
    """What was sent, answered and run, with times in seconds from the start of the case."""

    def __init__(self) -> None:
        self._start, self._lines, self._lock = time.monotonic(), list[str](), threading.Lock()

    def __call__(self, text: str) -> None:
        with self._lock:
            self._lines.append(f"{time.monotonic() - self._start:8.3f}  {text}")

    def write(self, path: Path) -> None:
        with self._lock:
            path.write_text("\n".join(self._lines) + "\n")


def free_port() -> int:
    """A port below those that the system gives away, so that a courier finds it again after a restart."""
    low = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    for port in random.sample(range(10_000, max(low, 11_000)), 200):
        try:
            socket.create_server((HERE, port)).close()
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


class Request:
    """One HTTP request as a stand-in has read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body


def read_request(file: Any) -> Request | None:
    """Read a request whole; None at the end of the connection."""
    line = file.readline(65536)
    if not line.endswith(b"\r\n"):
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while True:
        line = file.readline(65536)
        if not line.endswith(b"\n"):
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = file.read(size) if size else b""
    return Request(method, target, headers, body) if len(body) == size else None


def response(status: int, body: bytes = b"", close: bool = False, **headers: Any) -> bytes:
    more = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    more += "Connection: close\r\n" if close else ""
    return f"HTTP/1.1 {status} so\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


class TcpServer:
    """Accepts on a loopback port and serves each connection in a thread."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HERE, 0), backlog=256)
        self.port: int = self.listener.getsockname()[1]
        self.dial = f"{HERE}:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except (OSError, ValueError):
            pass
        finally:
            try:
                sock.close()
            except OSError:
                pass

    def serve(self, sock: socket.socket) -> None:
        raise NotImplementedError


class Discovery(TcpServer):
    """The agent on the courier's machine: the list, a watch on it, and notices (PROTOCOL, 'Discovery')."""

    def __init__(self, record: Record) -> None:
        self.record, self.seq = record, 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = threading.Condition()
        self.notices: dict[str, dict[str, Any]] = {}
        super().__init__()

    def list(
        self,
        host: str,
        dial: str,
        block: int,
        kind: str,
        site: str,
        share: float = 1.0,
        health: str = "SERVING",
    ) -> None:
        entry = {
            "host": host,
            "dial": dial,
            "site": site,
            "class": kind,
            "block": block,
            "health": health,
            "share": share,
            "born_ms": 0,
        }
        with self.changed:
            self.seq += 1
            if health == "DELETED":
                self.hosts.pop(host, None)
            else:
                self.hosts[host] = entry
            self.changes.append((self.seq, entry))
            self.changed.notify_all()
        self.record(f"discovery: {host} {health} ({site}, partner {block}), version {self.seq}")

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb")
        while (request := read_request(file)) is not None:
            close = request.headers.get("connection", "").lower() == "close"
            if request.target == "/v1/notices":
                for line in request.body.splitlines():
                    notice = json.loads(line)
                    if notice["id"] not in self.notices:
                        self.record(f"notice: {notice['id']} {notice['state']} {notice.get('after_ms', '')}")
                    self.notices.setdefault(notice["id"], notice)
                sock.sendall(response(204, close=close))
            else:
                sock.sendall(response(200, json.dumps(self._answer(request.target)).encode(), close=close))
            if close:
                return

    def _answer(self, target: str) -> dict[str, Any]:
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&") if part)
        with self.changed:
            if "since" not in query:
                return self.whole()
            since = int(query["since"])
            until = time.monotonic() + min(60_000.0, float(query.get("timeout_ms", "0"))) / 1000.0
            while self.seq <= since and (left := until - time.monotonic()) > 0:
                self.changed.wait(left)
            latest = {entry["host"]: entry for seq, entry in self.changes if seq > since}
            return {"seq": self.seq, "whole": False, "hosts": list(latest.values())}


def parts_of(request: Request) -> list[tuple[str, str, bytes]]:
    """The messages of a call: id, key (or '-') and body."""
    if request.target != "/hook/batch":
        return [(request.headers["request-id"], request.headers.get("idempotency-key", "-"), request.body)]
    found, body = [], request.body
    while body:
        line, _, rest = body.partition(b"\r\n")
        id, key, size = line.decode().split(" ")
        found.append((id, key, rest[: int(size)]))
        body = rest[int(size) + 2 :]
    return found


Work = Callable[["Endpoint", Request, list[tuple[str, str, bytes]]], Optional[bytes]]


class Endpoint(TcpServer):
    """A partner's endpoint. `work` says how a call goes: it returns the answer, or None to reset."""

    def __init__(self, name: str, record: Record, work: Work) -> None:
        self.name, self.record, self.work = name, record, work
        self.calls: list[tuple[float, list[str]]] = []
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        with sock.makefile("rb") as file:
            while sock.recv(1, socket.MSG_PEEK):  # a send is counted from its first byte
                began, request = time.monotonic(), read_request(file)
                if request is None:
                    return
                close = request.headers.get("connection", "").lower() == "close"
                if request.method == "GET":  # a probe, where the settings allow them
                    self.record(f"{self.name}: probe {request.target}")
                    sock.sendall(response(200, b"x0=1.0, x1=10", close=close))
                    if close:
                        return
                    continue
                parts = parts_of(request)
                ids = [id for id, _, _ in parts]
                self.calls.append((began, ids))
                self.record(f"{self.name}: call {request.target} {' '.join(ids)} ({len(request.body)} bytes)")
                answer = self.work(self, request, parts)
                if answer is None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.record(f"{self.name}: resets the connection of {' '.join(ids)}")
                    return
                if close:
                    answer = answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
                self.record(f"{self.name}: answer {answer[9:12].decode()} to {' '.join(ids)}")
                sock.sendall(answer)
                if close:
                    return


def delivered(request: Request, parts: list[tuple[str, str, bytes]]) -> bytes:
    """The answer of an endpoint that has taken all messages of a call."""
    if request.target != "/hook/batch":
        return response(200)
    return response(200, b"".join(f"{id} delivered\r\n".encode() for id, _, _ in parts))


class Courier:
    """One courier, started by the `run` line of the deploy file from the repository's root."""

    def __init__(self, record: Record, folder: Path, name: str, discovery: Discovery, **environ: str) -> None:
        self.record, self.folder, self.name, self.discovery = record, folder, name, discovery
        self.port, self.environ = free_port(), environ
        self.settings: dict[str, Any] = {}
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.process: subprocess.Popen[bytes] | None = None
        self.processes: list[subprocess.Popen[bytes]] = []
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "state").mkdir(exist_ok=True)

    def configure(self, settings: dict[str, Any]) -> None:
        """Write the file that LB_CONFIG names."""
        self.settings = settings
        told = {
            "name": self.name,
            "listen": f"{HERE}:{self.port}",
            "discovery": self.discovery.dial,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits,
            "known": self.discovery.whole(),
            "settings": settings,
        }
        (self.folder / "config.json").write_text(json.dumps(told))

    def start(self, beside: bool = False, **environ: str) -> subprocess.Popen[bytes]:
        """Start it; `beside` the process that runs, with everything the same but what `environ` names."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if not beside:
            self.configure(self.settings)
        log = self.folder / f"log.{len(self.processes)}"
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        with log.open("wb") as file:
            process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                start_new_session=True,
                env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                    "TMPDIR": str(scratch),
                    "LB_NAME": self.name,
                    "LB_LISTEN": f"{HERE}:{self.port}",
                    "LB_DISCOVERY": self.discovery.dial,
                    "LB_STATE": str(self.folder / "state"),
                    "LB_CONFIG": str(self.folder / "config.json"),
                    "ASHVALE_LOG": os.environ.get("ASHVALE_LOG", "INFO"),
                    **self.environ,
                    **environ,
                },
            )
        self.process = process
        self.processes.append(process)
        self.record(f"courier {self.name}: started as process {len(self.processes)}")
        if not beside:
            self.ready()
        return process

    def up(self) -> int:
        return http(self.port, "GET", "/up")

    def ready(self, seconds: float = 30.0) -> None:
        until = time.monotonic() + seconds
        while self.up() != 200:
            if self.process is None or self.process.poll() is not None or time.monotonic() > until:
                raise CannotRun(f"courier {self.name} is not ready: {self.log()[-2000:]}")
            time.sleep(0.02)
        self.record(f"courier {self.name}: /up says 200")

    def log(self) -> str:
        return "".join(p.read_text(errors="replace") for p in sorted(self.folder.glob("log.*")))

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record(f"courier {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()


def http(port: int, method: str, target: str, body: bytes = b"", timeout: float = 1.0) -> int:
    """One request on a connection of its own: the status, or 0 where no answer came."""
    request = urllib.request.Request(f"http://{HERE}:{port}{target}", data=body or None, method=method)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


class Client:
    """Hands messages in, each on a connection of its own, and knows which were taken on."""

    def __init__(self, record: Record, tenant: str) -> None:
        self.record, self.tenant = record, tenant
        self.sent: dict[str, dict[str, Any]] = {}
        self._lock = threading.Lock()

    def hand_in(
        self, courier: Courier, cls: str, dest: int, timeout_ms: int, body: bytes = b"record", name: str = ""
    ) -> str:
        """Hand one message in; its id. A refusal or no answer within 400 ms is noted as such."""
        with self._lock:
            id = name or f"m{len(self.sent) + 1:03d}-{random.getrandbits(32):08x}"
            self.sent[id] = {"status": 0, "at": time.monotonic(), "timeout": timeout_ms, "class": cls}
        head = (
            f"POST /{cls} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nTenant: {self.tenant}\r\n"
            f"Request-Timeout: {timeout_ms}m\r\nIdempotency-Key: {self.key(id)}\r\n"
            f"X-Consignee: dest={dest}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            with socket.create_connection((HERE, courier.port), timeout=0.4) as sock:
                sock.settimeout(0.4)
                sock.sendall(head.encode() + body)
                answer = sock.makefile("rb").readline(256)
            self.sent[id]["status"] = int(answer.split(b" ")[1])
        except (OSError, IndexError, ValueError):
            pass
        self.record(
            f"client: {id} ({cls}, partner {dest}, {timeout_ms} ms) answered {self.sent[id]['status']}"
        )
        return id

    @staticmethod
    def key(id: str) -> str:
        return f"k{id}"

    @property
    def taken(self) -> list[str]:
        return [id for id, told in self.sent.items() if told["status"] in (200, 202)]


def until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait for something; whether it has come to be."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.01)
    return True


def main(case: Callable[[Record, Path, list[Courier]], int], folder: Path) -> None:
    """Run a case: 0 where the rule held, 1 where it was broken, 2 where the case could not run."""
    record, couriers = Record(), list[Courier]()
    record(f"TROUBLE={TROUBLE}")

    def stop(number: int, _frame: object) -> None:
        raise CannotRun(f"stopped by {signal.Signals(number).name}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(LONGEST_S)
    code = CANNOT
    with tempfile.TemporaryDirectory(prefix="ashvale-review-") as place:
        try:
            code = case(record, Path(place), couriers)
        except CannotRun as error:
            record(f"cannot run: {error}")
        except Exception:
            record(f"cannot run: {traceback.format_exc()}")
        finally:
            for courier in couriers:
                courier.end()
            if os.environ.get("KEEP_LOGS"):
                for courier in couriers:
                    for log in sorted(courier.folder.glob("log.*")):
                        sys.stderr.write(f"--- {courier.name} {log.name}\n{log.read_text(errors='replace')}")
    record(f"verdict: {['the rule held', 'the rule was broken', 'could not run'][code]}")
    record.write(folder / "record.txt")
    print(f"{folder.name}: {['held', 'BROKEN', 'could not run'][code]}")
    sys.stdout.flush()
    os._exit(code)


# Settings as DEPLOY and WIRE name them, with figures of a small deployment.


def once_only() -> dict[str, Any]:
    """`deploy/sites/once-only.toml`, for two couriers."""
    return {
        "categories": [
            {
                "name": "charge",
                "repeat": "side_effect",
                "objective_ms": 1500.0,
                "give_up_ms": 9000.0,
                "late_worth": 0.2,
                "worth": 3.0,
                "stream": False,
            },
            {
                "name": "ticket",
                "repeat": "token",
                "key_scope": "zone",
                "dedup_window_ms": 2000.0,
                "objective_ms": 2500.0,
                "give_up_ms": 12000.0,
                "late_worth": 0.5,
                "worth": 1.0,
                "stream": False,
            },
        ],
        "clients": {"marks_retry": True},
        "contract": {
            "answer_slack_ms": 20.0,
            "ask_within_ms": 10000.0,
            "cold_share": 0.19,
            "drain_grace_ms": 600.0,
            "overload_factor": 2.0,
            "overload_for_ms": 3000.0,
            "warm_up_ms": 11000.0,
        },
        "counted_by": "request",
        "family_info": {
            "fades": "linear",
            "max_calls": 19,
            "notes": "",
            "per_call": [10, 1, 1],
            "refusal_cost": 0.05,
            "routes_apart": [False, False, False],
            "zone_fee": [0.0, 0.0],
        },
        "limits": {
            "connect_timeout_ms": 1000.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "keepalive_ms": 6000.0,
            "max_open": 300,
            "max_retry_after_ms": 3000.0,
            "may_cancel": True,
            "most_tries": 4,
            "peers": False,
            "probing": False,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1,
        },
        "membership_mode": "automatic",
        "models": ["core", "edge", "corner"],
        "over_share_worth": 0.2,
        "peers_total": 2,
        "report": {"fields": [], "source": "off"},
        "slot_no": 0,
        "stages": ["partner-operators"],
        "tenants": [
            {"name": "north", "portion": 0.6, "quota_per_s": 50.0},
            {"name": "middle", "portion": 0.3, "quota_per_s": 25.0},
            {"name": "south", "portion": 0.1, "quota_per_s": 10.0},
        ],
        "tick_ms": 5.0,
        "tier": 0,
        "weight_kind": "rough",
        "workload": "deliver",
        "zone": 0,
        "zones": ["east", "west"],
    }


def leuven_main() -> dict[str, Any]:
    """`leuven-main.toml`, for two couriers, as WIRE shows it."""
    settings = once_only()
    settings["categories"] = [
        {
            "name": "usage-record",
            "repeat": "token",
            "key_scope": "all",
            "dedup_window_ms": 6000.0,
            "objective_ms": 2000.0,
            "give_up_ms": 16000.0,
            "late_worth": 0.3,
            "worth": 1.0,
            "stream": False,
        },
        {
            "name": "rate-update",
            "repeat": "pure",
            "key_scope": "all",
            "dedup_window_ms": 5000.0,
            "objective_ms": 2000.0,
            "give_up_ms": 28000.0,
            "late_worth": 0.4,
            "worth": 1.0,
            "stream": False,
        },
    ]
    settings["contract"]["drain_grace_ms"] = 2000.0
    settings["limits"] |= {"keepalive_ms": 15000.0, "max_open": 409, "most_tries": 8}
    settings["models"] = ["hub", "direct", "small-mvno"]
    settings["tenants"] = [
        {"name": "kempen-mobiel", "portion": 0.47, "quota_per_s": 30.0},
        {"name": "ardenne-tel", "portion": 0.34, "quota_per_s": 22.0},
        {"name": "zenne-gsm", "portion": 0.19, "quota_per_s": 12.0},
    ]
    settings["zones"] = ["building-a", "building-b"]
    return settings


def cartoes_lisboa() -> dict[str, Any]:
    """`cartoes-lisboa.toml` (kit, users), for two couriers."""
    settings = once_only()
    settings["categories"] = [
        {
            "name": "progress-sync",
            "repeat": "pure",
            "objective_ms": 2500.0,
            "give_up_ms": 24000.0,
            "late_worth": 0.3,
            "worth": 2.0,
            "stream": False,
        },
        {
            "name": "licence-orders",
            "repeat": "side_effect",
            "keep_order": True,
            "objective_ms": 4000.0,
            "give_up_ms": 20000.0,
            "late_worth": 0.4,
            "worth": 1.0,
            "stream": False,
        },
    ]
    settings["contract"] |= {
        "cold_share": 0.16,
        "drain_grace_ms": 1000.0,
        "order_settle_ms": 300.0,
        "overload_for_ms": 1500.0,
        "warm_up_ms": 14000.0,
    }
    settings["family_info"] |= {"per_call": [1, 1], "routes_apart": [False, False], "zone_fee": [0.0]}
    settings["limits"] |= {"keepalive_ms": 10000.0, "most_tries": 6, "probing": True}
    settings["models"] = ["school-networks", "small-partners"]
    settings["tenants"] = [
        {"name": "tejo-cartoes", "portion": 0.26, "quota_per_s": 15.0},
        {"name": "memoriza", "portion": 0.24, "quota_per_s": 14.0},
    ]
    settings["report"] = {"fields": ["x0", "x1"], "source": "inline"}
    settings["zones"] = ["lisboa-1"]
    return settings


# Couriers that agree (docs/fleet.md), with the times that are in force where the file names none.

FLEET = "west"


class FleetCourier(Courier):
    """A courier of a fleet, with an operator's door."""

    def __init__(self, record: Record, folder: Path, name: str, discovery: Discovery) -> None:
        super().__init__(record, folder, name, discovery)
        self.peers, self.door = free_port(), free_port()
        self.environ |= {"LB_OPERATOR": f"{HERE}:{self.door}", "ASHVALE_SETTINGS": str(folder / "own.toml")}

    def join(self, all_of_them: list[FleetCourier]) -> None:
        """Write the operator's own file: who is of the fleet, all of them voters."""
        peers = "".join(
            f'[[fleet.peer]]\nname = "{c.name}"\naddress = "{HERE}:{c.peers}"\nvotes = true\n'
            for c in all_of_them
        )
        (self.folder / "own.toml").write_text(f'[fleet]\nname = "{FLEET}"\ncourier = "{self.name}"\n{peers}')

    def status(self) -> dict[str, Any]:
        """What `ashvale fleet status` shows."""
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        try:
            with opener.open(f"http://{HERE}:{self.peers}/fleet/1/{FLEET}/status", timeout=1.0) as answer:
                told = json.loads(answer.read())
        except (OSError, ValueError):
            return {}
        return told if isinstance(told, dict) else {}

    def order(self, what: str, **order: Any) -> tuple[int, dict[str, Any]]:
        """An order at this courier, as `ashvale fleet` gives it."""
        body = json.dumps({"who": "on call", "why": "rehearsal"} | order).encode()
        request = urllib.request.Request(
            f"http://{HERE}:{self.peers}/fleet/1/{FLEET}/{what}", data=body, method="POST"
        )
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        try:
            with opener.open(request, timeout=8.0) as answer:
                status, told = answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            status, told = error.code, json.loads(error.read() or b"{}")
        self.record(f"operator: {what} {order} at {self.name}: {status} {told.get('why', '')}")
        return status, told


def fleet(record: Record, place: Path, discovery: Discovery, count: int = 3) -> list[FleetCourier]:
    """Couriers that know one leader and see each other serve."""
    made = [FleetCourier(record, place / f"c{n}", f"c{n}", discovery) for n in range(count)]
    for courier in made:
        courier.join(made)
        courier.settings = leuven_main()
        courier.limits["disk_mb"] = 8
    return made


def agreed(couriers: list[FleetCourier]) -> FleetCourier | None:
    """The leader, once all know it and see all others serve."""
    told = [courier.status() for courier in couriers]
    leaders = {status.get("leader", "") for status in told}
    seen = all(m["status"] == "serving" for status in told for m in status.get("members", [{"status": ""}]))
    if len(leaders) != 1 or not seen or not all(status.get("members") for status in told):
        return None
    name = leaders.pop()
    return next(
        (c for c, s in zip(couriers, told, strict=True) if c.name == name and s["role"] == "leader"), None
    )
