"""One courier: its parts, wired together, and what it does when it is told to read anew or to leave.

It owns the order in which parts start and end. It must never hold a message, speak a protocol or know of the
process around it: signals and the log's set-up are `ashvale/__main__.py`'s, the loop is its caller's.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable, Mapping
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Optional

from ashvale import config
from ashvale.disk import Disk
from ashvale.exchange import Exchange, Siblings
from ashvale.journal import Journal
from ashvale.loop import FOREVER, Coroutine, Loop, Task, lasting
from ashvale.net.calls import Pool
from ashvale.net.discovery import Discovery
from ashvale.net.mail import MailCarrier, MailFront
from ashvale.net.notices import Notices
from ashvale.net.platform import Server
from ashvale.shared_waits import Waits

if TYPE_CHECKING:
    from pathlib import Path

    from ashvale.fleet.node import Node
    from ashvale.net.operator import Door
    from ashvale.trace.recorder import Recorder

HANDOVER_MS = 600.0  # after SIGTERM new connections still come for so long
LAST_SEND_MS = 3000.0  # no attempt begins later than this after SIGTERM
END_MS = 3500.0  # and the process ends, whatever is left; the journal keeps it
DOUBTS_MS = 2500.0  # after SIGTERM presumed deliveries alone are waited for as long as this
READ_PATIENCE_MS = 10_000.0  # a configuration that cannot be read for the moment is tried for so long
READ_AGAIN_MS = 50.0  # pause between two tries
ADOPT_MS = 100.0  # how often a new process looks whether the one before it has ended
log = logging.getLogger("ashvale")


class Courier:
    """One running courier."""

    def __init__(self, told: config.Config, loop: Loop, disk: Optional[Disk] = None) -> None:
        """Raises `ConfigError`, `Full` or `OSError`, with nothing left open."""
        self.loop, self.told = loop, told
        journal = Journal(told.state, told.journal_bytes, loop.wall(), disk, loop.now)
        self.exchange = Exchange(loop, told.settings, told.seed, journal)
        self._banned: dict[str, frozenset[str]] = {}
        self.tracer: Optional[Recorder] = None
        self.leaving = self._reading = self._succeeded = False
        self._left = False  # service clients are told to go to another process, or to another courier
        self._doubts_end = FOREVER
        self._again: Optional[Mapping[str, str]] = None
        self.tasks: list[Task] = []
        self.server: Optional[Server] = None
        self.discovery: Optional[Discovery] = None
        self.mail: Optional[MailFront] = None
        self.operator: Optional[Door] = None
        self.fleet: Optional[Node] = None
        self.log_as: Callable[[config.Config], None] = lambda _told: None
        try:
            self._begin(told, journal)
        except Exception:
            self.halt()
            raise

    def _begin(self, told: config.Config, journal: Journal) -> None:
        """Put the parts together; `journal` is read already."""
        self._trace(told)
        if told.platform is not None:
            self._platform(told.platform)
        if told.mail is not None:
            self._mail_front(told.mail)
            self._mail_carrier(told.mail)
        self._share(told)
        # After `_platform`, whose known list names the endpoints that a wait silences.
        self.waits = Waits(
            self.loop,
            told.state,
            journal.waiting,
            told.platform is not None and told.platform.operator is not None,
            self.exchange.hear_wait,
        )
        self.exchange.tell_wait = self.waits.tell
        self._divide()
        self.exchange.resume()
        self._door(told)
        if told.platform is not None and told.platform.operator is not None and self.server is not None:
            self._operator(told.platform.operator, told.state)
        if told.fleet is not None:
            self._fleet(told.fleet, told.state)
        if journal.waiting:
            log.info("journal of a process still running; ours is beside it until it ends")
            self.loop.call_at(self.loop.now() + ADOPT_MS, self._adopt)

    def _fleet(self, told: config.Fleet, state: Path) -> None:
        """Take part in the fleet. Agreement is on no message's path: what fails here leaves service alone."""
        try:
            from ashvale.fleet.node import Node, Service
        except ImportError as error:
            log.error("takes no part in the fleet", extra={"why": f"not installed: {error.name}"})
            return
        courier = self

        class Here(Service):
            """What the fleet may do to this courier."""

            def drain(self, on: bool) -> None:
                if courier.server is not None:
                    courier.server.drain(on)

            def ban(self, names: frozenset[str]) -> None:
                courier._ban("fleet", names)

            def ready(self) -> bool:
                # A list that the file names is followed by its changes alone; no whole one may come for long.
                known = courier.exchange.listed or bool(courier.exchange.endpoints)
                return known and not courier.leaving

            def by_hand(self) -> list[str]:
                return sorted(courier._banned.get("door", ()))

            def health(self) -> tuple[int, int, int]:
                return courier.exchange.health

            def endpoint(self, name: str) -> Optional[Siblings]:
                return courier.exchange.siblings(name)

        self.fleet = Node(self.loop, told, state, Here())
        if self.operator is not None:
            self.operator.agreed = self.fleet.asked_to_drain

    def _operator(self, where: tuple[str, int], state: Path) -> None:
        """The operator's door, and the bans that it keeps in the state folder for every process."""
        from ashvale.net.operator import BANS_MS, Bans, Door

        server = self.server
        assert server is not None
        bans = Bans(state, lambda names: self._ban("door", names))
        self.operator = Door(
            self.loop,
            where,
            bans,
            lambda name: name in self.exchange.ever,
            lambda: server.ready,
            server.drain,
        )

        def look() -> None:  # Bans read the file once when they are made
            self.loop.call_at(self.loop.now() + BANS_MS, look)
            bans.look()

        self.loop.call_at(self.loop.now() + BANS_MS, look)

    def _ban(self, source: str, names: frozenset[str]) -> None:
        """Endpoints that get nothing new: by this courier's own door, or by the fleet."""
        self._banned[source] = names
        self.exchange.ban(frozenset[str]().union(*self._banned.values()))

    def _adopt(self) -> None:
        """Take over what the process before an upgrade still owes, once it has ended."""
        journal = self.exchange.journal
        taken = journal.adopt()
        if journal.waiting:
            self.loop.call_at(self.loop.now() + ADOPT_MS, self._adopt)
            return
        self.exchange.resume(taken)
        log.info("journal adopted", extra={"entries": len(taken)})

    def _divide(self) -> None:
        """Keep to this process's part of disk and descriptors while another one of this courier runs."""
        if self.exchange.halted:
            return
        self.loop.call_at(self.loop.now() + self.waits.every, self._divide)
        journal = self.exchange.journal
        before = journal.divided
        journal.divide(self._left)
        if journal.divided is not before:
            self._share(self.told)

    def _trace(self, told: config.Config) -> None:
        """Follow what the operator's file says of tracing; what it needs is loaded only where it is on."""
        tracer, self.tracer, self.exchange.tracer = self.tracer, None, None
        if told.trace is None:
            if tracer is not None:
                tracer.close()
            return
        if tracer is not None:
            tracer.begin(told.trace)
        else:
            try:
                from ashvale.trace.recorder import Recorder
            except ImportError as error:
                log.error("tracing stays off", extra={"why": f"not installed: {error.name}"})
                return
            tracer = Recorder(self.exchange, told.trace, told.name, os.urandom)
        self.tracer = self.exchange.tracer = tracer if tracer.store is not None else None

    def _door(self, told: config.Config) -> None:
        """Follow the routes, limits and pools of the operators' sets."""
        for front, plan, sources, name in (
            ("platform", told.plan, told.sources, config.GOOD_SET),
            ("mail", told.mail_plan, told.mail_sources, config.GOOD_MAIL),
        ):
            if sources:
                from ashvale.config import mailset

                try:
                    mailset.keep(told.state, sources, name)
                except OSError as error:
                    log.error("set not kept", extra={"why": str(error)})
            else:
                try:
                    (told.state / name).unlink(missing_ok=True)
                except OSError as error:
                    log.error("old set not removed", extra={"why": str(error)})
            door = self.exchange.doors.get(front)
            if plan is not None and door is not None:
                door.swap(plan, self.loop.now())
            elif plan is not None or door is not None:
                from ashvale.routing.door import Door

                made = Door(plan, told.seed, crosses=front == "mail") if plan is not None else None
                self.exchange.guard(front, made)

    def _platform(self, front: config.Platform) -> None:
        self.notices = Notices(self.loop, front.discovery)
        self.notices.told, self.notices.untold = self.exchange.told, self.exchange.untold
        self.pool = Pool(self.loop, self.exchange, 1)
        self.discovery = Discovery(self.loop, self.exchange, front.discovery, Random(self.told.seed))
        self.discovery.known(front.known)
        self.exchange.carriers["platform"] = self.pool
        self.server = Server(self.loop, self.exchange, front.listen, 1, self.notices)
        self.exchange.fronts["platform"] = self.server
        for steps, name in (
            (self.notices.run, "notices"),
            (self.pool.sweep, "pool"),
            (self.discovery.run, "discovery"),
        ):
            self._always(steps, name)

    def _always(self, steps: Callable[[], Coroutine[None]], name: str) -> None:
        self.tasks.append(self.loop.spawn(lasting(self.loop, steps, name), name))

    def _mail_front(self, setup: config.Mail) -> None:
        self.mail = MailFront(self.loop, self.exchange, setup)
        self.exchange.fronts["mail"] = self.mail

    def _mail_carrier(self, setup: config.Mail) -> None:
        self.carrier = MailCarrier(self.loop, self.exchange, setup, 1)
        self.exchange.carriers["mail"] = self.carrier
        self.carrier.announce()
        self._always(self.carrier.sweep, "mail pool")

    def _share(self, told: config.Config) -> None:
        """Half of the descriptors are for service clients, a quarter for idle connections to endpoints.

        Two processes of an upgrade have half of them each.
        """
        sockets = told.limits.sockets // (2 if self.exchange.journal.divided else 1)
        mail_clients = sum(where.most for where in told.mail.listen) if told.mail else 0
        if self.server is not None:
            self.server.listener.limit(max(1, sockets // 2 - mail_clients))
            self.pool.most_idle = sockets // 8
        if self.mail is not None:
            self.carrier.most_idle = sockets // 8

    def configure(self, told: config.Config) -> None:
        """Put another configuration in force, all of it or, where it cannot be used, nothing.

        Where the platform's front listens, the folder of the journal and the seed stay until the next start.
        """
        if (told.platform is None) is not (self.server is None):
            raise config.ConfigError("config: the platform's front cannot come or go while the process runs")
        mail = told.mail or self.told.mail and replace(self.told.mail, listen=(), instances=())
        mail = self.told.mail if self.leaving else mail
        if mail is not None:  # raises where it cannot listen, before anything has changed
            self._mail_front(mail) if self.mail is None else self.mail.configure(mail)
        self.exchange.configure(told.settings)
        if mail is not None:
            self._mail_carrier(mail) if self.told.mail is None else self.carrier.configure(mail)
        if told.platform is not None and self.discovery is not None:
            self.discovery.move(told.platform.discovery)
            self.notices.move(told.platform.discovery)
        self.exchange.journal.limit(told.journal_bytes)
        self._trace(told)
        self._door(told)
        self.log_as(told)
        self.told = replace(told, mail=mail)
        self._share(self.told)

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration anew; what cannot be used is logged, and the old one stays in force.

        A set is read beside the loop, as a large one takes seconds; what is asked for meanwhile comes after.
        The older files are short, and read here: on the platform's share of a core a thread cost service.
        """
        self._again = environ if self._reading else None
        if self._reading:
            return
        self._read(environ, self.loop.now() + READ_PATIENCE_MS)

    def _read(self, environ: Mapping[str, str], until: float) -> None:
        """Read it, again after a pause where the system cannot just now, but not later than `until`."""
        self._reading, old = True, self.told

        def loaded(told: config.Config | Exception) -> None:
            unread = isinstance(told, (OSError, config.Unreadable))
            if unread and self._again is None and self.loop.now() < until:
                log.warning("configuration not read, trying again", extra={"why": str(told)})
                self.loop.call_at(self.loop.now() + READ_AGAIN_MS, lambda: self._read(environ, until))
            else:
                self._loaded(told)

        def read() -> config.Config:
            return config.load(environ, anew=True).after(old)

        if old.sources or old.mail_sources or config.has_set(environ):
            from ashvale.net.background import run_in_thread

            run_in_thread(self.loop, read, loaded)
            return
        try:
            told: config.Config | Exception = read()
        except Exception as error:
            told = error
        loaded(told)

    def _loaded(self, told: config.Config | Exception) -> None:
        self._reading = False
        if (again := self._again) is not None:  # what was read may be older than what it was asked for
            self.reload(again)
            return
        try:
            if isinstance(told, Exception):
                raise told
            self.configure(told)
        except (config.ConfigError, OSError) as error:
            log.error("configuration not used", extra={"why": str(error)})
        except Exception:  # guards service against a fault that one file brings to light
            log.exception("configuration not used")
        else:
            where = told.platform.discovery if told.platform else ("none", 0)
            log.info("configuration read anew", extra={"discovery": f"{where[0]}:{where[1]}"})

    @property
    def reading(self) -> bool:
        """True while a configuration is being read that was asked for."""
        return self._reading

    def addresses(self) -> dict[str, str]:
        """Where each front listens."""
        fronts = [self.server.listener] if self.server else []
        fronts += [self.operator.listener] if self.operator else []
        fronts += self.mail.listeners if self.mail else []
        fronts += [self.fleet.listener] if self.fleet and self.fleet.listener else []
        return {f"listen_{front.name}": f"{front.address[0]}:{front.address[1]}" for front in fronts}

    def leave(self, since: Optional[float] = None) -> None:
        """Serve through the handover, deliver what can be delivered, and end; told to do so `since`."""
        if self.leaving:
            return
        self.leaving, now = True, self.loop.now() if since is None else since
        log.info("leaving")
        self.loop.call_at(now + END_MS, self.loop.stop)  # first: whatever fails below, the process ends
        self._doubts_end = now + DOUBTS_MS
        self.loop.call_at(now + HANDOVER_MS, self._handed_over)
        if self.fleet is not None:
            self.fleet.leave()
        # Guards what waits against a process that is about to end: the one beside it takes it over at once.
        self._succeeded = self.exchange.journal.succeeded
        self.exchange.close_at(now + (HANDOVER_MS if self._succeeded else LAST_SEND_MS))
        if self.server is not None:
            self.server.last_call(now)

    def halt(self) -> None:
        """End at once, as a kill would, also where not all parts are there yet: for a loop that goes on."""
        self.exchange.halt()
        if self.tracer is not None and self.tracer.store is not None:
            self.tracer.store.close()
        if self.fleet is not None:
            self.fleet.close()
        for task in self.tasks:
            task.cancel()
        listeners = [self.server.listener] if self.server else []
        listeners += self.mail.listeners if self.mail else []
        listeners += [self.operator.listener] if self.operator else []
        for listener in listeners:
            listener.close()
            for connection in list(listener.open):
                connection.close()

    def _handed_over(self) -> None:
        self._left = True
        for front in (self.server, self.mail):
            if front is not None:
                front.leave()
        self._end_when_idle()

    def _end_when_idle(self) -> None:
        # Guards a request that is half read, or has come and is not told yet, against the end of the process.
        left = self.server is None or self.server.left
        # Guards the end in time: a delivery still presumed goes once more by the next start, where it may.
        late = self.loop.now() >= self._doubts_end and self.exchange.only_presumed
        if left and (late or self.exchange.idle or self._succeeded and self.exchange.quiet):
            self.loop.stop()
        else:
            self.loop.call_at(self.loop.now() + 20.0, self._end_when_idle)
