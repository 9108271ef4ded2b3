"""Execution of writes outside transactions."""

from jackdawcrank.backend.answer import (
    ErrorAnswer,
    LostAnswer,
    OkAnswer,
    ServerAnswer,
)
from jackdawcrank.execution.acknowledger import (
    LOST_WRITE_CODE,
    LOST_WRITE_STATE,
    Acknowledger,
    ReadVerdict,
)
from jackdawcrank.execution.admission_gate import AdmissionGate
from jackdawcrank.execution.counters import GroupCounters
from jackdawcrank.execution.group_state import GroupState
from jackdawcrank.execution.open_primary import OpenPrimary
from jackdawcrank.execution.request_records import RequestRecords
from jackdawcrank.execution.statement_runner import (
    NotStarted,
    StatementRunner,
)
from jackdawcrank.results import result_error, result_from_answer
from jackdawcrank.results.answers import failure_from_answer
from jackdawcrank.statements import FrontKind, classify, first_keyword
from jackdawcrank_policy.requests import CONNECTION_LOST_CODE, Executed
from jackdawcrank_policy.requests.request_record import RequestResult
from jackdawcrank_policy.values import (
    Done,
    Failed,
    NotRun,
    NotRunReason,
    Position,
    Unknown,
)
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    StatementOutcome,
    StatementRequest,
    StatementResult,
)

READ_ONLY_CODE = 1290
NO_SERVER_RETRY_MS = 200
MAX_ATTEMPTS = 3


