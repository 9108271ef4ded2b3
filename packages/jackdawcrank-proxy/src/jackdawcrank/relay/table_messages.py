"""Table images and changes as fields of messages between proxies.

An image is compressed. A row that changed is sent as a patch of its earlier
value if that is shorter.
"""

import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgpack

from jackdawcrank.relay.home_messages import MAX_FRAME_BYTES, Fields
from jackdawcrank.relay.row_patch import apply_patch, digest, make_patch
from jackdawcrank.seams.metadata_store import (
    StoredRow,
    TableChanges,
    TableSnapshot,
)

# A shorter value is sent whole.
MIN_PATCHED_BYTES = 512
# Documents with many similar lines shrink to a tenth at the fastest level.
COMPRESSION_LEVEL = 1
# Bounds the memory that a malformed image can take.
MAX_IMAGE_BYTES = 16 * MAX_FRAME_BYTES

BaseRow = Callable[[str, int], StoredRow | None]
"""Returns the version of a row with a key and a revision, if it is known."""


class UnknownBaseError(Exception):
    """A patch refers to a version of a row that is not known here."""


def compress_rows(rows: Iterable[StoredRow]) -> bytes:
    """Return whole rows, compressed.

    Args:
      rows: The rows.
    """
    fields = [[row.key, row.value, row.revision] for row in rows]
    return zlib.compress(msgpack.packb(fields), COMPRESSION_LEVEL)


def encode_image(image: TableSnapshot, compressed_rows: bytes) -> Fields:
    """Return a table image as message fields.

    Args:
      image: The image.
      compressed_rows: Its rows. They may be kept from an earlier image with the
        same revision; the time on the store's clock may not.
    """
    return [compressed_rows, image.revision, image.store_seconds, image.epoch]


def decode_image(fields: Fields) -> TableSnapshot:
    """Return the table image in message fields.

    Args:
      fields: The message fields.

    Raises:
      TypeError: The fields are malformed.
      ValueError: The rows are malformed or too large.
    """
    compressed_rows, revision, store_seconds, epoch = fields
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed_rows, MAX_IMAGE_BYTES)
        if not decompressor.eof:
            raise ValueError("the image is too large or cut off")
        rows = msgpack.unpackb(body)
    except (zlib.error, msgpack.exceptions.UnpackException) as error:
        raise ValueError(f"not an image: {error}") from error
    return TableSnapshot(
        tuple(StoredRow(*row) for row in rows), revision, store_seconds, epoch
    )


def encode_changes(
    changes: TableChanges, earlier: Mapping[str, StoredRow]
) -> Fields:
    """Return table changes as message fields.

    Args:
      changes: The changes.
      earlier: The changed rows as they were before, by key.
    """
    return [
        [encode_changed_row(row, earlier.get(row.key)) for row in changes.rows],
        changes.removed,
        changes.revision,
        changes.epoch,
    ]


def encode_changed_row(row: StoredRow, earlier: StoredRow | None) -> Fields:
    """Return a changed row as message fields, patched if that is shorter."""
    if earlier is not None and len(row.value) >= MIN_PATCHED_BYTES:
        patch = make_patch(earlier.value, row.value)
        if len(msgpack.packb(patch)) < len(row.value):
            checksum = digest(row.value)
            return [row.key, patch, row.revision, earlier.revision, checksum]
    return [row.key, row.value, row.revision]


def decode_changes(fields: Fields, base_row: BaseRow) -> TableChanges:
    """Return the table changes in a message.

    Args:
      fields: The message fields.
      base_row: Returns the earlier versions of rows.

    Raises:
      UnknownBaseError: A patch cannot be applied here.
      ValueError: A row is malformed.
    """
    rows, removed, revision, epoch = fields
    return TableChanges(
        tuple(decode_changed_row(row, base_row) for row in rows),
        tuple(removed),
        revision,
        epoch,
    )


def decode_changed_row(fields: Any, base_row: BaseRow) -> StoredRow:
    """Return the changed row in message fields."""
    key, value, revision, *patched = fields
    if not patched:
        return StoredRow(key, value, revision)
    base_revision, checksum = patched
    base = base_row(key, base_revision)
    if base is None:
        raise UnknownBaseError(key)
    whole = apply_patch(base.value, value)
    if digest(whole) != checksum:
        raise UnknownBaseError(key)
    return StoredRow(key, whole, revision)
