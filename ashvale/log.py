"""How log lines look: key=value pairs, or one JSON object a line.

It owns the form of a line, and the count of failed system calls. It must never decide what else is logged.
"""

from __future__ import annotations

import errno
import logging
import sys
import time
from collections import Counter
from typing import Any

LOG_AGAIN_S = 1.0  # one kind of failed system call is logged at most so often
log = logging.getLogger(__name__)
_PLAIN = {*logging.LogRecord("", 0, "", 0, "", (), None).__dict__, "message", "asctime", "taskName"}


class KeyValue(logging.Formatter):
    """Log lines as key=value, one event a line."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, Any] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name,
            "event": record.getMessage(),
            **{key: value for key, value in record.__dict__.items() if key not in _PLAIN},
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self._value(value)}" for key, value in pairs.items())

    @staticmethod
    def _value(value: Any) -> str:
        text = str(value)
        if text and not any(char in text for char in ' ="\n\\'):
            return text
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def _json_lines() -> logging.Formatter:
    """The same as one JSON object a line; numbers stay numbers."""
    from pythonjsonlogger.json import JsonFormatter

    return JsonFormatter(
        ["created", "levelname", "name", "message"],
        json_default=str,
        rename_fields={
            "created": "at",
            "levelname": "level",
            "name": "part",
            "message": "event",
            "exc_info": "trace",
        },
    )


class FailedCalls:
    """Counts the system calls that failed, by call and error, and logs each kind at most once in a while."""

    def __init__(self) -> None:
        self._counts = Counter[str]()
        self._logged_at: dict[str, float] = {}  # seconds on the monotonic clock

    def note(self, call: str, error: OSError) -> None:
        """Count a failure of the named call."""
        kind = f"{call}:{errno.errorcode.get(error.errno or 0, 'unknown')}"
        self._counts[kind] += 1
        now = time.monotonic()
        if now - self._logged_at.get(kind, -LOG_AGAIN_S) >= LOG_AGAIN_S:
            self._logged_at[kind] = now
            log.warning(
                "system call failed", extra={"call": call, "error": str(error), "count": self._counts[kind]}
            )

    def totals(self) -> str:
        """Each kind with its count, for one field of a log line; empty where nothing failed."""
        return ",".join(f"{kind}={count}" for kind, count in sorted(self._counts.items()))


failed_calls = FailedCalls()  # of this process


def set_up_log(level: str, form: str = "logfmt") -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_json_lines() if form == "json" else KeyValue())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.raiseExceptions = False  # a line that cannot be written now is written with a later one
