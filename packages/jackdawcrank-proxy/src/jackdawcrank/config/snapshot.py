"""Encoding of configuration snapshots."""

import json
import zlib
from typing import Any

from jackdawcrank.store.change_codec import typed_value
from jackdawcrank_policy.configuration import Configuration, Entry, Kind
from jackdawcrank_policy.configuration.configuration import FIELD_BY_KIND

FORMAT = 1
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024
MALFORMED = (
    zlib.error,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    EOFError,
)


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return a configuration as compressed JSON."""
    return zlib.compress(json.dumps(snapshot_document(configuration)).encode())


def decode_snapshot(data: bytes) -> Configuration | None:
    """Return the configuration in compressed JSON, or None if malformed."""
    try:
        inflater = zlib.decompressobj()
        text = inflater.decompress(data, MAX_SNAPSHOT_BYTES)
        if not inflater.eof:
            return None
        return configuration_from(json.loads(text))
    except MALFORMED:
        return None


def snapshot_document(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration as a JSON value."""
    rows = [
        {
            "kind": kind,
            "name": name,
            "body": dict(entry.document),
            "version": entry.version,
            "actor": entry.actor,
            "at": entry.at,
        }
        for (kind, name), entry in sorted(configuration.entries.items())
    ]
    return {"format": FORMAT, "version": configuration.version, "rows": rows}


def configuration_from(document: dict[str, Any]) -> Configuration:
    """Return the configuration in a JSON value.

    Raises:
      ValueError: The format is unknown.
      KeyError: A key is missing.
    """
    if document["format"] != FORMAT:
        raise ValueError(f"unknown snapshot format {document['format']!r}")
    entries: dict[tuple[str, str], Entry] = {}
    typed: dict[str, dict[str, Any]] = {
        name: {} for name in FIELD_BY_KIND.values()
    }
    for row in document["rows"]:
        kind, name, body = str(row["kind"]), str(row["name"]), row["body"]
        entries[kind, name] = Entry(
            body, int(row["version"]), str(row["actor"]), float(row["at"])
        )
        value = typed_value(kind, name, body)
        if value is not None:
            typed[FIELD_BY_KIND[Kind(kind)]][name] = value
    version = int(document["version"])
    return Configuration(version=version, entries=entries, **typed)
