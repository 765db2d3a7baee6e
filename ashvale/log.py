"""How log lines look: key=value pairs, or one JSON object a line.

It owns the form of a line. It must never decide what is logged.
"""

from __future__ import annotations

import logging
import sys
from typing import Any

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


def set_up_log(level: str, form: str = "logfmt") -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_json_lines() if form == "json" else KeyValue())
    logging.basicConfig(level=level, handlers=[handler], force=True)
