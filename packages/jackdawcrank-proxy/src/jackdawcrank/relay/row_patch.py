"""Differences between two values of a row.

Declarations are documents of up to 256 KB of which a change touches a few
lines. A patch names the pieces of the earlier value that stay and holds the
others.
"""

import re

import xxhash

# A piece ends after a closing bracket: an object or a list of a JSON document.
PIECE = re.compile(rb"[^}\]]*[}\]]?")

Operation = list[int] | bytes
"""The first piece and the number of pieces to copy, or new bytes."""


def split_pieces(value: bytes) -> list[bytes]:
    """Return a value in pieces that a patch may refer to.

    Args:
      value: The value.
    """
    return [piece for piece in PIECE.findall(value) if piece]


def make_patch(base: bytes, value: bytes) -> list[Operation]:
    """Return the operations that turn one value into another.

    Args:
      base: The value before.
      value: The value after.
    """
    index: dict[bytes, int] = {}
    base_pieces = split_pieces(base)
    for number, piece in enumerate(base_pieces):
        index.setdefault(piece, number)
    operations: list[Operation] = []
    for piece in split_pieces(value):
        last = operations[-1] if operations else None
        if isinstance(last, list):
            following = last[0] + last[1]
            if following < len(base_pieces) and base_pieces[following] == piece:
                last[1] += 1
                continue
        found = index.get(piece)
        if found is not None:
            operations.append([found, 1])
        elif isinstance(last, bytes):
            operations[-1] = last + piece
        else:
            operations.append(piece)
    return operations


def apply_patch(base: bytes, operations: list[Operation]) -> bytes:
    """Return the value that a patch makes of another one.

    Args:
      base: The value before.
      operations: The patch.

    Raises:
      ValueError: The patch does not fit the value.
    """
    pieces = split_pieces(base)
    parts: list[bytes] = []
    for operation in operations:
        if isinstance(operation, bytes):
            parts.append(operation)
            continue
        first, count = operation
        if first < 0 or count < 1 or first + count > len(pieces):
            raise ValueError("the patch refers to missing pieces")
        parts += pieces[first : first + count]
    return b"".join(parts)


def digest(value: bytes) -> int:
    """Return a checksum of a value.

    Args:
      value: The value.
    """
    return xxhash.xxh3_64_intdigest(value)
