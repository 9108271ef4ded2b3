"""The history of one database group over a whole run."""

import attrs

from jackdawcrank_standins.history.records import (
    CallerRecord,
    LogEntry,
    TermRecord,
)


@attrs.define
class History:
    """What callers were told and what servers logged.

    Attributes:
      answers: The answers to callers, in order of time.
      terms: The openings of terms, in the order of the store's changes.
      logs: The final log of each server.
      final_primary: The server that leads at the end, whose log is the final
        branch.
    """

    answers: list[CallerRecord] = attrs.field(factory=list)
    terms: list[TermRecord] = attrs.field(factory=list)
    logs: dict[str, tuple[LogEntry, ...]] = attrs.field(factory=dict)
    final_primary: str = ""

    def final_writes(self) -> frozenset[str]:
        """Return the ids of the writes on the final branch."""
        log = self.logs.get(self.final_primary, ())
        return frozenset(entry.write_id for entry in log)
