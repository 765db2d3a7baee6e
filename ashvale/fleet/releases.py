"""A release over the fleet as rules without I/O: its plan, its waves, how it halts and how it goes back.

It owns the state of one release and which changes are allowed. It must never look at a clock or at who is
there: the leader proposes each change, as an entry of the record, so that a release goes on when the courier
that drives it dies, and nothing of it happens twice. Who is in a step holds a permit (permits.py).

A courier's part waits, has `began` its step, is `done`, has `failed`, or is `left` as it was. `way` is "out",
or "back" for the way back, in which those that were touched go through the waves from the last one on.
"""

from __future__ import annotations

from typing import Optional

import msgspec

from ashvale.fleet.permits import REASON_MOST, Budget, limit

WAVES_MOST, PAST_MOST = 200, 16
Z_LEAST = 4.0  # the test statistic above which a difference is no chance: one false alarm in 30,000 looks
WAITS, BEGAN, DONE, FAILED, LEFT = "waits", "began", "done", "failed", "left"
RUNNING, HALTED, OVER = "running", "halted", "over"
OUT, BACK = "out", "back"
VERBS = ("halt", "resume", "back", "skip", "abandon")  # what an operator may order
OWED_TIMES, OWED_MORE = 4.0, 50.0  # messages owed: so many times the others', and so many more, is a pile


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is done to whom, in which order. Times are milliseconds.

    `step` is named in each courier's own file, which says what it runs. With `restarts` a courier is done
    once a later process of it serves, otherwise once the step's command has ended well; `expect` is the
    version that it has to say then. `band` is how much more of what ended may have been given up at those
    released than at the others, once both have `least` ends.
    """

    name: str
    step: str
    waves: tuple[tuple[str, ...], ...]
    restarts: bool = True
    expect: str = ""
    soak_ms: float = 30_000.0
    step_ms: float = 120_000.0
    band: float = 0.05
    least: int = 50


class Part(msgspec.Struct, frozen=True):
    """One courier's part; `life` is the incarnation that began the step, or by which it was done."""

    state: str = WAITS
    way: str = OUT
    life: int = 0
    why: str = ""


class Rollout(msgspec.Struct, frozen=True):
    """A release as it stands."""

    number: int
    plan: Plan
    who: str
    why: str
    parts: dict[str, Part]
    status: str = RUNNING
    way: str = OUT
    wave: int = 0
    note: str = ""  # why it halted, or how it ended

    @property
    def waves(self) -> tuple[tuple[str, ...], ...]:
        return self.plan.waves if self.way == OUT else self.plan.waves[::-1]

    @property
    def current(self) -> tuple[str, ...]:
        return self.waves[self.wave] if self.wave < len(self.waves) else ()

    def at_work(self, courier: str) -> bool:
        """Whether this courier is out of service for its part, once it has a permit."""
        part = self.parts.get(courier)
        return (
            part is not None
            and self.status != OVER
            and (
                part.state == BEGAN
                or part.state == WAITS
                and self.status == RUNNING
                and courier in self.current
            )
        )

    def untouched(self) -> bool:
        """Whether the current wave is left as it was, so that there is nothing to wait for."""
        return all(self.parts[name].state == LEFT for name in self.current)

    def through(self) -> bool:
        """Whether nobody of the current wave has anything to do any more."""
        return all(self.parts[name].state in (DONE, LEFT) for name in self.current)


def faults(plan: Plan, names: set[str], budget: Budget) -> list[str]:
    """What is wrong with a plan for this fleet, each by name and position."""
    found, seen = [], dict[str, str]()
    for key in ("name", "step"):
        if not 0 < len(getattr(plan, key).strip()) <= 60:
            found.append(f"'{key}': a short name was expected")
    if not plan.waves or len(plan.waves) > WAVES_MOST:
        found.append(f"'waves': {len(plan.waves)} waves; 1 to {WAVES_MOST} were expected")
    most = limit(budget.out, len(names))
    for number, wave in enumerate(plan.waves[:WAVES_MOST], 1):
        if not wave:
            found.append(f"'waves': wave {number} is empty")
        if len(wave) > most:
            found.append(f"'waves': wave {number} has {len(wave)}, the budget lets {most} go at once")
        for place, name in enumerate(wave, 1):
            at = f"wave {number}, place {place}"
            if name not in names:
                found.append(f"'waves': {at}: no courier is called '{name[:60]}'")
            elif name in seen:
                found.append(f"'waves': {at}: '{name}' is at {seen[name]} already")
            seen.setdefault(name, at)
    for key, least in (("soak_ms", 0.0), ("step_ms", 100.0)):
        if not least <= getattr(plan, key) <= 86_400_000.0:
            found.append(f"'{key}': {getattr(plan, key):g} is not from {least:g} to a day")
    if not 0.0 < plan.band < 1.0:
        found.append(f"'band': {plan.band:g} is not between 0 and 1")
    if not 1 <= plan.least <= 1_000_000:
        found.append(f"'least': {plan.least} is not from 1 to 1,000,000")
    return found[:20]


