"""Transactions that run on a home proxy."""

import asyncio

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.home_messages import Kind, encode_execution, pack
from jackdawcrank.relay.home_stream import (
    HOME_MARGIN_SECONDS,
    HomeAnswer,
    HomeLost,
    HomeStream,
)
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams.replies import Problem, Reply
from jackdawcrank_policy.catalog import DatabaseSpec


class RemoteTransaction:
    """Forwards a transaction's statements to the home that opened it.

    Attributes:
      stream: The stream to the home.
      number: The transaction number on the home.
      timeout_seconds: The longest wait for the home's answer.
      log: Records lost homes.
      wrote: Whether a write was started.
      ended: Whether a commit or rollback was started, or the home was lost.
    """

    def __init__(
        self,
        stream: HomeStream,
        number: int,
        spec: DatabaseSpec,
        log: DecisionLog,
    ) -> None:
        self.stream = stream
        self.number = number
        self.timeout_seconds = (
            spec.statement_timeout_seconds + HOME_MARGIN_SECONDS
        )
        self.log = log
        self.wrote = False
        self.ended = False
        self.loop = asyncio.get_running_loop()

    async def run(self, session: SessionView, execution: Execution) -> Reply:
        """Run a statement in the transaction.

        Args:
          session: The session that owns the transaction.
          execution: The statement.
        """
        self.wrote = self.wrote or execution.writes
        number = self.stream.next_number()
        answer = await self.stream.call(
            number,
            pack(
                number,
                Kind.RUN_IN_TRANSACTION,
                self.number,
                encode_execution(execution),
                session.context.values,
            ),
            self.timeout_seconds,
        )
        if isinstance(answer, HomeLost):
            return self.statement_unanswered(session, execution.request_id)
        return answer.reply

    async def commit(self, session: SessionView, request_id: str) -> Reply:
        """Commit on the home.

        Args:
          session: The session that owns the transaction.
          request_id: The request id of the commit.
        """
        self.ended = True
        number = self.stream.next_number()
        answer = await self.stream.call(
            number,
            pack(number, Kind.COMMIT, self.number, request_id),
            self.timeout_seconds,
        )
        if isinstance(answer, HomeAnswer):
            session.record_position(answer.last_position)
            return answer.reply
        if not answer.sent or not self.wrote:
            return self.statement_unanswered(session, request_id)
        self.log_home_lost(session, request_id, Problem.IN_DOUBT)
        return Reply(
            problem=Problem.IN_DOUBT,
            detail="the home did not answer the commit",
        )

    def statement_unanswered(
        self, session: SessionView, request_id: str
    ) -> Reply:
        """Return the rollback reply after the home was lost.

        Nothing was committed: no commit was sent, or nothing was written.
        """
        self.ended = True
        self.log_home_lost(session, request_id, Problem.ROLLED_BACK)
        return Reply(
            problem=Problem.ROLLED_BACK,
            detail="the home did not answer; the transaction is rolled back",
        )

    def log_home_lost(
        self, session: SessionView, request_id: str, outcome: Problem
    ) -> None:
        """Log that the home did not answer."""
        self.log.event(
            "home_lost",
            request=request_id,
            database=session.database,
            account=session.account,
            outcome=outcome.value,
        )

    def roll_back(self) -> None:
        """Ask the home to roll back, unless the transaction has ended."""
        if not self.ended:
            self.ended = True
            self.stream.send(pack(0, Kind.UNDO, self.number))
