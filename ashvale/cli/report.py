"""The report of a release, as one HTML file with plots: who, when, how long, and what was given up meanwhile.

It owns that page's form and the samples that it is made of. It must never ask a courier itself, and the page
must need nothing from elsewhere: no script, no font, no picture.
"""

from __future__ import annotations

import html
import time
from dataclasses import dataclass, field
from typing import Any

import pygal

SAMPLES_MOST = 4000  # beyond that every second one goes


@dataclass
class Samples:
    """What was seen of a release, second by second."""

    release: dict[str, Any] = field(default_factory=dict)
    began: float = field(default_factory=time.time)
    rows: list[tuple[float, dict[str, str], dict[str, list[int]]]] = field(default_factory=list)

    def add(self, release: dict[str, Any], health: dict[str, list[int]]) -> None:
        """One look: the release, and by courier its ends, how many were given up, and what it owes."""
        self.release = release
        states = {name: f"{part['state']} {part['way']}" for name, part in release["parts"].items()}
        self.rows.append((time.time() - self.began, states, health))
        if len(self.rows) > SAMPLES_MOST:
            del self.rows[1::2]

    def spans(self) -> dict[str, list[tuple[str, float]]]:
        """Of each courier: its states, and when each was first seen (seconds since the first look)."""
        found: dict[str, list[tuple[str, float]]] = {}
        for at, states, _ in self.rows:
            for name, state in states.items():
                if not found.get(name) or found[name][-1][0] != state:
                    found.setdefault(name, []).append((state, at))
        return found

    def shares(self, name: str) -> list[tuple[float, float]]:
        """Of a courier: when, and which share of its ends since the look before were given up."""
        found, last = [], None
        for at, _, health in self.rows:
            if name not in health:
                last = None
                continue
            ends, given, _ = health[name]
            if last is not None and ends > last[0]:
                found.append((round(at, 1), round((given - last[1]) / (ends - last[0]), 4)))
            if last is None or ends >= last[0]:
                last = ends, given
            else:
                last = None  # a new process counts from nought
        return found


def _plot(title: str, lines: dict[str, list[tuple[float, float]]]) -> str:
    config = pygal.Config(js=(), width=900, height=300, show_dots=False, title=title, x_title="seconds")
    chart = pygal.XY(config)
    for name, points in lines.items():
        chart.add(name, points)
    return str(chart.render(is_unicode=True, disable_xml_declaration=True))


def page(samples: Samples) -> str:
    """The whole page."""
    release, text = samples.release, html.escape
    plan = release["plan"]
    rows = []
    for number, wave in enumerate(plan["waves"], 1):
        for name in wave:
            seen = "; ".join(f"{text(state)} at {at:.0f} s" for state, at in samples.spans().get(name, []))
            why = text(release["parts"][name]["why"])
            rows.append(f"<tr><td>{number}<td>{text(name)}<td>{seen}<td>{why}")
    took = samples.rows[-1][0] if samples.rows else 0.0
    names = sorted({name for _, _, health in samples.rows for name in health})
    owed = {
        name: [(round(at, 1), float(health[name][2])) for at, _, health in samples.rows if name in health]
        for name in names
    }
    return (
        "<!doctype html><meta charset=utf-8><title>" + text(plan["name"]) + "</title>"
        "<style>body{font:15px sans-serif;margin:2em;max-width:70em}"
        "td,th{text-align:left;padding:2px 12px 2px 0;vertical-align:top}</style>"
        f"<h1>{text(plan['name'])}: {text(release['note'] or release['status'])}</h1>"
        f"<p>Step {text(plan['step'])}, by {text(release['who'])}: {text(release['why'])}. "
        f"Watched for {took:.0f} s, its way {text(release['way'])}.</p>"
        "<table><tr><th>wave<th>courier<th>seen<th>why"
        + "".join(rows)
        + "</table>"
        + _plot("share of ends that were given up", {n: samples.shares(n) for n in names})
        + _plot("messages owed", owed)
    )
