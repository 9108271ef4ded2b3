"""Open transactions of sessions on a home proxy."""

import asyncio
import collections

import attrs

from jackdawcrank.backend.answer import (
    ErrorAnswer,
    LostAnswer,
    OkAnswer,
    RowsAnswer,
    ServerAnswer,
)
from jackdawcrank.execution.acknowledger import Acknowledger, ReadVerdict
from jackdawcrank.execution.admission_gate import AdmissionGate
from jackdawcrank.execution.counters import GroupCounters
from jackdawcrank.execution.group_state import GroupState
from jackdawcrank.execution.keyed_locks import KeyedLocks
from jackdawcrank.execution.open_transaction import OpenTransaction
from jackdawcrank.execution.request_records import (
    DUPLICATE_KEY,
    RequestRecords,
)
from jackdawcrank.execution.statement_runner import (
    NotStarted,
    StatementRunner,
)
from jackdawcrank.results import (
    result_error,
    result_from_answer,
    rolled_back_error,
)
from jackdawcrank.results.answers import failure_from_answer
from jackdawcrank.results.errors import ROLLED_BACK_CODE, ROLLED_BACK_SQLSTATE
from jackdawcrank.statements import first_keyword
from jackdawcrank_policy.values import (
    Done,
    Failed,
    NotRun,
    NotRunReason,
    Unknown,
)
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    StatementKind,
    StatementOutcome,
    StatementRequest,
    StatementResult,
)

ROLLED_BACK_CODES = frozenset({1205, 1213, 1290, 3024})
ROLLBACK_TIMEOUT_SECONDS = 1.0
NO_SERVER_RETRY_MS = 200
MAX_CLOSED_KEPT = 10_000


