"""The same program under the settings of several deployments: rules hold by what the settings say alone."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import pytest

from ashvale.lab.stand_ins import DROP, Call
from tests.stage import answer, batch_ids, request, scene

CLASS = {"objective_ms": 900, "give_up_ms": 6000, "worth": 2.0, "late_worth": 0.2}
KEYED = {"repeat": "token", "key_scope": "all"}
FIRST: dict[str, Any] = {
    "categories": [
        {"name": "usage-record", **CLASS, **KEYED, "dedup_window_ms": 2500},
        {"name": "rate-update", **CLASS, "repeat": "pure"},
    ]
}
SECOND: dict[str, Any] = {
    "categories": [
        {"name": "progress-sync", **CLASS, "repeat": "pure"},
        {"name": "licence-orders", **CLASS, "repeat": "side_effect", "keep_order": True},
    ],
    "models": ["hub"],
    "family_info": {"max_calls": 6, "per_call": [1], "routes_apart": [False]},
    "limits": {"most_tries": 6, "probing": True},
    "report": {"source": "inline", "fields": ["x0", "x1"]},
    "contract": {"order_settle_ms": 200.0, "drain_grace_ms": 1000.0},
}
NEITHER: dict[str, Any] = {
    "categories": [
        {"name": "a", **CLASS, "repeat": "side_effect"},
        {"name": "b.2", **CLASS, **KEYED, "key_scope": "zone", "dedup_window_ms": 800},
        {"name": "c_3", **CLASS, "repeat": "pure", "keep_order": True},
    ],
    "models": ["direct", "hub"],
    "family_info": {"max_calls": 3, "per_call": [1, 3], "routes_apart": [True, False], "fades": "halving"},
    "limits": {"most_tries": 3, "max_open": 20, "retry_after": False},
    "contract": {"order_settle_ms": 50.0, "drain_grace_ms": 0.0},
    "tenants": [],
}


def of(call: Call) -> list[str]:
    return batch_ids(call.body) if call.path == "/hook/batch" else [call.headers["request-id"]]


@pytest.mark.parametrize("kill", [False, True], ids=["", "killed"])
@pytest.mark.parametrize("told", [FIRST, SECOND, NEITHER], ids=["first", "second", "neither"])
def test_rules_follow_the_settings(told: dict[str, Any], kill: bool) -> None:
    classes = {c["name"]: c for c in told["categories"]}
    with scene(**told) as s:
        trouble = (DROP, answer(503, X_Come_Back_Ms=150), answer(500), answer(503))
        endpoints = [s.endpoint(*trouble, block=block) for block in (1, 1, 2)]
        s.endpoint(*trouble, block=2, kind="hub")
        s.start()
        names = list(classes) * 4
        for number, name in enumerate(names):
            path = f"{name}/key{number % 2}" if classes[name].get("keep_order") else name
            head = s.ask(request(path, f"{number}", dest=1 + number % 2, timeout="6000m"))
            assert head.startswith(b"HTTP/1.1 202 "), head
        if kill:
            s.until(lambda: sum(len(e.calls) for e in endpoints) >= 3)
            s.again()
        s.until(lambda: s.courier.exchange.idle)
        calls = sorted(
            (call for e in s.endpoints for call in e.calls if call.path.startswith("/hook")),
            key=lambda call: call.at,
        )
        tries = defaultdict[str, list[float]](list)
        for call in calls:
            for id in of(call):
                tries[id].append(call.at)
        ended = {notice["id"]: notice["state"] for notice in s.discovery.notices}
        most = s.settings["limits"]["most_tries"]
        spoilt = dict[str, float]()  # dropped or 500: since when it may have run
        for call in calls:
            for id in of(call):
                if any(call in (e.calls + [None] * 3)[0:3:2] for e in s.endpoints):
                    spoilt.setdefault(id, call.at)
        for number, name in enumerate(names):
            cls, at = classes[name], tries[f"{number}"]
            assert len(at) <= most and (at or ended.get(f"{number}"))  # tried, or told
            if cls["repeat"] == "side_effect" and f"{number}" in spoilt:
                assert ended[f"{number}"] == "failed", number
            if cls["repeat"] == "token" and f"{number}" in spoilt:
                assert at[-1] - spoilt[f"{number}"] < cls["dedup_window_ms"], number
        for key in (0, 1):  # the first calls of a key's messages come in the order of their handing in
            for parity in (0, 1):
                kept = [
                    n
                    for n, name in enumerate(names)
                    if classes[name].get("keep_order") and n % 2 == key and n % 2 == parity and tries[f"{n}"]
                ]
                assert kept == sorted(kept, key=lambda n: tries[f"{n}"][0])
        assert len(s.discovery.notices) == len(ended)  # one end each
