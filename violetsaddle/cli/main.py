"""The group `violetsaddle`.  Each subcommand is the object `command` of the module of its name; none is
imported for the group's own help, so that it comes at once and on a machine without the extras."""

from __future__ import annotations

import importlib
import sys

import click

COMMANDS = {
    "serve": "Run one node in this process.",
    "upgrade": "Replace a running node without loss.",
    "check": "Check operator files and node configurations.",
    "control": "Run one replica of the configuration.",
    "config": "Write and show the configuration of all nodes.",
    "demo": "Show a node at work on an emulated fleet.",
    "lab": "Run experiments: days of load and trouble, judged.",
}
ROOM = "violetsaddle.cli"


class Missing(click.ClickException):
    """A subcommand that is not installed."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(f"violetsaddle: {self.format_message()}", file=sys.stderr)


class LazyGroup(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        name = f"{ROOM}.{cmd_name}"
        try:
            found = importlib.import_module(name).command
        except ModuleNotFoundError as error:
            if error.name == name:
                raise Missing(f"{cmd_name}: this installation does not have it") from None
            raise Missing(
                f"{cmd_name}: needs the module {error.name}, "
                "which is not installed: pip install 'violetsaddle[lab]'"
            ) from None
        if not isinstance(found, click.Command):
            raise Missing(f"{cmd_name}: {name}.command is no command")
        return found


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="violetsaddle", message="%(package)s %(version)s")
def main() -> None:
    """A balancer for jobs: runs a node, checks its files, and plays days of load and trouble against it."""
