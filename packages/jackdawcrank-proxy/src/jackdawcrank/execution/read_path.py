"""Execution of reads outside transactions."""

import asyncio

import attrs

from jackdawcrank.backend.answer import ErrorAnswer, LostAnswer, RowsAnswer
from jackdawcrank.execution.acknowledger import Acknowledger, ReadVerdict
from jackdawcrank.execution.admission_gate import AdmissionGate
from jackdawcrank.execution.counters import GroupCounters
from jackdawcrank.execution.group_state import GroupState
from jackdawcrank.execution.statement_runner import (
    NotStarted,
    StatementRunner,
)
from jackdawcrank.results import result_error, result_from_answer
from jackdawcrank_policy.freshness import answer_is_valid
from jackdawcrank_policy.routing import (
    ReadConstraint,
    ReadRequest,
    Refuse,
    RouteToPrimary,
    RouteToReplica,
    SessionReads,
    WaitForReplica,
)
from jackdawcrank_policy.values import (
    NotRun,
    NotRunReason,
    Position,
    ServerReport,
)
from jackdawcrank_wire.messages import (
    ResultError,
    StatementOutcome,
    StatementRequest,
    StatementResult,
)

READ_ONLY_CODE = 1290
MAX_ATTEMPTS = 4
PROBE_TIMEOUT_SECONDS = 0.5
PRIMARY_RETRY_SECONDS = 0.02
PROBE_PAUSE_SECONDS = 0.05


