"""`violetsaddle control`: one replica of the configuration in this process."""

from __future__ import annotations

import sys

import click


@click.command(short_help="Run one replica of the configuration.")
@click.option("--name", required=True, help="This replica's, as the others know it.")
@click.option("--listen", required=True, metavar="H:P", help="Where it is reached.")
@click.option("--peer", "peers", metavar="NAME=H:P", multiple=True, help="Another replica; given twice.")
@click.option("--store", required=True, metavar="FILE", help="Its memory, a file of its own.")
@click.option("--settings", required=True, metavar="FILE", help="A node's configuration, JSON: version 0.")
@click.option("--new", is_flag=True, help="The very first start of all three replicas, and only that.")
def command(name: str, listen: str, peers: tuple[str, ...], store: str, settings: str, new: bool) -> None:
    """Run one of the three replicas that hold the configuration, until SIGTERM (docs/configuration.md).

    Status 2 and one line on standard error where an argument or a file can't be used, 1 where the address
    can't be listened on or the store can't be opened."""
    try:
        from violetsaddle.control.run import main  # brings Twisted: not before it is needed
    except ModuleNotFoundError as error:
        click.echo(
            f"violetsaddle: control: needs the package {error.name}, which is not installed: "
            "pip install 'violetsaddle[cli,operator]'",
            err=True,
        )
        sys.exit(2)
    sys.exit(main(name, listen, peers, store, settings, new))
