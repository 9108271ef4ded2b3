"""Validates and documents the settings of a proxy."""

import pathlib

import click

from jackdawcrank_cli.exit_codes import ExitCode
from jackdawcrank_cli.failure import CommandFailed
from jackdawcrank_wire.settings import (
    SettingsErrors,
    explain_settings,
    load_settings,
)


@click.group()
def settings() -> None:
    """Check or explain a proxy's settings file."""


@settings.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path) -> None:
    """Check the settings in FILE."""
    found = load_settings(file)
    if isinstance(found, SettingsErrors):
        hint = "What to do: jackdawcrankctl settings explain lists the keys"
        raise CommandFailed(f"{found}\n{hint}", ExitCode.USAGE)
    click.echo(f"{file}: the settings are valid")


@settings.command()
def explain() -> None:
    """List every key with its type, default and meaning."""
    click.echo(explain_settings(), nl=False)
