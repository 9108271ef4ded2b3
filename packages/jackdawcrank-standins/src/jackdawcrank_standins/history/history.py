"""The history of one database group during a run."""

import attrs

from jackdawcrank_standins.history.records import (
    CallerRecord,
    LogEntry,
    TermRecord,
)


@attrs.define
class History:
    """The answers to callers, the terms and the logs of the servers.

    Attributes:
      answers: The answers to callers, in chronological order.
      terms: The terms that were opened, in the order in which the store
        recorded them.
      logs: The log of each server at the end of the run, by server name.
      final_primary: The name of the primary at the end of the run. Its log
        is the final branch.
    """

    answers: list[CallerRecord] = attrs.field(factory=list)
    terms: list[TermRecord] = attrs.field(factory=list)
    logs: dict[str, tuple[LogEntry, ...]] = attrs.field(factory=dict)
    final_primary: str = ""

    def final_writes(self) -> frozenset[str]:
        """Return the ids of the writes on the final branch."""
        log = self.logs.get(self.final_primary, ())
        return frozenset(entry.write_id for entry in log)
