"""Reads declared resources from files."""

import json
import pathlib
from typing import Any

import attrs

from jackdawcrank_cli.exit_codes import ExitCode
from jackdawcrank_cli.failure import CommandFailed
from jackdawcrank_policy.configuration import RESOURCE_KINDS
from jackdawcrank_wire.resources import Invalid, Resource, parse_resource


@attrs.frozen
class Declared:
    """A declared resource and its source.

    Attributes:
      source: The file, with the index of the resource if it holds a list.
      resource: The resource.
    """

    source: str
    resource: Resource

    @property
    def key(self) -> tuple[str, str]:
        """Return the resource's kind and name."""
        return str(self.resource.kind), self.resource.name


def read_declared(path: pathlib.Path) -> list[Declared]:
    """Return the resources in a JSON file or a directory of such files.

    Groups come first because servers refer to them.

    Args:
      path: The file or directory; directories are read recursively.

    Raises:
      CommandFailed: A file can't be read, or a resource is not valid; the
        message names every file, path and value.
    """
    found: list[Declared] = []
    problems: list[str] = []
    for file in files_in(path):
        for source, document in documents_in(file, path):
            resource = parse_resource(document)
            if isinstance(resource, Invalid):
                problems += (f"{source}: {p}" for p in resource.problems)
            else:
                found.append(Declared(source, resource))
    problems += duplicate_messages(found)
    if problems:
        hint = "What to do: correct the named values; nothing was applied"
        raise CommandFailed("\n".join([*problems, hint]), ExitCode.INVALID)
    order = {kind: index for index, kind in enumerate(RESOURCE_KINDS)}
    return sorted(found, key=lambda d: (order[d.resource.kind], d.key[1]))


def files_in(path: pathlib.Path) -> list[pathlib.Path]:
    """Return the JSON files of a path, sorted by name.

    Raises:
      CommandFailed: The directory holds no JSON file.
    """
    files = sorted(path.rglob("*.json")) if path.is_dir() else [path]
    if not files:
        message = f"{path}: no file ends in .json"
        raise CommandFailed(message, ExitCode.USAGE)
    return files


def documents_in(
    file: pathlib.Path, base: pathlib.Path
) -> list[tuple[str, Any]]:
    """Return the documents of a file, each with its source.

    Args:
      file: The file; it holds one resource or a list of them.
      base: The path from the command line; sources are relative to it.

    Raises:
      CommandFailed: The file can't be read or is not JSON.
    """
    source = str(file.relative_to(base)) if base.is_dir() else file.name
    try:
        content = json.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        message = f"{source}: {error}"
        raise CommandFailed(message, ExitCode.INVALID) from error
    if isinstance(content, list):
        return [(f"{source}[{i}]", item) for i, item in enumerate(content)]
    return [(source, content)]


def duplicate_messages(found: list[Declared]) -> list[str]:
    """Return a message for each resource that is declared twice."""
    first: dict[tuple[str, str], str] = {}
    messages: list[str] = []
    for declared in found:
        earlier = first.setdefault(declared.key, declared.source)
        if earlier != declared.source:
            kind, name = declared.key
            messages.append(
                f"{declared.source}: {kind} {name} is also in {earlier}"
            )
    return messages
