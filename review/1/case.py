"""An upgrade while two of five partners' endpoints hang: does each message taken on get its end in time?"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Optional

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from kit import Call, Courier, Endpoint, Stage, ask, free_port, main, now, rate_update, usage_record

RATE, BODY = 100.0, 4000  # messages a second to this courier, and bytes of each
SLOTS, HELD = 42, 1000  # scaled to match, as are the times, 'at most 12 s'
GIVE_UP_MS = 12000.0
PARTNERS, HANGING = 5, 2  # 'four in ten endpoints hang for 18 s'
HANG_MS = 18000.0
LATE_MS = 550.0  # 'Up to half a second after its time it only earns nothing; later ... it is lost'; and 50 ms
EXCUSE_MS = 1500.0  # 'No notice is overdue from the SIGTERM ... until 1.5 s after the courier is ready again'
UPGRADE = os.environ.get("TROUBLE", "1") in (
    "1",
    "upgrade",
)  # for comparison: one of the two disruptions alone
HANG = os.environ.get("TROUBLE", "1") in ("1", "hang")


async def case(stage: Stage) -> bool:
    hangs = False

    def hanging(endpoint: Endpoint) -> None:
        async def does(call: Call) -> Optional[bytes]:
            while hangs:
                await asyncio.sleep(0.05)
            return await endpoint.deliver(call)

        endpoint.does = does

    for number in range(PARTNERS):
        endpoint = await stage.endpoint(f"s-{number}", number + 1, share=40.0, took_ms=180.0)
        if number < HANGING:
            hanging(endpoint)
    courier = await stage.courier(
        operator=True,
        categories=[usage_record(give_up_ms=GIVE_UP_MS), rate_update(give_up_ms=GIVE_UP_MS)],
        family_info={"max_calls": SLOTS},
        limits={"max_open": HELD},
    )
    stop = False
    tasks: list[asyncio.Task[object]] = []
    slowest = rewrites = 0.0

    async def traffic() -> None:
        sent, at = 0, now()
        while not stop:
            cls = "usage-record" if sent % 10 < 7 else "rate-update"
            message = stage.clients.hand_in(courier, cls, 1 + sent % PARTNERS, GIVE_UP_MS, b"x" * BODY)
            tasks.append(asyncio.create_task(message))
            sent, at = sent + 1, at + 1000.0 / RATE
            await asyncio.sleep(max(0.0, (at - now()) / 1000.0))

    async def look() -> None:
        """How long GET /up takes, and how often the journal is put in place anew, for the record."""
        nonlocal slowest
        while not stop:
            began = now()
            status = await ask(
                courier.port, b"GET /up HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n", 5000.0
            )
            if now() - began > 300.0:
                stage.record.note("slow /up", ms=round(now() - began), status=status)
            slowest = max(slowest, now() - began)
            await asyncio.sleep(0.1)

    async def count() -> None:
        nonlocal rewrites
        file, seen = courier.state / "journal", 0
        while not stop:
            if file.exists() and (number := file.stat().st_ino) != seen:
                seen, rewrites = number, rewrites + 1
            await asyncio.sleep(0.002)

    tasks += [asyncio.create_task(steps()) for steps in (traffic, look, count)]
    await asyncio.sleep(6.0)
    began, hangs = now(), HANG
    stage.record.note("endpoints hang", on=hangs)
    await asyncio.sleep(8.0)
    before = rewrites
    excuse = (await upgrade(stage, courier)) if UPGRADE else (0.0, 0.0)
    handed_over = rewrites
    await asyncio.sleep(max(0.0, (began + HANG_MS - now()) / 1000.0))
    hangs = False
    stage.record.note("endpoints are well")
    await asyncio.sleep(8.0)
    after = rewrites
    stop = True
    await asyncio.gather(*tasks)
    end = now() + 40000.0
    while now() < end and any(map(stage.owed, stage.clients.messages.values())):
        await asyncio.sleep(0.2)
    return judge(
        stage,
        excuse,
        f"/up took {slowest:.0f} ms at most; the journal was written anew {before:.0f} times "
        f"before the upgrade, {after - handed_over:.0f} times behind it",
    )


async def upgrade(stage: Stage, courier: Courier) -> tuple[float, float]:
    """A new process, and SIGTERM to the old one within 6 s of its yes; when notices are excused."""
    old = courier.process
    assert old is not None
    courier.operator = free_port()
    courier.process = await courier.spawn()
    while await ask(courier.operator, b"GET /healthcheck HTTP/1.1\r\nHost: c\r\n\r\n", 1000.0) != 200:
        await asyncio.sleep(0.02)
    stage.record.note("the new process says yes")
    await asyncio.sleep(5.5)
    stage.record.note("SIGTERM to the old process")
    term = now()
    old.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(old.wait(), 3.7)
    except TimeoutError:
        old.kill()
        await old.wait()
    stage.record.note("the old process has ended")
    return term, now() + EXCUSE_MS


def judge(stage: Stage, excuse: tuple[float, float], facts: str) -> bool:
    taken = [message for message in stage.clients.messages.values() if message.taken]
    late: list[float] = []
    never = 0
    for message in taken:
        if stage.delivered(message.id):
            continue
        told, due = stage.agent.ended(message.id), message.deadline + LATE_MS
        if excuse[0] <= due <= excuse[1]:
            due = excuse[1]
        if told is None:
            never += due < now()
        elif told[0] > due:
            late.append(told[0] - message.deadline)
            stage.record.note("late", id=message.id, cls=message.cls, ms=round(late[-1]), state=told[1])
    stage.record.say(
        f"taken on {len(taken)} of {len(stage.clients.messages)}; lost by late notices {len(late)}, "
        f"the latest {max(late, default=0.0) / 1000.0:.1f} s after its time; never ended {never}"
    )
    stage.record.say(facts)
    return bool(late or never)


main(str(Path(__file__).resolve().parent), case)
