"""An upgrade under load: does the folder that lasts stay within the disk that the deployment allows?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from kit import TROUBLE, Stage, ask, free_port, main, now

RATE, BODY = 45.0, 16000  # messages a second to this courier, and bytes of each
DISK_BYTES = 3 * 1024 * 1024  # `disk_mb` is 3 in the courier's configuration; taken as MiB, in its favour


def held(folder: Path) -> tuple[int, dict[str, int]]:
    """What the folder holds, 'each file counted in whole 512 bytes'."""
    files: dict[str, int] = {}
    seen: set[int] = set()
    for path in folder.iterdir():
        try:
            stat = path.stat()
        except FileNotFoundError:
            continue
        if stat.st_ino not in seen:  # one that is renamed while it is looked at counts once
            files[path.name] = -(-stat.st_size // 512) * 512
        seen.add(stat.st_ino)
    return sum(files.values()), files


async def case(stage: Stage) -> bool:
    for number in range(4):
        await stage.endpoint(f"s-{number}", number + 1, share=40.0, took_ms=180.0)
    courier = await stage.courier(operator=True)
    stop, worst, over = False, 0, 0
    tasks: list[asyncio.Task[object]] = []

    async def traffic() -> None:
        sent, at = 0, now()
        while not stop:
            message = stage.clients.hand_in(courier, "usage-record", 1 + sent % 4, body=b"x" * BODY)
            tasks.append(asyncio.create_task(message))
            sent, at = sent + 1, at + 1000.0 / RATE
            await asyncio.sleep(max(0.0, (at - now()) / 1000.0))

    async def watch() -> None:
        nonlocal worst, over
        while not stop:
            size, files = held(courier.state)
            over += size > DISK_BYTES
            if size > worst:
                worst = size
                stage.record.note("most on the disk", bytes=size, files=files)
            await asyncio.sleep(0.005)

    tasks += [asyncio.create_task(steps()) for steps in (traffic, watch)]
    await asyncio.sleep(12.0)
    if TROUBLE:
        old = courier.process
        assert old is not None
        courier.operator = free_port()
        courier.process = await courier.spawn()
        while await ask(courier.operator, b"GET /healthcheck HTTP/1.1\r\nHost: c\r\n\r\n", 1000.0) != 200:
            await asyncio.sleep(0.02)
        stage.record.note("the new process says yes")
        await asyncio.sleep(
            5.5
        )  # 'Within 6 s of the new process saying yes, SIGTERM reaches the old process'
        stage.record.note("SIGTERM to the old process")
        old.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old.wait(), 3.7)
        except TimeoutError:
            old.kill()
            await old.wait()
        stage.record.note("the old process has ended")
    else:
        await asyncio.sleep(9.0)
    await asyncio.sleep(6.0)
    stop = True
    await asyncio.gather(*tasks)
    stage.record.say(f"most on the disk {worst} bytes of {DISK_BYTES}; looks at which it was more: {over}")
    return worst > DISK_BYTES


main(str(Path(__file__).resolve().parent), case)
