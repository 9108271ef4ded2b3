"""Encoding of configuration changes exchanged between proxies."""

import base64
import json

from jackdawcrank.config.snapshot import decode_snapshot, encode_snapshot
from jackdawcrank.store.change_codec import decode_change, encode_change
from jackdawcrank_policy.configuration import (
    Change,
    Configuration,
    ConfigurationState,
)

PeerUpdate = Change | Configuration
MALFORMED = (ValueError, KeyError, TypeError, AttributeError)


def peer_records(
    state: ConfigurationState, after: int, limit: int
) -> tuple[int, tuple[bytes, ...]]:
    """Return the records that a peer at a given version lacks.

    Args:
      state: The configuration in force here.
      after: The peer's version.
      limit: The maximum number of changes to return.

    Returns:
      The version of the first record, 0 for none, and the records: changes
      in order or, if some are no longer held, the whole configuration.
    """
    if after >= state.version:
        return 0, ()
    changes = state.changes_after(after)
    if changes is None:
        return state.version, (snapshot_record(state.current),)
    records = tuple(change_record(change) for change in changes[:limit])
    return after + 1, records


def change_record(change: Change) -> bytes:
    """Return a change as JSON."""
    record = {"version": change.version, "change": encode_change(change)}
    return json.dumps(record, separators=(",", ":")).encode()


def snapshot_record(configuration: Configuration) -> bytes:
    """Return a whole configuration as JSON."""
    data = base64.b64encode(encode_snapshot(configuration)).decode()
    return json.dumps({"snapshot": data}).encode()


def decode_peer_record(record: bytes) -> PeerUpdate | None:
    """Return the update in a peer's record, or None if it is malformed."""
    try:
        document = json.loads(record)
        if "snapshot" in document:
            return decode_snapshot(base64.b64decode(document["snapshot"]))
        return decode_change(int(document["version"]), document["change"])
    except MALFORMED:
        return None
