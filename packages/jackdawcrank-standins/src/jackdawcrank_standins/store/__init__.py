"""Tables, objects and VM list of the platform, without a network."""

from jackdawcrank_standins.store.object_store import (
    ObjectStore,
    PreconditionFailed,
    Stored,
)
from jackdawcrank_standins.store.store_faults import StopMode, StoreFaults
from jackdawcrank_standins.store.table_store import TableStore
from jackdawcrank_standins.store.transaction import (
    Check,
    Committed,
    Conflict,
    Conflicted,
    Put,
    Row,
    RowKey,
    TableTransaction,
    parse_transaction,
)
from jackdawcrank_standins.store.usage import Usage
from jackdawcrank_standins.store.vm_list import VmList

__all__ = [
    "Check",
    "Committed",
    "Conflict",
    "Conflicted",
    "ObjectStore",
    "PreconditionFailed",
    "Put",
    "Row",
    "RowKey",
    "StopMode",
    "StoreFaults",
    "Stored",
    "TableStore",
    "TableTransaction",
    "Usage",
    "VmList",
    "parse_transaction",
]
