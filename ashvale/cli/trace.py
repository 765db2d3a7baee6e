"""`ashvale trace`: list, show, report, export and tail.

It owns filters and output. It must never write to a folder of traces, and never fail with a traceback on what
it finds there: unreadable input is one line on standard error and exit code 2.
"""

from __future__ import annotations

import os
import re
import sys
import time
from collections.abc import Callable, Iterator
from datetime import datetime
from functools import wraps
from itertools import islice
from pathlib import Path
from typing import Any, Optional

import click

from ashvale import config
from ashvale.trace.codec import Damaged

_AGO = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)\Z")
_UNITS = {"ms": 1.0, "s": 1e3, "m": 6e4, "h": 3.6e6, "d": 8.64e7}
OUTCOMES = ("delivered", "late", "returned", "failed", "refused", "withdrawn", "open")


def moment(text: Optional[str], usual: float) -> float:
    """`10m` is so long ago; else a date and time as ISO 8601 writes it, or Unix seconds. In milliseconds."""
    if text is None:
        return usual
    if found := _AGO.match(text):
        return time.time() * 1000.0 - float(found[1]) * _UNITS[found[2]]
    try:
        return float(text) * 1000.0
    except ValueError:
        pass
    try:
        return datetime.fromisoformat(text).timestamp() * 1000.0
    except ValueError:
        raise click.BadParameter(f"'{text}' is no time: 10m, 2026-12-01T12:00 or Unix seconds") from None


def where(folder: Optional[str]) -> Path:
    """The folder of traces: as told, as the operator's file says, or beside the journal."""
    if folder:
        return Path(folder)
    file = Path(os.environ.get("ASHVALE_SETTINGS") or config.OWN_FILE)
    try:
        table = config.get(config.read_toml(file), "trace", dict, {}, file.name) if file.exists() else {}
        named: str = config.get(table, "folder", str, "", file.name)
    except config.ConfigError as error:
        raise click.ClickException(str(error)) from None
    if named or os.environ.get("LB_STATE"):
        return Path(named or os.environ["LB_STATE"] + "/trace")
    raise click.UsageError("no folder of traces: name it with --folder, in the settings, or by LB_STATE")


def _readable(command: Callable[..., None]) -> Callable[..., None]:
    """One line and exit code 2 for what cannot be read."""

    @wraps(command)
    def run(*args: Any, **kwargs: Any) -> None:
        try:
            command(*args, **kwargs)
        except BrokenPipeError:  # whoever read the output has enough
            sys.stdout = open(os.devnull, "w")
        except (OSError, Damaged) as error:
            print(f"ashvale: {error}", file=sys.stderr)
            sys.exit(2)

    return run


def _chosen(command: Callable[..., None]) -> Callable[..., None]:
    """The options by which traces are chosen."""
    for option in reversed(
        [
            click.option("--folder", help="The folder of traces, of one courier or of several."),
            click.option("--end", "ends", multiple=True, type=click.Choice(OUTCOMES), help="By outcome."),
            click.option("--class", "cls", help="By class."),
            click.option("--dest", help="By destination."),
            click.option("--network", help="By home network."),
            click.option("--courier", help="By courier."),
            click.option("--since", help="Begun since: 10m, an ISO date and time, or Unix seconds."),
            click.option("--until", help="Begun before."),
            click.option("--late-over", type=float, help="Late by more than so many milliseconds."),
            click.option("--took-over", type=float, help="Took more than so many milliseconds."),
        ]
    ):
        command = option(command)
    return command


class Choice:
    """The traces that the options choose, and what the reading met besides."""

    def __init__(
        self,
        folder: Optional[str],
        ends: tuple[str, ...],
        cls: Optional[str],
        dest: Optional[str],
        network: Optional[str],
        courier: Optional[str],
        since: Optional[str],
        until: Optional[str],
        late_over: Optional[float],
        took_over: Optional[float],
    ) -> None:
        from ashvale.trace.reader import Stock

        self.root, self.stock = where(folder), Stock()
        self.ends, self.cls, self.dest, self.network, self.courier = ends, cls, dest, network, courier
        self.since, self.until = moment(since, 0.0), moment(until, float("inf"))
        self.late_over, self.took_over = late_over, took_over

    def fits(self, t: Any) -> bool:
        return (
            (not self.ends or t.outcome in self.ends)
            and self.cls in (None, t.cls)
            and self.dest in (None, t.dest)
            and self.network in (None, t.tenant)
            and self.courier in (None, t.courier)
            and (self.late_over is None or t.late > self.late_over)
            and (self.took_over is None or t.total > self.took_over)
        )

    def traces(self, details: bool = True) -> Iterator[Any]:
        from ashvale.trace.reader import read_all

        found = read_all(self.root, self.stock, self.since, self.until, details=details)
        return (t for t in found if self.fits(t))

    def gaps(self) -> None:
        """Say on standard error what is not there."""
        from ashvale.trace.show import missing_lines

        for line in missing_lines(self.stock):
            print(line, file=sys.stderr)