class ReadPath:
    """Runs reads on replicas that are fresh enough, else on the primary.

    Attributes:
      state: The state of the group.
      gate: Admits statements to the group.
      runner: Runs statements.
      acknowledger: Validates the primary's answers.
      counters: The statement counters of the group.
    """

    def __init__(
        self,
        state: GroupState,
        gate: AdmissionGate,
        runner: StatementRunner,
        acknowledger: Acknowledger,
        counters: GroupCounters,
    ) -> None:
        self.state = state
        self.gate = gate
        self.runner = runner
        self.acknowledger = acknowledger
        self.counters = counters

    async def run(
        self, request: StatementRequest, weight: int, deadline: float
    ) -> StatementResult:
        """Run a read and return its result.

        Args:
          request: The statement and its options.
          weight: The weight of the caller class.
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        max_age_ms = request.max_age_ms
        if max_age_ms is None and not request.token:
            max_age_ms = self.state.spec.default_max_age_ms
        read_request = None
        if request.token or max_age_ms is not None:
            read_request = self._read_request(request, max_age_ms, deadline)
            waited = await self._wait_for_replica(request, read_request)
            if isinstance(waited, Refuse):
                return result_error(waited.outcome)
            read_request = waited
        slot = await self.gate.enter(
            request.caller, request.caller_class, weight, deadline
        )
        if isinstance(slot, NotRun):
            return result_error(slot)
        try:
            if read_request is None:
                return await self._run_on_primary(request, deadline)
            return await self._run_with_retries(request, read_request, deadline)
        finally:
            self.gate.leave(slot)

    def _read_request(
        self,
        request: StatementRequest,
        max_age_ms: int | None,
        deadline: float,
    ) -> ReadRequest:
        token = Position.parse(request.token) if request.token else None
        return ReadRequest(
            group=request.group,
            deadline=deadline,
            token_position=token,
            max_age_ms=max_age_ms,
            constraint=self._read_constraint(request),
            replica_wait_seconds=self.state.spec.replica_wait_ms / 1000,
        )

    def _read_constraint(
        self, request: StatementRequest
    ) -> ReadConstraint | None:
        evidence = self.state.table.evidence
        return self._session_reads(request).constraint(request.group, evidence)

    def _session_reads(self, request: StatementRequest) -> SessionReads:
        reads = SessionReads()
        if request.last_server and request.last_read_age_ms is not None:
            # The age excludes the transit time from the entry proxy, so the
            # computed time of the read may be late, which is safe, but not
            # early.
            age = request.last_read_age_ms / 1000
            reads.record(
                request.group,
                request.last_server,
                self.state.clock() - age,
                request.last_read_term,
            )
        return reads

    async def _wait_for_replica(
        self, request: StatementRequest, read_request: ReadRequest
    ) -> ReadRequest | Refuse:
        """Wait once for a replica if that is expected to be faster.

        Returns:
          The read request to continue with, or the refusal.
        """
        choice = self._choose(read_request)
        if isinstance(choice, Refuse):
            return choice
        if not isinstance(choice, WaitForReplica):
            return read_request
        self.counters.replica_waits += 1
        if choice.probe:
            await self._probe_with_primary(choice.server)
        else:
            await self._wait_until_reached(choice, read_request)
        return attrs.evolve(
            read_request,
            may_wait=False,
            constraint=self._read_constraint(request),
        )

    async def _probe_with_primary(self, server: str) -> None:
        names = {server, self.state.table.primary} & self.state.controls.keys()
        await asyncio.gather(*(self._probe(name) for name in names))

    async def _wait_until_reached(
        self, choice: WaitForReplica, read_request: ReadRequest
    ) -> None:
        """Probe a replica until it has reached the position of the read."""
        target = read_request.target()
        evidence = self.state.table.evidence
        while (remaining := choice.until - self.state.clock()) > 0:
            if target is None or evidence.reached(
                choice.server, target, evidence.branch
            ):
                return
            await self._probe(choice.server)
            await asyncio.sleep(min(remaining, PROBE_PAUSE_SECONDS))

    def _choose(
        self, read_request: ReadRequest
    ) -> RouteToReplica | RouteToPrimary | WaitForReplica | Refuse:
        return self.state.table.choose(
            read_request, self.state.clock(), self.state.rng
        )

    async def _run_with_retries(
        self,
        request: StatementRequest,
        read_request: ReadRequest,
        deadline: float,
    ) -> StatementResult:
        result: StatementResult | None = None
        for _ in range(MAX_ATTEMPTS):
            choice = self._choose(read_request)
            if isinstance(choice, Refuse):
                return result_error(choice.outcome)
            if isinstance(choice, RouteToReplica):
                result = await self._run_on_replica(
                    request, read_request, choice, deadline
                )
                if result is not None:
                    return result
                if not request.repeatable:
                    break
            else:
                break
            if self.state.clock() >= deadline:
                break
        return await self._run_on_primary(request, deadline)

    async def _run_on_replica(
        self,
        request: StatementRequest,
        read_request: ReadRequest,
        choice: RouteToReplica,
        deadline: float,
    ) -> StatementResult | None:
        """Run a read on a replica; return None if its answer is unusable."""
        branch = self.state.table.evidence.branch
        answer = await self.runner.run(choice.server, request, deadline)
        answered_at = self.state.clock()
        if isinstance(answer, NotStarted | LostAnswer):
            return None
        if isinstance(answer, ErrorAnswer) and answer.code == READ_ONLY_CODE:
            return None
        if not choice.fresh_at(answered_at, read_request.max_age_ms):
            self.counters.late_answers += 1
            return None
        bound = read_request.target()
        if not await self._is_answer_valid(
            choice.server, branch, bound, answered_at
        ):
            return None
        self.counters.replica_reads += 1
        return result_from_answer(answer, choice.server, branch.term)

    async def _is_answer_valid(
        self,
        server: str,
        branch: object,
        bound: Position | None,
        answered_at: float,
    ) -> bool:
        evidence = self.state.table.evidence
        if branch != evidence.branch:
            return False
        if answer_is_valid(
            evidence, server, evidence.branch, bound, answered_at
        ):
            return True
        await self._probe(server)
        return branch == evidence.branch and answer_is_valid(
            evidence, server, evidence.branch, bound, answered_at
        )

    async def _probe(self, server: str) -> None:
        sent_at = self.state.clock()
        report = await self.state.controls[server].probe(PROBE_TIMEOUT_SECONDS)
        if isinstance(report, ServerReport):
            self.state.observe(report, sent_at, self.state.clock())

    async def _run_on_primary(
        self, request: StatementRequest, deadline: float
    ) -> StatementResult:
        while True:
            result = await self._try_on_primary(request, deadline)
            if result is not None:
                return result
            if not request.repeatable:
                return _in_doubt()
            await asyncio.sleep(PRIMARY_RETRY_SECONDS)
            if self.state.clock() >= deadline:
                return result_error(
                    NotRun(
                        NotRunReason.DEADLINE,
                        "no primary answered before the deadline",
                    )
                )

    async def _try_on_primary(
        self, request: StatementRequest, deadline: float
    ) -> StatementResult | None:
        primary = await self.state.wait_for_primary(deadline)
        if isinstance(primary, NotRun):
            return result_error(primary)
        answer = await self.runner.run(
            primary.server, request, deadline, primary.term
        )
        if isinstance(answer, NotStarted):
            if not self.runner.is_current_primary(primary.server, primary.term):
                return None
            return result_error(
                NotRun(NotRunReason.NO_SERVER, answer.detail, 200)
            )
        if isinstance(answer, LostAnswer):
            return None
        if isinstance(answer, RowsAnswer):
            verdict = await self.acknowledger.read(
                primary.server, primary.term, deadline
            )
            if verdict is ReadVerdict.RETRY:
                return None
        self.counters.primary_reads += 1
        return result_from_answer(answer, primary.server, primary.term)


def _in_doubt() -> ResultError:
    return ResultError(
        StatementOutcome.UNKNOWN,
        "in_doubt",
        sqlstate="08007",
        message="the answer to a statement that is not repeatable was lost",
    )
