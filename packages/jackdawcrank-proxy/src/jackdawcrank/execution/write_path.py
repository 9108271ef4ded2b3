"""The way of a write outside a transaction."""

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
from jackdawcrank.results.answers import failed
from jackdawcrank.statements import FrontKind, classify, first_word
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
      state: The group.
      gate: The group's admission.
      runner: Runs statements.
      acknowledger: Judges commits.
      records: The group's request records.
      counters: Counts outcomes.
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
          request: The statement with its options.
          weight: The caller class's weight.
          deadline: When the caller gives up, on the monotonic clock.
        """
        opened = await self.state.wait_for_primary(deadline)
        if isinstance(opened, NotRun):
            return result_error(opened)
        ticket = await self.gate.enter(
            request.caller, request.caller_class, weight, deadline
        )
        if isinstance(ticket, NotRun):
            return result_error(ticket)
        try:
            return await self._attempts(request, deadline)
        finally:
            self.gate.leave(ticket)

    async def _attempts(
        self, request: StatementRequest, deadline: float, attempt: int = 0
    ) -> StatementResult:
        """Run a write, again only where that can't make it run twice."""
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
            if isinstance(answer, NotStarted) and self._moved(primary):
                continue
            again = request.repeatable and attempt < MAX_ATTEMPTS
            if not _was_rolled_back(answer) or not again:
                return await self._judge(answer, primary, deadline)
            await self._wait_for_change(primary, deadline)

    async def _wait_for_change(
        self, primary: OpenPrimary, deadline: float
    ) -> None:
        if self.state.primary() == primary:
            remaining = max(0.0, deadline - self.state.clock())
            await self.state.term_changed.wait(min(1.0, remaining))

    async def _judge(
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
            return result_error(failed(answer))
        position = answer.position if isinstance(answer, OkAnswer) else None
        verdict = await self._verdict(position, primary, deadline)
        if not isinstance(verdict, Done):
            return result_error(verdict)
        self.counters.writes += 1
        return result_from_answer(answer, primary.server, primary.term)

    async def _verdict(
        self, position: Position | None, primary: OpenPrimary, deadline: float
    ) -> Done | Failed | Unknown:
        """Acknowledge a commit, or an answer that changed nothing."""
        if position is not None:
            return await self.acknowledger.write(position, deadline)
        verdict = await self.acknowledger.read(
            primary.server, primary.term, deadline
        )
        if verdict is ReadVerdict.STANDS:
            return Done()
        return Unknown("the primary was replaced before it had answered")

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
            return await self._judge(link, primary, deadline)
        if self._moved(primary):
            self.state.pools[primary.server].release(link)
            return await self._attempts(request, deadline, attempt)
        implicit = _commits_itself(
            request.sql.decode("utf-8", "surrogateescape")
        )
        self.state.link_started(link, primary.term)
        try:
            finish = await self.records.execute(
                link, request, implicit, deadline
            )
        finally:
            self.state.link_finished(link)
            self.state.pools[primary.server].release(link)
        if isinstance(finish, Executed):
            return await self._judge_executed(
                finish, primary, request, deadline, attempt
            )
        if isinstance(finish, Unknown):
            return await self._settle(
                finish, primary, request, deadline, attempt
            )
        again = request.repeatable and attempt < MAX_ATTEMPTS
        if again and self._runs_elsewhere(finish, primary):
            result = await self._attempts(request, deadline, attempt)
            was_sent = isinstance(finish, Failed)
            if was_sent and _is_refusal(result):
                return result_error(finish)
            return result
        return result_error(finish)

    async def _judge_executed(
        self,
        finish: Executed,
        primary: OpenPrimary,
        request: StatementRequest,
        deadline: float,
        attempt: int,
    ) -> StatementResult:
        position = finish.position
        verdict = await self._verdict(position, primary, deadline)
        if isinstance(verdict, Unknown):
            return await self._settle(
                verdict, primary, request, deadline, attempt
            )
        if not isinstance(verdict, Done):
            return result_error(verdict)
        if finish.repeated:
            self.counters.repeats += 1
            position = await self._bound_of_repeat(primary)
        self.counters.writes += 1
        return _ok(finish.result, position, primary.server)

    async def _bound_of_repeat(self, primary: OpenPrimary) -> Position | None:
        """Return a position at or above a write that an earlier run made."""
        evidence = self.state.table.evidence
        sent_at = self.state.clock()
        report = await self.state.controls[primary.server].probe(1.0)
        position = getattr(report, "position", None)
        if position is None:
            return evidence.position(primary.server)
        self.state.observe(report, sent_at, self.state.clock())  # type: ignore[arg-type]
        return Position(position.term, position.offset)

    async def _settle(
        self,
        doubt: Unknown,
        sent_to: OpenPrimary,
        request: StatementRequest,
        deadline: float,
        attempt: int,
    ) -> StatementResult:
        """Find out what became of a write whose answer was lost.

        Where it may run again it does so under the same request id, whose
        unique key lets one of the two commit.
        """
        if request.repeatable and attempt < MAX_ATTEMPTS:
            again = await self._attempts(request, deadline, attempt)
            return result_error(doubt) if _is_refusal(again) else again
        found = await self.records.settle(
            request.request_id, sent_to.term, deadline
        )
        if found is None:
            return result_error(doubt)
        if found.record is not None and not found.record.is_finished:
            return result_error(doubt)
        if found.record is None:
            detail = "the primary was replaced and did not keep the write"
            return result_error(
                Failed(LOST_WRITE_CODE, LOST_WRITE_STATE, detail)
            )
        primary = self.state.primary()
        position = None
        if primary is not None:
            position = await self._bound_of_repeat(primary)
        self.counters.writes += 1
        return _ok(found.record.result, position, "")

    def _moved(self, primary: OpenPrimary) -> bool:
        """Return whether a primary may not get work any more."""
        return not self.runner.still_open(primary.server, primary.term)

    def _runs_elsewhere(
        self, finish: NotRun | Failed, primary: OpenPrimary
    ) -> bool:
        """Return whether a write left no effect and may find a way now."""
        if isinstance(finish, NotRun):
            return finish.reason is NotRunReason.NO_PRIMARY
        if finish.code == CONNECTION_LOST_CODE:
            return True
        current = self.state.primary()
        later = current is not None and current.term > primary.term
        return later and finish.code == READ_ONLY_CODE


def _is_refusal(result: StatementResult) -> bool:
    """Return whether a result says that this attempt did not run."""
    if not isinstance(result, ResultError):
        return False
    return result.outcome is StatementOutcome.NOT_RUN


def _commits_itself(sql: str) -> bool:
    """Return whether a statement may commit by itself, as DDL does."""
    kind = classify(sql).kind
    return kind is FrontKind.IMPLICIT_COMMIT or first_word(sql) == "call"


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
