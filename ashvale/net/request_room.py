"""The memory that requests take while they are read, over all connections of service clients.

Guards the process' memory against clients that write slowly, or stop half way: each request is small, and
hundreds of them are not. Beyond `UNFINISHED_MOST` bytes a request may hold no more than an even part of them,
so that short requests are read whatever the long ones do.
"""

from __future__ import annotations

UNFINISHED_MOST = 16 * 1024 * 1024  # bytes; the process takes some 2.2 times as many for them
FIELDS_MOST = 128  # header fields of a request: a parsed field takes some 30 times its least bytes


class RequestRoom:
    """Counts the bytes of requests that are being read."""

    def __init__(self) -> None:
        self.held = 0

    def may_hold(self, held: int, more: int, connections: int) -> bool:
        """Whether a request of `held` bytes may hold so many more, with so many connections allowed."""
        even_part = UNFINISHED_MOST // max(1, connections)
        return self.held + more <= UNFINISHED_MOST or held + more <= even_part


def too_many_fields(buffered: bytes) -> bool:
    """Whether the head at the start of what has come has too many fields; it need not be whole yet.

    To be asked before the head is parsed, as that takes its time too.
    """
    ends = [at for at in (buffered.find(b"\r\n\r\n"), buffered.find(b"\n\n")) if at >= 0]
    return buffered.count(b"\n", 0, min(ends, default=len(buffered))) > FIELDS_MOST
