"""`violetsaddle serve`: one node in this process, as `python -m violetsaddle` starts it."""

from __future__ import annotations

import os

import click


@click.command(short_help="Run one node in this process.")
@click.option("--config", metavar="FILE", help="The node's configuration, JSON; else RELAY_CONFIG names it.")
@click.option("--operator", metavar="FILE", help="The operator file, TOML; else RELAY_OPERATOR names it.")
def command(config: str | None, operator: str | None) -> None:
    """Run one node in this process until SIGTERM.

    The same as `python -m violetsaddle`: status 2 and one line on standard error where a file can't be used,
    1 where the address can't be listened on."""
    for key, path in (("RELAY_CONFIG", config), ("RELAY_OPERATOR", operator)):
        if path is not None:
            os.environ[key] = path
    from violetsaddle.__main__ import main  # brings Twisted: not before it is needed

    raise SystemExit(main())
