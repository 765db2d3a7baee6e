"""Discovery: the endpoint list is fetched whole, then followed by long polls for its changes.

What the agent has counts as told `MUST_KNOW_MS` after it could be reached, whatever call failed before. Every
state of the retry keeps to that: see `RetryPause` and tests/test_discovery.py.
"""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from random import Random
from typing import Any, Optional

from ashvale import interface as api
from ashvale.config import ConfigError, address, get
from ashvale.exchange import Endpoint, Exchange
from ashvale.loop import Address, Broken, Coroutine, Expired, Loop, Signal
from ashvale.net.http_client import Channel

# How long a long poll may wait, and the agent to answer. Together less than MUST_KNOW_MS, after which what a
# poll that fell silent has missed counts as told.
POLL_MS, ANSWER_MS = 4000.0, 1000.0
MUST_KNOW_MS = 6000.0  # what the agent has counts as told so long after it could be reached
LONGEST_PAUSE_MS = MUST_KNOW_MS - ANSWER_MS - 500.0  # no pause leaves less than that for the next call
RETRY_MS = (50.0, 1000.0)  # pauses after a call that failed without an answer: first and longest
REFUSED_MS = 20.0  # first pause after the agent refused a call, for each courier of the fleet
LEAST_SPREAD = 0.5  # a pause is drawn evenly from this part of its length to the whole
MOST_DOUBLINGS = 16
REFUSALS = (429, 503)
UNKNOWN_VERSION = (400, 404, 410)  # statuses after which the list is asked for whole
RATE_MOST = 1e6  # calls a second that a list may say a partner takes
log = logging.getLogger(__name__)


def decode_host(data: Any) -> Endpoint:
    """One line of discovery's list."""
    try:
        where = address(get(data, "dial", str, "", "host"), "dial", "host")
    except ConfigError:  # one line that cannot be used must not cost the others
        where = "0.0.0.0", 0
    state = get(data, "health", str, what="host")
    return Endpoint(
        name=get(data, "host", str, what="host"),
        dest=str(get(data, "block", int, 0, "host")),
        address=where,
        kind=get(data, "class", str, "", "host"),
        zone=get(data, "site", str, "", "host"),
        ready=state == "SERVING",
        gone=state == "DELETED",
        # Guards pacing against a rate that is none: a negative one, no number, or an endless one.
        rate=share if 0.0 < (share := get(data, "share", float, 0.0, "host")) <= RATE_MOST else 0.0,
        born_ms=get(data, "born_ms", float, 0.0, "host"),
    )


class RetryPause:
    """How long to leave the agent alone after calls that failed in a row. It neither waits nor reads a clock.

    Guards an agent that refuses calls against a fleet that asks again in lockstep: the pause is spread,
    doubles, and begins as long as the fleet is large. It never exceeds LONGEST_PAUSE_MS.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures = 0

    def succeeded(self) -> None:
        """A call was answered: the next failure is the first in a row."""
        self._failures = 0

    def after_failure(self, couriers: int, refused: bool) -> float:
        """Milliseconds until the next call; `couriers` is the size of the fleet."""
        first, most = RETRY_MS
        if refused:
            first, most = REFUSED_MS * max(1, couriers), LONGEST_PAUSE_MS
        longest = min(most, first * 2.0 ** min(self._failures, MOST_DOUBLINGS))
        self._failures += 1
        return longest * self._random.uniform(LEAST_SPREAD, 1.0)

    def after_silence(self, couriers: int) -> float:
        """As `after_failure`, where the call was given up: the time has been waited for already."""
        self._failures = 0
        return self.after_failure(couriers, refused=False)


@dataclass(frozen=True)
class EndpointList:
    """An answer of the agent: the whole list, or what changed since the version that was asked for."""

    version: int
    whole: bool
    endpoints: list[Endpoint]


class AgentRefused(Broken):
    """The agent answered with another status than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


def decode_list(data: Any) -> EndpointList:
    """The agent's answer, or the list that the configuration names; `ConfigError` names the faulty key."""
    hosts = get(data, "hosts", list, what="list")
    return EndpointList(
        get(data, "seq", int, what="list"),
        get(data, "whole", bool, what="list"),
        [decode_host(host) for host in hosts],
    )


class Discovery:
    """Follows the agent's list for as long as the courier runs."""

    def __init__(self, loop: Loop, exchange: Exchange, address: Address, random: Random) -> None:
        self.loop, self.exchange = loop, exchange
        self.channel = Channel(loop, address)
        self._pause = RetryPause(random)
        self._afresh = False  # another agent was named: its whole list is asked for
        self._moved = Signal()
        self._known: Optional[int] = None  # the version that changes are asked for

    def move(self, address: Address) -> None:
        """Follow another agent; what the old one has told stays until the new one has told its whole list."""
        self.channel.move(address)
        self._afresh = True
        self._moved.fire()

    def known(self, data: Any) -> None:
        """Start with the list as the courier last had it."""
        if data:
            told = decode_list(data)
            self.exchange.endpoints_known(api.ListKind.CACHED, told.endpoints, told.version)
            self._known = told.version

    def run(self) -> Coroutine[None]:
        while True:
            if self._afresh:
                self._known, self._afresh = None, False
                self._pause.succeeded()
            asked_for = self._known
            try:
                told = yield from self._ask(asked_for)
                if self._afresh:  # it comes from the agent before
                    continue
                if asked_for is not None and told.version < asked_for:
                    raise ConfigError(f"list: version {told.version} came after {asked_for}")
            except (Broken, Expired, ConfigError, ValueError) as error:
                log.warning("discovery silent", extra={"why": str(error), "since": asked_for})
                yield from self._wait(self._after(error))
                continue
            self._pause.succeeded()
            self._known = told.version
            if told.whole or told.endpoints:
                kind = api.ListKind.FULL if told.whole else api.ListKind.DELTA
                self.exchange.endpoints_known(kind, told.endpoints, told.version)

    def _ask(self, since: Optional[int]) -> Coroutine[EndpointList]:
        """One call: for the whole list, or a long poll for what came after the version `since`."""
        target, wait = "/discovery/hosts", 0.0
        if since is not None:
            target, wait = f"{target}?since={since}&timeout_ms={POLL_MS:.0f}", POLL_MS
        until = self.loop.now() + wait + ANSWER_MS
        status, body = yield from self.channel.ask("GET", target, b"", until)
        if status != 200:
            raise AgentRefused(status)
        return decode_list(json.loads(body))

    def _after(self, error: Exception) -> float:
        """Learn from a call that failed; return the milliseconds until the next."""
        couriers = self.exchange.settings.forwarders
        if isinstance(error, Expired):
            return self._pause.after_silence(couriers)
        status = error.status if isinstance(error, AgentRefused) else 0
        if not isinstance(error, Broken) or status in UNKNOWN_VERSION:
            self._known = None  # guards against a change that was not understood: ask for all of it
        return self._pause.after_failure(couriers, refused=status in REFUSALS)

    def _wait(self, ms: float) -> Coroutine[None]:
        """Pause, but no longer than until another agent is named."""
        until = self.loop.now() + ms
        while not self._afresh and (yield self._moved, until):
            pass
