"""Closing descriptors: what close(2) returns never decides whether a descriptor is free.

On Linux it is free whatever is returned, and its number goes to the next file or connection that is opened. A
number that is kept after a close that failed would write into that one.
"""

from __future__ import annotations

import os

from ashvale.log import failed_calls


def close_descriptor(file: int) -> None:
    """Close a descriptor; a failure is counted and never raised, and the number must not be used again."""
    try:
        os.close(file)
    except OSError as error:
        failed_calls.note("close", error)