class Transactions:
    """Opens, runs and ends transactions.

    Attributes:
      state: The state of the group.
      gate: Admits statements to the group.
      runner: Acquires connections.
      acknowledger: Validates the primary's answers.
      records: The request records of the group.
      counters: The statement counters of the group.
      open: The open transactions by id.
      closed: The ids of the transactions that this home closed without a
        request of the session, oldest first, at most MAX_CLOSED_KEPT.
      opening: Locks by transaction id, so that concurrent first statements
        open a transaction only once.
    """

    def __init__(
        self,
        state: GroupState,
        gate: AdmissionGate,
        runner: StatementRunner,
        acknowledger: Acknowledger,
        records: RequestRecords,
        counters: GroupCounters,
    ) -> None:
        self.state = state
        self.gate = gate
        self.runner = runner
        self.acknowledger = acknowledger
        self.records = records
        self.counters = counters
        self.open: dict[str, OpenTransaction] = {}
        self.closed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.opening = KeyedLocks()

    async def run(
        self, request: StatementRequest, weight: int, deadline: float
    ) -> StatementResult:
        """Run a statement of a transaction, which is opened if necessary.

        Args:
          request: The statement and its options.
          weight: The weight of the caller class.
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        async with self.opening.acquire(request.transaction_id):
            transaction = self.open.get(request.transaction_id)
            if transaction is None:
                return await self._open_and_run(request, weight, deadline)
        slot = self.gate.enter_over_limit(request.caller)
        try:
            async with transaction.lock:
                return await self._serve(transaction, request, deadline)
        finally:
            self.gate.leave(slot)

    async def end_session(self, session_id: str) -> None:
        """Roll back the open transactions of a session.

        Args:
          session_id: The id of the session.
        """
        for transaction in tuple(self.open.values()):
            if transaction.session_id == session_id:
                await self._roll_back(transaction)

    def end_sessions_of(self, prefix: str) -> None:
        """Close the transactions of all sessions of a lost entry proxy.

        Args:
          prefix: The common prefix of the session ids of the entry proxy.
        """
        for transaction in tuple(self.open.values()):
            if transaction.session_id.startswith(prefix):
                self._close(transaction)

    def expire(self, now: float) -> list[str]:
        """Close transactions past their timeout; return their ids.

        Args:
          now: The time in seconds on the monotonic clock.
        """
        limit = self.state.spec.transaction_timeout_ms / 1000
        expired = [t for t in self.open.values() if now - t.opened_at > limit]
        for transaction in expired:
            self._close(transaction)
        return [transaction.transaction_id for transaction in expired]

    def close_on_server(self, server: str) -> list[str]:
        """Close the transactions on a server; return their ids.

        Args:
          server: The name of the server.
        """
        found = [t for t in self.open.values() if t.primary.server == server]
        for transaction in found:
            self._close(transaction)
        return [transaction.transaction_id for transaction in found]

    def close_all(self) -> None:
        """Close every transaction."""
        for transaction in tuple(self.open.values()):
            self._close(transaction)

    async def _open_and_run(
        self, request: StatementRequest, weight: int, deadline: float
    ) -> StatementResult:
        if request.kind is StatementKind.ROLLBACK:
            return ResultOk()
        closed = request.transaction_id in self.closed
        if closed or request.begun or request.kind is StatementKind.COMMIT:
            return rolled_back_error("it is not open on this proxy")
        slot = await self.gate.enter(
            request.caller, request.caller_class, weight, deadline
        )
        if isinstance(slot, NotRun):
            return result_error(slot)
        try:
            transaction = await self._begin(request, deadline)
            if isinstance(transaction, NotRun):
                return result_error(transaction)
            async with transaction.lock:
                return await self._serve(transaction, request, deadline)
        finally:
            self.gate.leave(slot)

    async def _begin(
        self, request: StatementRequest, deadline: float
    ) -> OpenTransaction | NotRun:
        while True:
            primary = await self.state.wait_for_primary(deadline)
            if isinstance(primary, NotRun):
                return primary
            link = await self.runner.acquire(
                primary.server, request.setup, deadline
            )
            if isinstance(link, NotStarted):
                return NotRun(
                    NotRunReason.NO_SERVER, link.detail, NO_SERVER_RETRY_MS
                )
            if self.runner.is_current_primary(primary.server, primary.term):
                break
            self.state.pools[primary.server].release(link)
        link.dirty = True
        self.state.link_started(link, primary.term)
        answer: ServerAnswer = LostAnswer(False, "cancelled")
        try:
            answer = await link.run("BEGIN", self.runner.remaining(deadline))
        finally:
            if not isinstance(answer, OkAnswer):
                link.close()
                self.state.link_finished(link)
                self.state.pools[primary.server].release(link)
        if not isinstance(answer, OkAnswer):
            detail = f"could not open a transaction: {answer}"
            return NotRun(NotRunReason.NO_SERVER, detail, NO_SERVER_RETRY_MS)
        transaction = OpenTransaction(
            request.transaction_id,
            request.session_id,
            link,
            primary,
            self.state.clock(),
        )
        self.open[request.transaction_id] = transaction
        return transaction

    async def _serve(
        self,
        transaction: OpenTransaction,
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        if transaction.transaction_id not in self.open:
            return rolled_back_error("it was closed before this statement")
        try:
            match request.kind:
                case StatementKind.COMMIT:
                    return await self._commit(transaction, request, deadline)
                case StatementKind.ROLLBACK:
                    return await self._roll_back(transaction)
                case _:
                    return await self._run_statement(
                        transaction, request, deadline
                    )
        except asyncio.CancelledError:
            self._close(transaction)
            raise

    async def _run_statement(
        self,
        transaction: OpenTransaction,
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        if request.kind is StatementKind.WRITE:
            transaction.wrote = True
        answer = await transaction.link.run(
            request.sql, self.runner.remaining(deadline)
        )
        if isinstance(answer, LostAnswer):
            self._close(transaction)
            if first_keyword(request.sql.decode("utf-8", "replace")) == "call":
                return result_error(Unknown(answer.detail))
            return rolled_back_error(answer.detail)
        if isinstance(answer, ErrorAnswer):
            return await self._statement_failed(transaction, answer)
        if not await self._are_rows_valid(transaction, answer, deadline):
            self._close(transaction)
            return rolled_back_error("the primary was replaced")
        primary = transaction.primary
        result = result_from_answer(answer, primary.server, primary.term)
        return self._mark_in_transaction(transaction, result)

    async def _statement_failed(
        self, transaction: OpenTransaction, answer: ErrorAnswer
    ) -> StatementResult:
        result = result_error(failure_from_answer(answer))
        if answer.code in ROLLED_BACK_CODES:
            await self._roll_back(transaction)
            return result
        return self._mark_in_transaction(transaction, result)

    async def _are_rows_valid(
        self,
        transaction: OpenTransaction,
        answer: ServerAnswer,
        deadline: float,
    ) -> bool:
        if not isinstance(answer, RowsAnswer):
            return True
        primary = transaction.primary
        verdict = await self.acknowledger.read(
            primary.server, primary.term, deadline
        )
        return verdict is ReadVerdict.VALID

    async def _commit(
        self,
        transaction: OpenTransaction,
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        if request.request_id:
            recorded = await self._record_request_id(
                transaction, request, deadline
            )
            if recorded is not None:
                return recorded
        answer = await transaction.link.run(
            "COMMIT", self.runner.remaining(deadline)
        )
        outcome = await self._evaluate_commit(transaction, answer, deadline)
        self._finish(transaction)
        if isinstance(outcome, ResultError) and request.request_id:
            return await self._resolve_unknown(
                transaction, outcome, request, deadline
            )
        return outcome

    async def _evaluate_commit(
        self,
        transaction: OpenTransaction,
        answer: ServerAnswer,
        deadline: float,
    ) -> StatementResult:
        if isinstance(answer, ErrorAnswer):
            transaction.link.close()
            if answer.code in ROLLED_BACK_CODES:
                return result_error(failure_from_answer(answer))
            return result_error(Unknown(f"COMMIT: {answer.message}"))
        if isinstance(answer, LostAnswer):
            return result_error(Unknown(answer.detail))
        assert isinstance(answer, OkAnswer)
        verdict = await self._verdict(transaction, answer, deadline)
        if not isinstance(verdict, Done):
            return result_error(verdict)
        if answer.position is not None:
            self.counters.writes += 1
        return ResultOk(
            position=answer.position, server=transaction.primary.server
        )

    async def _verdict(
        self,
        transaction: OpenTransaction,
        answer: OkAnswer,
        deadline: float,
    ) -> Done | Failed | Unknown:
        if answer.position is not None:
            return await self.acknowledger.write(answer.position, deadline)
        primary = transaction.primary
        verdict = await self.acknowledger.read(
            primary.server, primary.term, deadline
        )
        if verdict is ReadVerdict.VALID:
            return Done()
        return Failed(
            ROLLED_BACK_CODE, ROLLED_BACK_SQLSTATE, "the primary was replaced"
        )

    async def _record_request_id(
        self,
        transaction: OpenTransaction,
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult | None:
        """Record the request id; return a result if the transaction ended."""
        answer = await self.records.insert_for_commit(
            transaction.link, request.request_id, deadline
        )
        if isinstance(answer, OkAnswer):
            return None
        await self._roll_back(transaction)
        if isinstance(answer, ErrorAnswer) and answer.code == DUPLICATE_KEY:
            self.counters.repeats += 1
            found = await self.records.look_up(request.request_id, deadline)
            if isinstance(found, NotRun) or found.record is None:
                return result_error(Unknown("the request record was not found"))
            return ResultOk()
        return rolled_back_error(
            f"its request id could not be recorded: {answer}"
        )

    async def _resolve_unknown(
        self,
        transaction: OpenTransaction,
        unknown_result: ResultError,
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        if unknown_result.outcome is not StatementOutcome.UNKNOWN:
            return unknown_result
        found = await self.records.resolve(
            request.request_id, transaction.primary.term, deadline
        )
        if found is None:
            return unknown_result
        if found.record is None:
            return rolled_back_error("the primary was replaced")
        return ResultOk()

    async def _roll_back(self, transaction: OpenTransaction) -> StatementResult:
        if self.open.get(transaction.transaction_id) is not transaction:
            return ResultOk()
        if transaction.link.usable:
            answer = await transaction.link.run(
                "ROLLBACK", ROLLBACK_TIMEOUT_SECONDS
            )
            if not isinstance(answer, OkAnswer):
                transaction.link.close()
        self._finish(transaction)
        return ResultOk()

    def _close(self, transaction: OpenTransaction) -> None:
        """Close a transaction without a request of its session.

        The id is kept, so that later statements of the session are refused and
        do not open a new transaction.
        """
        self.closed[transaction.transaction_id] = None
        while len(self.closed) > MAX_CLOSED_KEPT:
            self.closed.popitem(last=False)
        transaction.link.close()
        self._finish(transaction)

    def _finish(self, transaction: OpenTransaction) -> None:
        if self.open.pop(transaction.transaction_id, None) is transaction:
            self.state.link_finished(transaction.link)
            pool = self.state.pools[transaction.primary.server]
            pool.release(transaction.link)

    def _mark_in_transaction(
        self, transaction: OpenTransaction, result: StatementResult
    ) -> StatementResult:
        return attrs.evolve(
            result,
            in_transaction=True,
            transaction_id=transaction.transaction_id,
        )