class WritePath:
    """Runs writes on the primary and acknowledges them.

    Attributes:
      state: The state of the group.
      gate: Admits statements to the group.
      runner: Runs statements.
      acknowledger: Validates commits.
      records: The request records of the group.
      counters: The statement counters of the group.
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

    async def run(
        self, request: StatementRequest, weight: int, deadline: float
    ) -> StatementResult:
        """Run a write and return its result.

        Args:
          request: The statement and its options.
          weight: The weight of the caller class.
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        opened = await self.state.wait_for_primary(deadline)
        if isinstance(opened, NotRun):
            return result_error(opened)
        slot = await self.gate.enter(
            request.caller, request.caller_class, weight, deadline
        )
        if isinstance(slot, NotRun):
            return result_error(slot)
        try:
            return await self._run_with_retries(request, deadline)
        finally:
            self.gate.leave(slot)

    async def _run_with_retries(
        self, request: StatementRequest, deadline: float, attempt: int = 0
    ) -> StatementResult:
        """Run a write; retry only where it cannot take effect twice."""
        while True:
            attempt += 1
            primary = await self.state.wait_for_primary(deadline)
            if isinstance(primary, NotRun):
                return result_error(primary)
            if request.request_id:
                return await self._run_recorded(
                    primary, request, deadline, attempt
                )
            answer = await self.runner.run(
                primary.server, request, deadline, primary.term
            )
            if isinstance(answer, NotStarted) and self._is_superseded(primary):
                continue
            retry = request.repeatable and attempt < MAX_ATTEMPTS
            if not _was_rolled_back(answer) or not retry:
                return await self._evaluate_answer(answer, primary, deadline)
            await self._wait_for_change(primary, deadline)

    async def _wait_for_change(
        self, primary: OpenPrimary, deadline: float
    ) -> None:
        if self.state.primary() == primary:
            remaining = max(0.0, deadline - self.state.clock())
            await self.state.term_changed.wait(min(1.0, remaining))

    async def _evaluate_answer(
        self,
        answer: ServerAnswer | NotStarted,
        primary: OpenPrimary,
        deadline: float,
    ) -> StatementResult:
        if isinstance(answer, NotStarted):
            return result_error(
                NotRun(
                    NotRunReason.NO_SERVER, answer.detail, NO_SERVER_RETRY_MS
                )
            )
        if isinstance(answer, LostAnswer):
            return result_error(Unknown(answer.detail))
        if isinstance(answer, ErrorAnswer):
            return result_error(failure_from_answer(answer))
        position = answer.position if isinstance(answer, OkAnswer) else None
        verdict = await self._verdict(position, primary, deadline)
        if not isinstance(verdict, Done):
            return result_error(verdict)
        self.counters.writes += 1
        return result_from_answer(answer, primary.server, primary.term)

    async def _verdict(
        self, position: Position | None, primary: OpenPrimary, deadline: float
    ) -> Done | Failed | Unknown:
        """Validate a commit, or an answer without a commit position."""
        if position is not None:
            return await self.acknowledger.write(position, deadline)
        verdict = await self.acknowledger.read(
            primary.server, primary.term, deadline
        )
        if verdict is ReadVerdict.VALID:
            return Done()
        return Unknown(
            "the primary was replaced before its answer was validated"
        )

    async def _run_recorded(
        self,
        primary: OpenPrimary,
        request: StatementRequest,
        deadline: float,
        attempt: int,
    ) -> StatementResult:
        link = await self.runner.acquire(
            primary.server, request.setup, deadline
        )
        if isinstance(link, NotStarted):
            return await self._evaluate_answer(link, primary, deadline)
        if self._is_superseded(primary):
            self.state.pools[primary.server].release(link)
            return await self._run_with_retries(request, deadline, attempt)
        implicit = _commits_itself(
            request.sql.decode("utf-8", "surrogateescape")
        )
        self.state.link_started(link, primary.term)
        try:
            execution_result = await self.records.execute(
                link, request, implicit, deadline
            )
        finally:
            self.state.link_finished(link)
            self.state.pools[primary.server].release(link)
        if isinstance(execution_result, Executed):
            return await self._evaluate_executed(
                execution_result, primary, request, deadline, attempt
            )
        if isinstance(execution_result, Unknown):
            return await self._resolve_unknown(
                execution_result, primary, request, deadline, attempt
            )
        retry = request.repeatable and attempt < MAX_ATTEMPTS
        if retry and self._may_retry(execution_result, primary):
            result = await self._run_with_retries(request, deadline, attempt)
            was_sent = isinstance(execution_result, Failed)
            if was_sent and _is_refusal(result):
                return result_error(execution_result)
            return result
        return result_error(execution_result)

    async def _evaluate_executed(
        self,
        execution_result: Executed,
        primary: OpenPrimary,
        request: StatementRequest,
        deadline: float,
        attempt: int,
    ) -> StatementResult:
        position = execution_result.position
        verdict = await self._verdict(position, primary, deadline)
        if isinstance(verdict, Unknown):
            return await self._resolve_unknown(
                verdict, primary, request, deadline, attempt
            )
        if not isinstance(verdict, Done):
            return result_error(verdict)
        if execution_result.repeated:
            self.counters.repeats += 1
            position = await self._replay_position(primary)
        self.counters.writes += 1
        return _ok(execution_result.result, position, primary.server)

    async def _replay_position(self, primary: OpenPrimary) -> Position | None:
        """Return a position that is not below an earlier run's commit."""
        evidence = self.state.table.evidence
        sent_at = self.state.clock()
        report = await self.state.controls[primary.server].probe(1.0)
        position = getattr(report, "position", None)
        if position is None:
            return evidence.position(primary.server)
        self.state.observe(report, sent_at, self.state.clock())  # type: ignore[arg-type]
        return Position(position.term, position.offset)

    async def _resolve_unknown(
        self,
        unknown_result: Unknown,
        original_primary: OpenPrimary,
        request: StatementRequest,
        deadline: float,
        attempt: int,
    ) -> StatementResult:
        """Determine the outcome of a write whose answer was lost.

        A repeatable write is retried with the same request id. The unique key
        on the request id lets only one of the runs commit.
        """
        if request.repeatable and attempt < MAX_ATTEMPTS:
            retry = await self._run_with_retries(request, deadline, attempt)
            return result_error(unknown_result) if _is_refusal(retry) else retry
        found = await self.records.resolve(
            request.request_id, original_primary.term, deadline
        )
        if found is None:
            return result_error(unknown_result)
        if found.record is not None and not found.record.is_finished:
            return result_error(unknown_result)
        if found.record is None:
            detail = "the write was lost when the primary was replaced"
            return result_error(
                Failed(LOST_WRITE_CODE, LOST_WRITE_STATE, detail)
            )
        primary = self.state.primary()
        position = None
        if primary is not None:
            position = await self._replay_position(primary)
        self.counters.writes += 1
        return _ok(found.record.result, position, "")

    def _is_superseded(self, primary: OpenPrimary) -> bool:
        """Return whether a primary no longer accepts statements."""
        return not self.runner.is_current_primary(primary.server, primary.term)

    def _may_retry(
        self, execution_result: NotRun | Failed, primary: OpenPrimary
    ) -> bool:
        """Return whether a write had no effect and a retry may succeed."""
        if isinstance(execution_result, NotRun):
            return execution_result.reason is NotRunReason.NO_PRIMARY
        if execution_result.code == CONNECTION_LOST_CODE:
            return True
        current = self.state.primary()
        later = current is not None and current.term > primary.term
        return later and execution_result.code == READ_ONLY_CODE


def _is_refusal(result: StatementResult) -> bool:
    """Return whether a result states that the attempt did not run."""
    if not isinstance(result, ResultError):
        return False
    return result.outcome is StatementOutcome.NOT_RUN


def _commits_itself(sql: str) -> bool:
    """Return whether a statement may commit implicitly, as DDL does."""
    kind = classify(sql).kind
    return kind is FrontKind.IMPLICIT_COMMIT or first_keyword(sql) == "call"


def _was_rolled_back(answer: ServerAnswer | NotStarted) -> bool:
    return isinstance(answer, ErrorAnswer) and answer.code == READ_ONLY_CODE


def _ok(
    result: RequestResult, position: Position | None, server: str
) -> ResultOk:
    return ResultOk(
        affected_rows=result.affected_rows,
        last_insert_id=result.last_insert_id,
        position=position,
        server=server,
    )