def begin(number: int, plan: Plan, who: str, why: str) -> Rollout:
    return Rollout(number, plan, who, why, {name: Part() for wave in plan.waves for name in wave})


def halted(release: Rollout, why: str) -> Rollout:
    return msgspec.structs.replace(release, status=HALTED, note=why[:REASON_MOST])


def progress(
    release: Rollout, courier: str, event: str, life: int, why: str, permitted: bool
) -> Rollout | str:
    """A courier's step has begun, is done or has failed; the release after it, or why that cannot be."""
    part = release.parts.get(courier)
    if part is None or release.status == OVER:
        return "no part of it"
    if event == BEGAN:
        # Guards against a step that runs twice: it begins from waiting alone, by a permit, in its wave.
        turn = part.state == WAITS and release.status == RUNNING and courier in release.current
        if not (turn and permitted):
            return "not its turn"
        return _with(release, courier, Part(BEGAN, part.way, life))
    if part.state != BEGAN:
        return "no step has begun"
    if part.way != release.way:  # the way back was ordered meanwhile: it has to go back as well
        return _with(release, courier, Part(WAITS, BACK, life, why[:REASON_MOST]))
    if event == DONE:
        return _with(release, courier, Part(DONE, part.way, life))
    return halted(
        _with(release, courier, Part(FAILED, part.way, life, why[:REASON_MOST])), f"{courier}: {why}"
    )


def onward(release: Rollout, wave: int) -> Rollout | str:
    """The next wave begins, or the release is over."""
    if release.status != RUNNING or wave != release.wave or not release.through():
        return "not through with that wave"
    if wave + 1 < len(release.waves):
        return msgspec.structs.replace(release, wave=wave + 1)
    return msgspec.structs.replace(
        release, status=OVER, wave=wave + 1, note="done" if release.way == OUT else "all went back"
    )


def steer(release: Rollout, verb: str, courier: str, why: str) -> Rollout | str:
    """What an operator orders; the release after it, or why that cannot be."""
    if release.status == OVER:
        return "no release is under way"
    parts = dict(release.parts)
    if verb == "halt":
        return halted(release, why or "halted")
    if verb == "abandon":
        return msgspec.structs.replace(release, status=OVER, note=f"abandoned: {why}")
    if verb == "resume":
        if release.status != HALTED:
            return "it is not halted"
        again = {n: Part(WAITS, p.way) if p.state == FAILED else p for n, p in parts.items()}
        return msgspec.structs.replace(release, status=RUNNING, note="", parts=again)
    if verb == "skip":
        if courier not in parts:
            return f"no courier of it is called '{courier}'"
        if parts[courier].state == BEGAN:
            return f"the step of '{courier}' is under way"
        return _with(release, courier, Part(LEFT, parts[courier].way, parts[courier].life, "skipped"))
    if verb == "back":
        if release.way == BACK:
            return "it goes back already"
        for name, part in parts.items():
            if part.state in (DONE, FAILED):
                parts[name] = Part(WAITS, BACK, part.life)
            elif part.state == WAITS:
                parts[name] = Part(LEFT, BACK, 0, "never touched")
        return msgspec.structs.replace(release, status=RUNNING, way=BACK, wave=0, note="", parts=parts)
    return f"'{verb}' is no order"


def _with(release: Rollout, courier: str, part: Part) -> Rollout:
    return msgspec.structs.replace(release, parts=release.parts | {courier: part})


def piles_up(released: list[int], others: list[int]) -> Optional[str]:
    """Whether those released hold far more messages than the others do at the same time, each on average."""
    if not (released and others):
        return None
    mine, theirs = sum(released) / len(released), sum(others) / len(others)
    if mine > OWED_TIMES * theirs + OWED_MORE:
        return f"those released hold {mine:.0f} messages each, the others {theirs:.0f}"
    return None


def out_of_band(plan: Plan, released: tuple[int, int], others: tuple[int, int]) -> Optional[str]:
    """Whether those released do worse than the others, over the same time; each by ends and given up.

    The statistic is the pooled two-proportion z; a slow spell everywhere moves both shares and not their
    difference.
    """
    (n, bad), (m, worse) = released, others
    if min(n, m) < plan.least:
        return None
    gap, share = bad / n - worse / m, (bad + worse) / (n + m)
    spread = (share * (1.0 - share) * (1.0 / n + 1.0 / m)) ** 0.5
    if gap > plan.band and spread > 0.0 and gap / spread > Z_LEAST:
        return (
            f"{bad} of {n} ends at those released were given up, {worse} of {m} at the others "
            f"(z {gap / spread:.1f})"
        )
    return None
