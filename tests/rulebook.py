"""Drives a Controller by hand and checks the rules on every action that comes back."""

from __future__ import annotations

from dataclasses import dataclass, field

from ashvale import interface as api
from ashvale.control import Controller
from ashvale.interface import Effect, Outcome

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.CROWDED}


class RuleBroken(AssertionError):
    """An action that one of the rules forbids."""


@dataclass
class Sent:
    """One attempt, as the outside sees it."""

    target: bytes
    at: float
    until: float
    outcome: Outcome | None = None
    ended: float = 0.0


@dataclass
class Owed:
    """One message, as the outside sees it."""

    event: api.NewMessage
    cls: api.MessageClass
    answered: bool = False
    attempts: list[Sent] = field(default_factory=list)


class Driver:
    """Carries out actions, keeps the time, and raises `RuleBroken` where an action breaks a rule."""

    def __init__(self, settings: api.Settings, seed: int = 1, controller: Controller | None = None) -> None:
        self.settings = settings
        self.controller = controller or Controller(settings, seed)
        self.now = 0.0
        self.owed: dict[int, Owed] = {}
        self.lines: dict[bytes, api.Listing] = {}
        self.told_off: dict[bytes, float] = {}
        self.waits: dict[object, tuple[float, float]] = {}
        self.wakes: list[tuple[float, int]] = []
        self.log: list[api.Action] = []

    def lane(self, target: bytes) -> object:
        line = self.lines[target]
        return target if self.settings.kinds[line.kind].routes_apart else line.destination

    def feed(self, event: api.Event) -> list[api.Action]:
        self._before(event)
        actions = self.controller.handle(event, self.now)
        for action in actions:
            self._check(action)
        self.log.extend(actions)
        return actions

    def _before(self, event: api.Event) -> None:
        if isinstance(event, api.NewMessage):
            self.owed[event.message] = Owed(event, self.settings.classes[event.message_class])
        elif isinstance(event, api.ListKnown) and event.how is not api.ListKind.FAILED:
            named = {line.target for line in event.lines}
            if event.how is not api.ListKind.DELTA:
                for target in self.lines:
                    if target not in named:
                        self.told_off.setdefault(target, self.now)
            for line in event.lines:
                self.lines[line.target] = line
                if line.readiness is api.Readiness.READY:
                    self.told_off.pop(line.target, None)
                else:
                    self.told_off.setdefault(line.target, self.now)
        elif isinstance(event, api.Settled) and event.message in self.owed:
            sent = self.owed[event.message].attempts[event.attempt]
            sent.outcome, sent.ended = event.outcome, self.now
            if event.finished:
                self.owed[event.message].answered = True
            if event.outcome is Outcome.FULL and event.wait_ms:
                self.waits[self.lane(event.target)] = (self.now, self.now + event.wait_ms)
        elif isinstance(event, api.Withdrawn) and event.message in self.owed:
            self.owed[event.message].answered = True

    def _check(self, action: api.Action) -> None:
        if isinstance(action, api.Wake):
            assert action.after_ms > 0
            self.wakes.append((self.now + action.after_ms, action.token))
        elif isinstance(action, api.Send):
            self._check_send(action)
        elif isinstance(action, (api.Refuse, api.Fail)):
            owed = self.owed[action.message]
            if owed.answered:
                raise RuleBroken("rule 1: answered twice")
            owed.answered = True
            if self.now > owed.event.deadline + 20:
                raise RuleBroken("rule 1: answered late")
            if isinstance(action, api.Refuse):
                self._check_refusal(owed)

    def _maybe_ran(self, owed: Owed) -> list[Sent]:
        return [sent for sent in owed.attempts if sent.outcome not in NEVER_RAN]

    def _check_refusal(self, owed: Owed) -> None:
        if owed.cls.effect is Effect.SAFE or not self._maybe_ran(owed):
            return
        if owed.cls.effect is Effect.UNSAFE or owed.cls.group != "all":
            raise RuleBroken("rule 2: refused though it may have run")

    def _check_send(self, action: api.Send) -> None:
        owed, line = self.owed[action.message], self.lines[action.target]
        if owed.answered:
            raise RuleBroken("rule 1: sent after the answer")
        assert line.destination == owed.event.destination
        if any(sent.outcome is None for sent in owed.attempts) and not self.settings.may_copy:
            raise RuleBroken("rule 2: two attempts at once")
        ran = self._maybe_ran(owed)
        if ran and owed.cls.effect is Effect.UNSAFE:
            raise RuleBroken("rule 2: unsafe message repeated")
        if ran and owed.cls.effect is Effect.KEYED:
            if self.now > ran[0].at + owed.cls.window_ms:
                raise RuleBroken("rule 2: keyed message repeated after its window")
            if owed.cls.group == "zone" and line.zone != self.lines[ran[0].target].zone:
                raise RuleBroken("rule 2: keyed message repeated outside its zone")
        if self.now > self.told_off.get(action.target, 1e18) + self.settings.drain_grace_ms:
            raise RuleBroken("rule 3: sent to an endpoint that drains or is gone")
        told, until = self.waits.get(self.lane(action.target), (0.0, 0.0))
        if told < self.now < until:
            raise RuleBroken("rule 6: sent during a told wait")
        self._check_turn(owed)
        owed.attempts.append(Sent(action.target, self.now, min(action.until or 1e18, owed.event.deadline)))

    def _check_turn(self, owed: Owed) -> None:
        if not (owed.cls.in_order and owed.event.order_key):
            return
        for other in self.owed.values():
            if other is owed:
                return
            if not other.cls.in_order or other.event.order_key != owed.event.order_key:
                continue
            if not other.answered or any(sent.outcome is None for sent in other.attempts):
                raise RuleBroken("rule 5: sent out of turn")
            unsure = [
                s.ended
                for s in other.attempts
                if s.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
            ]
            if unsure and self.now < max(unsure) + self.settings.order_settle_ms:
                raise RuleBroken("rule 5: sent before the key had settled")

    def out(self) -> list[tuple[int, int, Sent]]:
        """Attempts without an outcome: message, number, attempt."""
        return [
            (message, number, sent)
            for message, owed in self.owed.items()
            for number, sent in enumerate(owed.attempts)
            if sent.outcome is None
        ]

    def settle(
        self,
        message: int,
        number: int,
        outcome: Outcome,
        wait: float = 0.0,
        report: dict[str, float] | None = None,
    ) -> list[api.Action]:
        owed = self.owed[message]
        sent = owed.attempts[number]
        finished = owed.answered or outcome is Outcome.OK
        took = self.now - sent.at
        return self.feed(
            api.Settled(message, number, sent.target, outcome, took, finished, wait, report=report or {})
        )

    def until(self, at: float) -> None:
        """Let time pass: timers fire and attempts run out, in order."""
        while True:
            due = min([w[0] for w in self.wakes] + [sent.until for _, _, sent in self.out()], default=1e18)
            if due > at:
                break
            self.now = max(self.now, due)
            fired = [w for w in self.wakes if w[0] <= self.now]
            self.wakes = [w for w in self.wakes if w[0] > self.now]
            for message, number, sent in self.out():
                if sent.until <= self.now:
                    self.settle(message, number, Outcome.TIMEOUT)
            for _, token in fired:
                self.feed(api.Timer(token))
        self.now = max(self.now, at)

    def close(self) -> None:
        """Let every deadline pass and check that no answer is missing."""
        last = max((owed.event.deadline for owed in self.owed.values()), default=0.0)
        self.until(last + 20)
        for message, owed in self.owed.items():
            if not owed.answered:
                raise RuleBroken(f"rule 1: message {message} has no answer")

    def of(self, kind: type) -> list[api.Action]:
        return [action for action in self.log if isinstance(action, kind)]
