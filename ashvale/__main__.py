"""Starts one courier: wires the parts together, follows signals, and sets up the log.

It owns the order in which things start and end. It must never hold a message or speak a protocol itself.
"""

from __future__ import annotations

import logging
import os
import signal
import socket
import sys
from collections.abc import Mapping
from typing import Any, Optional

from ashvale import config
from ashvale.exchange import Exchange
from ashvale.journal import Full, Journal
from ashvale.net.loop import Loop, Task
from ashvale.net.mail import MailCarrier, MailFront
from ashvale.net.platform import Discovery, Notices, Pool, Server

HANDOVER_MS = 600.0  # after SIGTERM new connections still come for so long
LAST_SEND_MS = 3000.0  # no execution begins later than this after SIGTERM
END_MS = 3500.0      # and the process ends, whatever is left; the journal keeps it
log = logging.getLogger("ashvale")

_PLAIN = {*logging.LogRecord("", 0, "", 0, "", (), None).__dict__, "message", "asctime", "taskName"}


class KeyValue(logging.Formatter):
    """Log lines as key=value, one event a line."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, Any] = {
            "at": f"{record.created:.3f}", "level": record.levelname.lower(), "part": record.name,
            "event": record.getMessage(),
            **{key: value for key, value in record.__dict__.items() if key not in _PLAIN}}
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self._value(value)}" for key, value in pairs.items())

    @staticmethod
    def _value(value: Any) -> str:
        text = str(value)
        if text and not any(char in text for char in ' ="\n\\'):
            return text
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def set_up_log(level: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level, handlers=[handler], force=True)


class Courier:
    """One running courier."""

    def __init__(self, told: config.Config, loop: Loop) -> None:
        self.loop = loop
        self.exchange = Exchange(loop, told.settings, told.seed, Journal(told.state, told.limits.disk_bytes))
        self.leaving = False
        self.tasks: list[Task] = []
        self.server: Optional[Server] = None
        self.mail: Optional[MailFront] = None
        # Half of the descriptors are for service clients, a quarter for idle connections to instances.
        sockets = told.limits.sockets
        mail_clients = sum(where.most for where in told.mail.listen) if told.mail else 0
        if told.platform is not None:
            self._platform(told.platform, max(1, sockets // 2 - mail_clients), sockets // 8)
        if told.mail is not None:
            self._mail(told.mail, sockets // 8)
        self.exchange.resume()

    def _platform(self, front: config.Platform, clients: int, idle: int) -> None:
        notices = Notices(self.loop, front.discovery)
        notices.told = self.exchange.told
        pool = Pool(self.loop, self.exchange, idle)
        discovery = Discovery(self.loop, self.exchange, front.discovery)
        discovery.known(front.known)
        self.exchange.carriers["platform"] = pool
        self.server = Server(self.loop, self.exchange, front.listen, clients, notices)
        self.exchange.fronts["platform"] = self.server
        for steps, name in ((notices.run(), "notices"), (pool.sweep(), "pool"),
                            (discovery.run(), "discovery")):
            self.tasks.append(self.loop.spawn(steps, name))

    def _mail(self, setup: config.Mail, idle: int) -> None:
        carrier = MailCarrier(self.loop, self.exchange, setup, idle)
        self.exchange.carriers["mail"] = carrier
        carrier.announce()
        self.mail = MailFront(self.loop, self.exchange, setup)
        self.exchange.fronts["mail"] = self.mail
        self.tasks.append(self.loop.spawn(carrier.sweep(), "mail pool"))

    def addresses(self) -> dict[str, str]:
        """Where each front listens."""
        fronts = [self.server.listener] if self.server else []
        fronts += self.mail.listeners if self.mail else []
        return {f"listen_{front.name}": f"{front.address[0]}:{front.address[1]}" for front in fronts}

    def leave(self) -> None:
        """Serve through the handover, deliver what can be delivered, and end."""
        if self.leaving:
            return
        self.leaving, now = True, self.loop.now()
        log.info("leaving")
        self.exchange.close_at(now + LAST_SEND_MS)
        if self.server is not None:
            self.server.closing = True
        self.loop.call_at(now + HANDOVER_MS, self._handed_over)
        self.loop.call_at(now + END_MS, self.loop.stop)

    def halt(self) -> None:
        """End at once, as a kill would: for a courier that shares its loop with others."""
        self.exchange.halt()
        for task in self.tasks:
            task.cancel()
        for listener in ((self.server.listener,) if self.server else ()) + tuple(
                self.mail.listeners if self.mail else ()):
            listener.close()
            for connection in list(listener.open):
                connection.close()

    def _handed_over(self) -> None:
        for front in (self.server, self.mail):
            if front is not None:
                front.leave()
        self._end_when_idle()

    def _end_when_idle(self) -> None:
        if self.exchange.idle:
            self.loop.stop()
        else:
            self.loop.call_at(self.loop.now() + 20.0, self._end_when_idle)


def main(environ: Mapping[str, str]) -> int:
    set_up_log(environ.get("ASHVALE_LOG", "INFO").upper())
    loop = Loop()
    try:
        courier = Courier(config.load(environ), loop)
    except (config.ConfigError, Full, OSError) as error:
        log.error("cannot start", extra={"why": str(error)})
        return 2
    woken, wake = socket.socketpair()
    for end in (woken, wake):
        end.setblocking(False)
    signal.set_wakeup_fd(wake.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)

    def signalled(_mask: int) -> None:
        woken.recv(64)
        courier.leave()

    loop.watch(woken.fileno(), 1, signalled)
    log.info("serving", extra={"pid": os.getpid(), **courier.addresses()})
    loop.run()
    log.info("ended", extra={"owed": len(courier.exchange.journal.entries)})
    return 0


if __name__ == "__main__":
    sys.exit(main(os.environ))
