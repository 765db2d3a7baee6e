"""A courier whose descriptors idle clients want to fill: whoever has something to say still comes through."""

from __future__ import annotations

import json
import re
import resource
import socket
import subprocess
import sys
import threading
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from os import environ

from ashvale.lab.stand_ins import HERE, run
from ashvale.lab.virtual import VirtualLoop
from ashvale.loop import FOREVER, Broken, Connection, Coroutine, Listener, connect, sleep
from tests.stage import Scene, request, scene
from tests.test_main import ask

DESCRIPTORS = 64
BURST, PAUSE_S = 8, 0.01  # idle connections at a time, and between two bursts: some 700 a second
HELD = 3000  # idle connections that the flood keeps open; the oldest goes for a new one


class Flood:
    """Clients that connect, say nothing and stay, faster than a courier lets them go."""

    def __init__(self, port: int) -> None:
        self.port, self.opened = port, 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        held = deque[socket.socket]()
        while not self._ended.wait(PAUSE_S):
            for _ in range(BURST):
                client = socket.socket()
                client.setblocking(False)
                client.connect_ex((HERE, self.port))
                held.append(client)
                self.opened += 1
                if len(held) > HELD:
                    held.popleft().close()
        for client in held:
            client.close()

    def end(self) -> None:
        self._ended.set()
        self._thread.join()


@contextmanager
def limited_program(s: Scene) -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    """The program with DESCRIPTORS descriptors, by its settings and by the system's limit; and its port."""
    limits = {"disk_mb": 3, "sockets": DESCRIPTORS}
    told = {"settings": s.settings, "limits": limits, "known": s.discovery.whole()}
    (s.folder / "config.json").write_text(json.dumps(told))

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

    command = [sys.executable, "-m", "ashvale"]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, env={**environ, **s.told}, preexec_fn=limit)
    try:
        assert process.stderr is not None
        log = b""
        while b"serving" not in log and (line := process.stderr.readline()):
            log += line
        found = re.search(rb"listen_platform\W+[\d.]+:(\d+)", log)
        assert found is not None, log.decode()
        threading.Thread(target=process.stderr.read, daemon=True).start()
        yield process, int(found[1])
    finally:
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()


UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


def test_idle_clients_that_fill_the_descriptors_keep_nobody_out() -> None:
    """With discovery down and back: `/up`, the list, calls to endpoints and notices all find a descriptor."""
    with scene() as s:
        endpoint = s.endpoint()
        s.discovery.down = True
        with limited_program(s) as (process, port):
            flood = Flood(port)
            try:
                s.until(lambda: flood.opened > 1000)
                assert ask(s, port, UP).startswith(b"HTTP/1.1 200 ")
                asked = len(s.discovery.asked)
                s.until(lambda: len(s.discovery.asked) >= asked + 3)  # calls are given up and made anew
                fresh = s.endpoint(block=2)
                s.discovery.down = False
                s.discovery.changed.fire()
                for number in range(20):
                    answer = b"HTTP/1.1 404 "
                    while answer.startswith((b"HTTP/1.1 404 ", b"HTTP/1.1 503 ")) or not answer:
                        answer = ask(s, port, request("rate-update", f"m{number}", dest=1 + number % 2))
                    assert answer.startswith(b"HTTP/1.1 202 ")
                assert ask(s, port, request("rate-update", "late", 1, timeout="1m"))
                s.until(lambda: len(endpoint.calls) + len(fresh.calls) >= 20)
                s.until(lambda: any(notice["id"] == "late" for notice in s.discovery.notices))
                assert ask(s, port, UP).startswith(b"HTTP/1.1 200 ")
                assert process.poll() is None
            finally:
                flood.end()


MOST = 32  # connections that the listener holds at once
CLIENT_PATIENCE_MS = 400.0


def answering(listeners: list[Listener]) -> Callable[[Connection], Coroutine[None]]:
    """Serve one line at a time, and let connections rest between, as the fronts do."""

    def serve(connection: Connection) -> Coroutine[None]:
        used = False
        while True:
            listeners[0].rest(connection, used)
            try:
                data = yield from connection.receive(connection.loop.now() + 60_000.0)
            finally:
                listeners[0].wake(connection)
            if not data:
                return
            used = True
            yield from connection.send(b"answer", connection.loop.now() + 1000.0)

    return serve


def asked_in(loop: VirtualLoop, address: tuple[str, int]) -> Coroutine[float]:
    began = loop.now()
    connection = yield from connect(loop, address, began + 30_000.0)
    yield from connection.send(b"ask", began + 30_000.0)
    yield from connection.receive(began + 30_000.0)
    connection.close()
    return loop.now() - began


def test_a_new_client_is_heard_while_idle_ones_come_faster_than_they_are_let_go() -> None:
    """700 idle connections a second, of which each wants to stay, where 32 fit; in virtual time."""
    loop = VirtualLoop()
    listeners = list[Listener]()
    listeners.append(Listener(loop, ("front", 80), answering(listeners), MOST, "front"))

    def idle() -> Coroutine[None]:
        try:
            connection = yield from connect(loop, ("front", 80), FOREVER)
            while (yield from connection.receive(FOREVER)):
                pass
        except Broken:
            pass

    def flood() -> Coroutine[None]:
        for _ in range(7000):
            loop.spawn(idle(), "idle")
            yield from sleep(loop, 1000.0 / 700.0)

    loop.spawn(flood(), "flood")
    for at in range(1, 10):
        run(loop, sleep(loop, at * 1000.0 - loop.now()))
        assert run(loop, asked_in(loop, ("front", 80))) < CLIENT_PATIENCE_MS
        assert len(listeners[0].open) <= MOST
