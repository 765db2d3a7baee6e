"""A campaign over real couriers: drains, releases and faults drawn from a seed, judged from the edges.

It owns what is drawn and the rules that it checks: never more couriers send clients away at once than the
budget lets, every message that was taken on gets an end, and once all is healed nobody is out. A run takes as
long as it is told to; its draws are those of its seed, but processes keep their own time: two are not alike.
"""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

from ashvale.lab.relay import RESET, SILENT
from ashvale.lab.rig import Rig

STEPS = '[fleet.step.note]\nrun = ["true"]\nback = ["true"]\n'
OUT = 3  # the budget


def play(
    folder: Path, count: int, seed: int, seconds: float, tell: Callable[[str], None] = lambda _what: None
) -> tuple[list[str], Counter[str]]:
    """One campaign; what it broke, and how often what was done."""
    draw, counts, broken = Random(seed), Counter[str](), list[str]()
    rig = Rig(folder, count, 5 if count >= 5 else 3, STEPS)
    dead, stopped, cut = dict[str, float](), dict[str, float](), dict[str, float]()
    sent = list[str]()

    def there() -> list[str]:
        return [name for name in rig.names if name not in dead and name not in stopped]

    def look() -> None:
        away = [name for name in there() if not rig.up(name)]
        counts["looks"] += 1
        counts["most out"] = max(counts["most out"], len(away))
        if len(away) > OUT:
            broken.append(f"{len(away)} send clients away, {OUT} may: {away}")

    def mend(now: float) -> None:
        for name in [n for n, until in dead.items() if now > until]:
            del dead[name]
            rig.start(name)
        for name in [n for n, until in stopped.items() if now > until]:
            del stopped[name]
            rig.signal(name, signal.SIGCONT)
        for name in [n for n, until in cut.items() if now > until]:
            del cut[name]
            for (a, b), link in rig.links.items():
                if name in (a, b) and not {a, b} & cut.keys():
                    link.heal()

    def act(now: float) -> None:
        name, by, until = draw.choice(there()), draw.choice(there()), now + draw.uniform(0.5, 8.0)
        what = draw.choices(
            ("drain", "ready", "release", "steer", "ban", "kill", "stop", "cut", "message"),
            (8, 8, 2, 2, 1, 1, 1, 1, 12),
        )[0]
        counts[what] += 1
        if what == "drain":
            rig.order_unheard(
                by, "drain", courier=name, wait=draw.random() < 0.5, kind=draw.choice(("drain", "restart"))
            )
        elif what == "ready":
            rig.order_unheard(by, "ready", courier=name)
        elif what == "release":
            order = draw.sample(rig.names, count)
            waves = [order[at : at + OUT] for at in range(0, count, OUT)]
            rig.order_unheard(
                by,
                "release",
                plan={
                    "name": "drawn",
                    "step": "note",
                    "waves": waves,
                    "restarts": False,
                    "soak_ms": 300.0,
                    "step_ms": 5000.0,
                },
            )
        elif what == "steer":
            rig.order_unheard(by, "steer", verb=draw.choice(("halt", "resume", "back", "abandon")))
        elif what == "ban":
            rig.order_unheard(by, draw.choice(("ban", "unban")), endpoint="partner")
        elif what == "message":
            id = rig.hand_in(name)
            sent.append(id)
        elif len(there()) <= 2:
            return
        elif what == "kill":
            rig.kill(name)
            dead[name] = until
        elif what == "stop":
            rig.signal(name, signal.SIGSTOP)
            stopped[name] = until
        else:
            cut[name] = until
            rig.cut_off(name, draw.choice((SILENT, RESET)))

    try:
        leader = rig.leader()
        rig.until(lambda: rig.order(leader, "budget", budget={"out": str(OUT)})[0] == 200, "a budget")
        end = time.monotonic() + seconds
        while time.monotonic() < end and not broken:
            now = time.monotonic()
            mend(now)
            act(now)
            rig.rest(draw.uniform(10.0, 200.0))
            look()
        tell(f"after {counts['looks']} looks all is healed")
        mend(float("inf"))
        rig.heal()
        rig.leader()
        rig.order(rig.names[0], "steer", verb="abandon")

        def home() -> bool:
            look()
            for name in rig.names:
                if rig.status(rig.names[0]).get("permits", {}).get(name) or not rig.up(name):
                    rig.order(rig.names[0], "ready", courier=name)
            told = rig.status(rig.names[0])
            return not told.get("permits") and not told.get("queue") and not rig.away()

        rig.until(home, "everybody back")
        taken = [id for id in sent if rig.sent[id] == b"HTTP/1.1 202"]
        rig.until(lambda: all(rig.delivered(id) or rig.noticed(id) for id in taken), "an end for each")
        counts["taken on"] = len(taken)
    except AssertionError as error:
        broken.append(str(error))
    finally:
        rig.close()
    return broken, counts
