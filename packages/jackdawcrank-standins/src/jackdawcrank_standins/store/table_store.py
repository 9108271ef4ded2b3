"""Tables with conditional transactions, in memory."""

import bisect
import json

import attrs

from jackdawcrank_standins.store.transaction import (
    Check,
    Committed,
    Conflict,
    Conflicted,
    Row,
    RowKey,
    TableTransaction,
)


@attrs.define
class Table:
    """One table's rows.

    Attributes:
      texts: The rows' values as JSON, by key.
      versions: The rows' versions by key; those of deleted rows are kept, so
        that a row that comes back goes on from there.
      keys: The keys in order.
    """

    texts: dict[str, str] = attrs.field(factory=dict)
    versions: dict[str, int] = attrs.field(factory=dict)
    keys: list[str] = attrs.field(factory=list)

    def get(self, key: str) -> Row | None:
        """Return a row, or None if it is absent."""
        text = self.texts.get(key)
        if text is None:
            return None
        return Row(key, json.loads(text), self.versions[key])

    def put(self, key: str, text: str) -> int:
        """Write a row and return its new version."""
        if key not in self.texts:
            bisect.insort(self.keys, key)
        self.texts[key] = text
        self.versions[key] = self.versions.get(key, 0) + 1
        return self.versions[key]

    def delete(self, key: str) -> None:
        """Delete a row; an absent one is no error."""
        if self.texts.pop(key, None) is not None:
            del self.keys[bisect.bisect_left(self.keys, key)]


@attrs.define
class TableStore:
    """The tables of the platform's service.

    It has no clock, network or faults of its own, so that tests can use it
    in process.

    Attributes:
      tables: The tables by name.
    """

    tables: dict[str, Table] = attrs.field(factory=dict)

    def table(self, name: str) -> Table:
        """Return a table; one that was never written is empty."""
        return self.tables.setdefault(name, Table())

    def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it is absent."""
        return self.table(table).get(key)

    def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[list[Row], bool]:
        """Return rows in the order of their keys.

        Args:
          table: The table's name.
          after: Only rows with greater keys are returned.
          limit: How many rows to return at most.

        Returns:
          The rows, and whether there are more.
        """
        chosen = self.table(table)
        start = bisect.bisect_right(chosen.keys, after) if after else 0
        keys = chosen.keys[start : start + limit]
        rows = [row for row in map(chosen.get, keys) if row is not None]
        return rows, start + limit < len(chosen.keys)

    def transact(self, transaction: TableTransaction) -> Committed | Conflicted:
        """Run a conditional transaction, all or nothing.

        Args:
          transaction: What to check and change.
        """
        conflicts = tuple(
            conflict
            for conflict in map(self.conflict, transaction.checks)
            if conflict is not None
        )
        if conflicts:
            return Conflicted(conflicts)
        texts = [json.dumps(put.value) for put in transaction.puts]
        versions: dict[RowKey, int] = {}
        for put, text in zip(transaction.puts, texts, strict=True):
            row = put.row
            versions[row] = self.table(row.table).put(row.key, text)
        for row in transaction.deletes:
            self.table(row.table).delete(row.key)
        return Committed(versions)

    def conflict(self, check: Check) -> Conflict | None:
        """Return how a row fails a check, or None if it meets it."""
        row = self.get(check.row.table, check.row.key)
        version = None if row is None else row.version
        if version == check.version:
            return None
        return Conflict(check.row, version, None if row is None else row.value)
