"""The helper that tests with real sockets share: a courier among the laboratory's stand-ins, on one loop."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from ashvale import config
from ashvale.courier import Courier
from ashvale.lab.stand_ins import (
    HERE,
    LONG_MS,
    Call,
    Discovery,
    Endpoint,
    answer,
    batch_ids,
    read_request,
    request,
    run,
    settings,
)
from ashvale.loop import Coroutine, Loop, connect, sleep

__all__ = [
    "Call",
    "Discovery",
    "Endpoint",
    "Scene",
    "answer",
    "batch_ids",
    "read_request",
    "reload",
    "request",
    "scene",
]


class Scene:
    """A courier on the platform's front, with its stand-ins, on one loop."""

    def __init__(self, folder: Path, changes: dict[str, Any]) -> None:
        self.loop, self.folder = Loop(), folder
        self.discovery = Discovery(self.loop)
        self.endpoints: list[Endpoint] = []
        self.disk_mb = changes.pop("disk_mb", 3)
        self.settings = settings(changes)
        self.numbers = 0
        self.environ: dict[str, str] = {}
        self.sockets = 1024
        self.at_end = list[Callable[[], object]]()  # what is called when the scene ends

    def endpoint(self, *script: bytes | str, block: int = 1, kind: str = "direct") -> Endpoint:
        endpoint = Endpoint(self.loop, *script)
        self.endpoints.append(endpoint)
        self.discovery.list(f"s-{len(self.endpoints)}", endpoint, block, kind)
        return endpoint

    def start(self) -> Courier:
        """Start the courier, or start it again after a kill."""
        file = self.folder / "config.json"
        file.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "seed": "1f",
                    "settings": self.settings,
                    "limits": {"disk_mb": self.disk_mb, "sockets": self.sockets},
                    "known": self.discovery.whole(),
                }
            )
        )
        self.courier = Courier(config.load(self.told), self.loop)
        return self.courier

    @property
    def told(self) -> dict[str, str]:
        """The environment of the courier."""
        return {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_STATE": str(self.folder),
            "LB_LISTEN": f"{HERE}:0",
            "LB_DISCOVERY": f"{HERE}:{self.discovery.listener.address[1]}",
            **self.environ,
        }

    def again(self) -> None:
        self.courier.halt()
        self.start()

    def ask(self, data: bytes) -> bytes:
        """Write to the courier on a new connection and read its first answer's head."""

        def steps() -> Coroutine[bytes]:
            assert self.courier.server is not None
            address = self.courier.server.listener.address
            connection = yield from connect(self.loop, address, self.loop.now() + LONG_MS)
            yield from connection.send(data, self.loop.now() + LONG_MS)
            head = b""
            while b"\r\n\r\n" not in head:
                part = yield from connection.receive(self.loop.now() + LONG_MS)
                if not part:
                    break
                head += part
            connection.close()
            return head

        return bytes(run(self.loop, steps()))

    def hand_in(
        self,
        cls: str = "rate-update",
        dest: int = 1,
        body: bytes = b"hello",
        timeout: str = "9000m",
        **headers: str,
    ) -> tuple[str, bytes]:
        """Hand a message in; return its id and the answer's head."""
        self.numbers += 1
        id = headers.pop("id", f"m{self.numbers}")
        return id, self.ask(request(cls, id, dest, body, timeout, **headers))

    def until(self, condition: Callable[[], bool], limit_ms: float = LONG_MS) -> None:
        end = self.loop.now() + limit_ms
        while not condition():
            assert self.loop.now() < end, "it has not come to this"
            self.loop.turn(20.0)

    def rest(self, ms: float) -> None:
        run(self.loop, sleep(self.loop, ms))


def reload(courier: Courier, environ: dict[str, str]) -> None:
    """Read the configuration anew, as SIGHUP does, and go on once that has ended."""
    courier.reload(environ)
    while courier.reading:
        courier.loop.turn(20.0)


@contextmanager
def scene(**changes: Any) -> Iterator[Scene]:
    """A scene in a folder of its own; ends with everything closed."""
    with tempfile.TemporaryDirectory() as folder:
        made = Scene(Path(folder), changes)
        try:
            yield made
        finally:
            for call in made.at_end:
                call()
            if hasattr(made, "courier"):
                made.courier.halt()
            for listener in [made.discovery.listener, *(e.listener for e in made.endpoints)]:
                listener.close()
                for connection in list(listener.open):
                    connection.close()
            made.loop.close()
