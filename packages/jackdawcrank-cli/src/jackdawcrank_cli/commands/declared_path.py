"""Command-line option for the files that declare resources."""

import pathlib

import click

declared_path = click.option(
    "-f",
    "--file",
    "path",
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="JSON file, or directory of them, that declares resources.",
)
