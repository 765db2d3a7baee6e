"""Real couriers whose system calls fail where a test says so: the shim, and a process that has it loaded."""

from __future__ import annotations

import functools
import os
import re
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tests.stage import Scene
from tests.test_main import Program

MOMENT_MS = 300.0  # calls of a start fail for so long after the first that did
WAKE_UP = (
    "Exception ignored when trying to write to the signal wakeup fd:\nTraceback (most recent call last):\n"
)
SOURCE = Path(__file__).parent / "shim" / "faults.c"
_built = tempfile.TemporaryDirectory()


@functools.cache
def shim() -> Path:
    """The library to preload; building it needs a C compiler."""
    library = Path(_built.name) / "faults.so"
    command = ["cc", "-shared", "-fPIC", "-O1", "-o", str(library), str(SOURCE), "-ldl", "-lpthread"]
    subprocess.run(command, check=True)
    return library


@dataclass(frozen=True)
class Fault:
    """One rule of the shim: `call` fails with `error` at so many calls in a thousand, or at the `only`-th."""

    call: str
    error: int
    chance: int = 1000
    half: bool = False  # a write first takes half of its bytes
    only: int = 0

    def __str__(self) -> str:
        when = f"#{self.only}" if self.only else str(self.chance)
        return f"{self.call}:{self.error}:{when}{':half' if self.half else ''}"


class FaultyProgram(Program):
    """The program in a process of its own, whose calls fail while `failing` is set."""

    def __init__(self, s: Scene, *faults: Fault, seed: int = 1, failing: bool = True) -> None:
        self._gate, self._hits = s.folder / "gate", s.folder / "hits"
        self._hits.unlink(missing_ok=True)
        self.fail(failing)
        self._faults, self._seed = faults, seed
        super().__init__(s)

    def _start(self, s: Scene, environ: dict[str, str]) -> subprocess.Popen[bytes]:
        told = {
            "LD_PRELOAD": str(shim()),
            "FAULTS": ",".join(map(str, self._faults)),
            "FAULTS_SEED": str(self._seed),
            "FAULTS_GATE": str(self._gate),
            "FAULTS_FOLDER": str(s.folder),
            "FAULTS_HITS": str(self._hits),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "ashvale"],
            stderr=subprocess.PIPE,
            env={**os.environ, **s.told, **environ, **told},
        )
        if self._gate.exists():
            s.until(lambda: self.hits > 0 or process.poll() is not None)
            s.rest(MOMENT_MS)
            self.fail(False)
        return process

    def fail(self, on: bool) -> None:
        """Let calls fail from now on, or no more."""
        if on:
            self._gate.touch()
        else:
            self._gate.unlink(missing_ok=True)

    @property
    def hits(self) -> int:
        """How many calls were made to fail so far."""
        return len(self._hits.read_text().splitlines()) if self._hits.exists() else 0

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def stop(self) -> str:
        """End it with SIGTERM, which has to take no longer than the platform waits; return its log."""
        began = self.scene.loop.now()
        log = self.end(signal.SIGTERM)
        assert self.scene.loop.now() - began <= 3700.0
        return log


def tracebacks(log: str) -> list[str]:
    """The lines of a log that tell of a fault that nobody expected.

    Not the interpreter's own word that it could not write to the wake-up pipe, which a test brings about.
    """
    log = log.replace(WAKE_UP, "")
    return re.findall(r".*(?:Traceback|handler failed|task failed|task begins again|event failed).*", log)