@click.group()
def trace() -> None:
    """Where each message's time went."""


@trace.command("list")
@_chosen
@click.option("--limit", default=100, show_default=True, help="At most so many, the latest; 0 for all.")
@click.option("--json", "as_json", is_flag=True, help="A JSON object a line.")
@_readable
def list_traces(limit: int, as_json: bool, **options: Any) -> None:
    """List traces: exit code 1 where none fits."""
    from collections import deque

    from ashvale.trace import show

    choice = Choice(**options)
    found = deque(choice.traces(), maxlen=limit or None)
    if as_json:
        for t in found:
            print(show.as_json(t))
    else:
        show.table(found)
    choice.gaps()
    sys.exit(0 if found else 1)


@trace.command("show")
@click.argument("id")
@click.option("--folder", help="The folder of traces.")
@click.option("--json", "as_json", is_flag=True, help="A JSON object a line.")
@_readable
def show_trace(id: str, folder: Optional[str], as_json: bool) -> None:
    """Show one message, by its id or its trace's, as a waterfall: exit code 1 where there is none."""
    from ashvale.trace import show
    from ashvale.trace.reader import Stock, read_all

    found = sorted(read_all(where(folder), Stock(), id=id), key=lambda t: t.start)
    for t in found:
        print(show.as_json(t)) if as_json else show.waterfall(t)
    if not found:
        print(f"ashvale: no trace of {id}", file=sys.stderr)
    sys.exit(0 if found else 1)


@trace.command()
@_chosen
@click.option("--rows", default=20, show_default=True, help="At most so many rows; 0 for all.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
@_readable
def report(rows: int, as_json: bool, **options: Any) -> None:
    """Where the time went, by destination and reason, and what made messages late."""
    from ashvale.trace import show
    from ashvale.trace.report import build

    choice = Choice(**options)
    made = build(choice.traces(details=False))
    if as_json:
        print(show.report_json(made, choice.stock))
    else:
        show.report_table(made, rows)
        choice.gaps()
    sys.exit(0 if made.traces else 1)


@trace.command()
@click.option("--folder", help="The folder of traces.")
@_readable
def stat(folder: Optional[str]) -> None:
    """What the folder holds, by courier and stream, and what is missing from it."""
    from ashvale.trace import show
    from ashvale.trace.reader import Stock, couriers, shelves

    root, stock = where(folder), Stock()
    show.shelf_table(shelves(root))
    for place in couriers(root):
        stock.count(place)
    for line in show.missing_lines(stock):
        print(line)


@trace.command()
@_chosen
@click.option("--format", "form", type=click.Choice(["otlp", "chrome"]), default="otlp", show_default=True)
@click.option("--limit", default=0, help="At most so many traces; 0 for all.")
@_readable
def export(form: str, limit: int, **options: Any) -> None:
    """Write traces to standard output as OTLP JSON, or for Chrome's trace viewer."""
    from ashvale.trace import export as forms

    choice = Choice(**options)
    chosen = choice.traces()
    pieces = (forms.otlp if form == "otlp" else forms.chrome)(islice(chosen, limit) if limit else chosen)
    for piece in pieces:
        sys.stdout.buffer.write(piece)
    sys.stdout.buffer.write(b"\n")
    sys.stdout.buffer.flush()


@trace.command()
@_chosen
@click.option("--json", "as_json", is_flag=True, help="A JSON object a line.")
@click.option("--for", "seconds", type=float, help="End after so many seconds.")
@_readable
def tail(as_json: bool, seconds: Optional[float], **options: Any) -> None:
    """Print traces as they are written, until interrupted."""
    from ashvale.trace import show
    from ashvale.trace.reader import follow

    choice = Choice(**options)
    end = time.monotonic() + seconds if seconds is not None else float("inf")

    def pause() -> bool:
        time.sleep(min(0.3, max(0.0, end - time.monotonic())))
        return time.monotonic() < end

    try:
        for t in follow(choice.root, pause):
            if choice.fits(t):
                print(show.as_json(t) if as_json else show.line(t), flush=True)
    except KeyboardInterrupt:
        pass
