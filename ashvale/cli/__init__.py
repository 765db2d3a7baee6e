"""The command line: sub-commands on click, loaded only when one is asked for.

It owns arguments, output for people or programs, and exit codes: 0 done, 1 nothing found (or a rehearsal that
failed), 2 wrong usage or input that cannot be read. It must never decide anything, and is never imported by a
running courier: bare `python -m ashvale` is the daemon.
"""

from __future__ import annotations

import sys

import click

from ashvale.cli.config import config
from ashvale.cli.fleet import fleet
from ashvale.cli.lab import lab
from ashvale.cli.trace import trace

NOTHING, UNREADABLE = 1, 2


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ashvale")
def ashvale() -> None:
    """A courier daemon. Without a sub-command it serves; see the README for what it is told by the
    environment."""


ashvale.add_command(trace)
ashvale.add_command(config)
ashvale.add_command(lab)
ashvale.add_command(fleet)


@ashvale.command("import-haproxy")
@click.argument("file", type=click.Path())
def import_haproxy(file: str) -> None:
    """Make a file for the mail front from HAProxy's configuration."""
    from ashvale import haproxy

    sys.exit(haproxy.main([file]))


@ashvale.command()
def rehearse() -> None:
    """Play the scripted cases with a stand-in client and partner."""
    from ashvale import rehearsal

    sys.exit(rehearsal.main())


def main(arguments: list[str]) -> None:
    """Carry out a sub-command and end the process with its exit code."""
    ashvale(args=arguments, prog_name="ashvale")
