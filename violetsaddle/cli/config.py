"""`violetsaddle config`: writes a configuration for all nodes, and shows what is in force."""

from __future__ import annotations

import getpass
import os
import sys
import time
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from typing import Any

import click

from violetsaddle.control import client
from violetsaddle.decide.document import MAX_DOCUMENT_BYTES

replica = click.option(
    "--replica",
    "replicas",
    metavar="H:P",
    multiple=True,
    required=True,
    envvar="VIOLETSADDLE_REPLICAS",
    help="A control process; give it once for each.  Else VIOLETSADDLE_REPLICAS, divided by spaces.",
)


def _plain(text: object) -> str:
    """One line, whatever another program has said."""
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in str(text))


def _author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # a user without a name
        return f"uid-{os.getuid()}"


def _ending(work: Callable[[], int]) -> None:
    """Ends the program with its status: 1 where nothing was written for sure, 2 where the input is bad."""
    try:
        status = work()
    except client.InputError as error:
        click.echo(f"violetsaddle: {_plain(error)}", err=True)
        status = 2
    except client.FailedError as error:
        click.echo(f"violetsaddle: {_plain(error)}", err=True)
        status = 1
    sys.exit(status)


def _names(names: Sequence[str]) -> str:
    return _plain(", ".join(names))


def _told(found: client.Rollout, spent: float) -> int:
    """Says who runs a version; the program's status."""
    if found.running:
        click.echo(f"runs it: {_names(found.running)}")
    if found.waiting:
        rows = [f"{name} ({'nothing pushed' if not n else n})" for name, n in found.waiting.items()]
        click.echo(f"not yet: {_names(rows)}")
    for name, why in found.refused.items():
        click.echo(f"refused by {_plain(name)}: {_plain(why)}")
    for address in found.unavailable:
        click.echo(f"no answer: {address}: nodes that only it hears are not known")
    if found.in_force:
        click.echo(f"in force: all {len(found.running)} nodes run {found.number}, after {spent:.2f} s")
        return 0
    if not (found.running or found.waiting or found.refused):
        click.echo("no node is heard")
    click.echo(f"violetsaddle: version {found.number} is accepted, but not in force everywhere", err=True)
    return 1


@click.group(short_help="Write and show the configuration of all nodes.")
def command() -> None:
    """Write a configuration for all nodes, and show what is in force (docs/configuration.md)."""


@command.command(short_help="Write a new version, and wait until all nodes run it.")
@click.argument("file", metavar="FILE")
@replica
@click.option("--base", type=click.IntRange(0), help="The version it was made from; else the newest.")
@click.option("--author", help="Who writes; else the user's name.")
@click.option(
    "--wait",
    default=8.0,
    show_default=True,
    type=click.FloatRange(0, 3600),
    help="Seconds until all nodes must run it.",
)
def push(file: str, replicas: tuple[str, ...], base: int | None, author: str | None, wait: float) -> None:
    """Write the document in FILE (- for standard input) as the next version.

    Status 0: every node that is heard runs it. 1: not accepted, or accepted and not in force everywhere;
    2: the input is bad or the document was refused."""

    def work() -> int:
        for address in replicas:
            client.endpoint(address)
        try:
            if file == "-":
                data = sys.stdin.buffer.read(MAX_DOCUMENT_BYTES + 1)
            else:
                with open(file, "rb") as opened:
                    data = opened.read(MAX_DOCUMENT_BYTES + 1)
        except (OSError, ValueError) as error:
            raise client.InputError(f"{file}: {getattr(error, 'strerror', None) or error}") from None
        document = client.decode_document(data)
        begun = time.monotonic()
        done = client.write(replicas, document, author or _author(), base, wait, time.monotonic)
        click.echo(f"version {done.number} accepted by {_plain(done.replica)}, digest {_plain(done.digest)}")
        return _told(*client.wait_for_rollout(replicas, done.number, wait, time.monotonic, begun))

    _ending(work)


@command.command(short_help="Print the newest version's document.")
@replica
def show(replicas: tuple[str, ...]) -> None:
    """Print the newest version's document as it was pushed; its number, digest, author and time go to
    standard error. Status 1: nothing was pushed yet, or no replica answers."""

    def work() -> int:
        for address in replicas:
            client.endpoint(address)
        found = client.newest_version(replicas)
        if "document" not in found:
            raise client.FailedError("nothing was pushed yet: each node runs its own configuration file")
        try:
            at = datetime.fromtimestamp(float(found["time_ms"]) / 1000, UTC).isoformat(timespec="seconds")
            head = f"version {found['number']}, digest {found['digest']}, by {found['author']} at {at}"
            document = str(found["document"])
        except (KeyError, TypeError, ValueError, OverflowError, OSError) as error:
            raise client.FailedError(f"the answer can't be read: {error!r}") from None
        click.echo(_plain(head), err=True)
        click.echo(document, nl=not document.endswith("\n"))
        return 0

    _ending(work)


def _replica(status: client.Status) -> None:
    if status.failure:
        click.echo(f"replica {_plain(status.failure)}")
        return
    peers = ", ".join(f"{p.get('name')} {p.get('number')} {_ago(p.get('seconds_ago'))}" for p in status.peers)
    click.echo(
        _plain(f"replica {status.replica}: {status.state}, version {status.number} {status.digest}; {peers}")
    )


def _ago(seconds: Any) -> str:
    return "not heard" if seconds is None else f"{seconds} s ago"


@command.command(short_help="Who runs which version.")
@replica
def status(replicas: tuple[str, ...]) -> None:
    """Print what each replica holds and which version each node runs.

    Status 0: all replicas given answer and vote, and every node that is heard runs the newest version."""

    def work() -> int:
        for address in replicas:
            client.endpoint(address)
        told = client.statuses(replicas)
        for one in told:
            _replica(one)
        good = [one for one in told if not one.failure]
        if not good:
            raise client.FailedError("no replica answers")
        number = max(one.number for one in good)
        found = client.rollout(told, number)
        for name in found.running:
            click.echo(f"node {_plain(name)}: {number}")
        for name, runs in found.waiting.items():
            click.echo(f"node {_plain(name)}: {runs}, not yet {number}")
        for name, why in found.refused.items():
            click.echo(f"node {_plain(name)}: refused {number}: {_plain(why)}")
        voting = len(good) == len(told) and all(s.state == "voting" and s.number == number for s in good)
        return 0 if voting and not found.waiting and not found.refused else 1

    _ending(work)
