"""Deletion of expired request records."""

import time

from jackdawcrank.backend.answer import OkAnswer, RowsAnswer
from jackdawcrank.backend.server_connection import ServerConnection
from jackdawcrank.execution.group_state import GroupState
from jackdawcrank.execution.statement_runner import (
    NotStarted,
    StatementRunner,
)
from jackdawcrank_policy.requests.expiry import (
    DELETE_EXPIRED,
    SELECT_OLDEST,
    expired_before,
)

EXPIRY_INTERVAL_SECONDS = 300.0
STATEMENT_TIMEOUT_SECONDS = 10.0


class RecordExpiry:
    """Periodically deletes a group's expired request records.

    Attributes:
      state: The state of the group.
      runner: Acquires connections to the primary.
      due_at: The time of the next run in seconds on the monotonic clock.
    """

    def __init__(self, state: GroupState, runner: StatementRunner) -> None:
        self.state = state
        self.runner = runner
        self.due_at = state.clock() + EXPIRY_INTERVAL_SECONDS

    def is_due(self, now: float) -> bool:
        """Return whether a run is due, and if so schedule the next one.

        Args:
          now: The time in seconds on the monotonic clock.
        """
        if now < self.due_at:
            return False
        self.due_at = now + EXPIRY_INTERVAL_SECONDS
        return True

    async def run(self) -> int:
        """Delete one batch of expired records; return the number deleted."""
        primary = self.state.primary()
        if primary is None:
            return 0
        deadline = self.state.clock() + STATEMENT_TIMEOUT_SECONDS
        link = await self.runner.acquire(primary.server, (), deadline)
        if isinstance(link, NotStarted):
            return 0
        try:
            return await self._delete(link)
        finally:
            self.state.pools[primary.server].release(link)

    async def _delete(self, link: ServerConnection) -> int:
        answer = await link.run(SELECT_OLDEST, STATEMENT_TIMEOUT_SECONDS)
        if not isinstance(answer, RowsAnswer) or not answer.rows:
            return 0
        oldest = answer.rows[0][0]
        bound = expired_before(
            None if oldest is None else int(oldest), int(time.time())
        )
        if bound is None:
            return 0
        deleted = await link.run(
            DELETE_EXPIRED % bound, STATEMENT_TIMEOUT_SECONDS
        )
        return deleted.affected_rows if isinstance(deleted, OkAnswer) else 0
