"""Prints tables and JSON."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import click

COLUMN_SEPARATOR = "  "


def print_json(value: Any) -> None:
    """Print a JSON value, indented."""
    click.echo(json.dumps(value, indent=2, ensure_ascii=False))


def print_table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows under headings in aligned columns."""
    lines = [list(headings), *([cell(c) for c in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        padded = (text.ljust(w) for text, w in zip(line, widths, strict=True))
        click.echo(COLUMN_SEPARATOR.join(padded).rstrip())


def cell(value: Any) -> str:
    """Return a value as the text of a table cell."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(cell(item) for item in value) or "-"
    if isinstance(value, Mapping):
        return json.dumps(value, sort_keys=True)
    return str(value)


def print_nested(value: Mapping[str, Any], indent: int = 0) -> None:
    """Print a JSON object with one key per line; nested keys are indented."""
    for name, item in value.items():
        if isinstance(item, Mapping) and item:
            click.echo(f"{' ' * indent}{name}:")
            print_nested(item, indent + 2)
        else:
            click.echo(f"{' ' * indent}{name}: {cell(item)}")
