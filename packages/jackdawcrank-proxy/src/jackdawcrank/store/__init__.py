"""Client of the platform's store, and the change log stored there."""

from jackdawcrank.store.append_outcome import (
    Appended,
    ChangeConflict,
    Unchanged,
)
from jackdawcrank.store.change_codec import decode_change, encode_change
from jackdawcrank.store.change_log import ChangeLog
from jackdawcrank.store.client import StoreClient
from jackdawcrank.store.head import Head, read_head
from jackdawcrank.store.limits import StoreLimits
from jackdawcrank.store.outcome import (
    Absent,
    Committed,
    Conflict,
    ConflictingRow,
    Deleted,
    ObjectWritten,
    Page,
    PreconditionFailed,
    Row,
    StoredObject,
    StoreUnavailable,
)
from jackdawcrank.store.transaction import (
    RowCheck,
    RowDelete,
    RowPut,
    Transaction,
)

__all__ = [
    "Absent",
    "Appended",
    "ChangeConflict",
    "ChangeLog",
    "Committed",
    "Conflict",
    "ConflictingRow",
    "Deleted",
    "Head",
    "ObjectWritten",
    "Page",
    "PreconditionFailed",
    "Row",
    "RowCheck",
    "RowDelete",
    "RowPut",
    "StoreClient",
    "StoreLimits",
    "StoreUnavailable",
    "StoredObject",
    "Transaction",
    "Unchanged",
    "decode_change",
    "encode_change",
    "read_head",
]
