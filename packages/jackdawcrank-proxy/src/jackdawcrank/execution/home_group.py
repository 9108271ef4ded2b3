"""A database group on one of its home proxies."""

import random
from collections.abc import Callable, Mapping, Sequence

from jackdawcrank.execution.acknowledger import Acknowledger
from jackdawcrank.execution.admission_gate import AdmissionGate
from jackdawcrank.execution.counters import GroupCounters
from jackdawcrank.execution.group_state import DropListener, GroupState
from jackdawcrank.execution.read_path import ReadPath
from jackdawcrank.execution.record_expiry import RecordExpiry
from jackdawcrank.execution.request_records import RequestRecords
from jackdawcrank.execution.statement_runner import StatementRunner
from jackdawcrank.execution.transactions import Transactions
from jackdawcrank.execution.write_path import WritePath
from jackdawcrank.front.values import make_text_rows
from jackdawcrank.results import result_error
from jackdawcrank_policy.admission import (
    GroupAdmission,
    concurrency_limit,
    home_slots,
)
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.lease import LeaseTable
from jackdawcrank_policy.requests import RequestResult
from jackdawcrank_policy.requests.request_record import RequestRecord
from jackdawcrank_policy.values import (
    CallerClassSpec,
    GroupRow,
    GroupSpec,
    NotRun,
    NotRunReason,
    Position,
    ServerReport,
    ServerSpec,
)
from jackdawcrank_wire.messages import (
    ResultError,
    ResultOk,
    StatementKind,
    StatementOutcome,
    StatementRequest,
    StatementResult,
)

PROBE_TIMEOUT_SECONDS = 1.0


class HomeGroup:
    """Executes a group's statements on this VM.

    Attributes:
      state: The servers, term, evidence and connections of the group.
      counters: The statement counters of the group.
      transactions: The open transactions.
      in_flight: The number of statements that are running or queued.
      on_work_finished: Called when a statement or transaction has ended.
    """

    def __init__(
        self,
        vm: str,
        spec: GroupSpec,
        leases: LeaseTable,
        clock: Callable[[], float],
        rng: random.Random,
        user: str,
        password: str,
        on_drop: DropListener,
        was_writer: bool = False,
    ) -> None:
        self.state = GroupState(
            vm,
            spec,
            leases,
            clock,
            rng,
            user,
            password,
            on_drop,
            was_writer,
        )
        self.counters = GroupCounters()
        self.in_flight = 0
        self.on_work_finished: Callable[[], None] = _do_nothing
        self.classes: Mapping[str, CallerClassSpec] = {}
        self.gate = AdmissionGate(GroupAdmission(limit=1), clock)
        runner = StatementRunner(self.state)
        acknowledger = Acknowledger(self.state)
        self.records = RequestRecords(self.state, runner, acknowledger)
        self.expiry = RecordExpiry(self.state, runner)
        self.reads = ReadPath(
            self.state, self.gate, runner, acknowledger, self.counters
        )
        components = (self.state, self.gate, runner, acknowledger, self.records)
        self.writes = WritePath(*components, self.counters)
        self.transactions = Transactions(*components, self.counters)

    def start(self, servers: Sequence[ServerSpec]) -> None:
        """Open connections to the servers.

        Args:
          servers: The declared servers of the group.
        """
        self.state.start(servers)
        self._update_concurrency_limit()

    async def close(self) -> None:
        """Close all transactions and connections."""
        self.transactions.close_all()
        await self.state.close()

    def set_spec(self, spec: GroupSpec) -> None:
        """Apply a changed group declaration.

        Args:
          spec: The new declaration.
        """
        self.state.set_spec(spec)
        self._update_concurrency_limit()

    def set_servers(self, servers: Sequence[ServerSpec]) -> None:
        """Apply changed server declarations.

        Args:
          servers: The new declarations.
        """
        for name in self.state.set_servers(servers):
            self.transactions.close_on_server(name)
        self._update_concurrency_limit()

    def set_row(self, row: GroupRow, version: int) -> None:
        """Apply the group's row unless a newer one is known.

        Args:
          row: The row.
          version: The change log version that wrote the row.
        """
        if self.state.set_row(row, version):
            self._update_concurrency_limit()

    def observe(
        self, report: ServerReport, sent_at: float, answered_at: float
    ) -> None:
        """Process the answer to a probe.

        Args:
          report: The state that the server reported.
          sent_at: The time the probe was sent, in seconds on the monotonic
            clock.
          answered_at: The time the answer was received, in seconds on the
            monotonic clock.
        """
        self.state.observe(report, sent_at, answered_at)

    async def execute(self, request: StatementRequest) -> StatementResult:
        """Run a statement and return its result.

        Args:
          request: The statement and its options.
        """
        deadline = self.state.clock() + request.deadline_ms / 1000
        self.in_flight += 1
        try:
            result = await self._dispatch(request, deadline)
        finally:
            self.in_flight -= 1
            self.on_work_finished()
        self._count(result)
        return result

    def tick(self, now: float) -> list[str]:
        """Do periodic work; return the ids of transactions that it closed.

        Args:
          now: The time in seconds on the monotonic clock.
        """
        self.state.apply_budget()
        self._update_concurrency_limit()
        closed = self.transactions.expire(now)
        for server in self.state.servers_past_drain_timeout():
            closed += self.transactions.close_on_server(server)
        if closed:
            self.on_work_finished()
        return closed

    async def _dispatch(
        self, request: StatementRequest, deadline: float
    ) -> StatementResult:
        match request.kind:
            case StatementKind.SHOW_REQUEST:
                return await self._show_request(request, deadline)
            case StatementKind.POSITION:
                return await self._position(request)
            case StatementKind.END_SESSION:
                await self.transactions.end_session(request.session_id)
                return ResultOk()
        weight = self._weight(request.caller_class)
        if request.transaction_id:
            return await self.transactions.run(request, weight, deadline)
        if request.kind is StatementKind.READ:
            return await self.reads.run(request, weight, deadline)
        return await self.writes.run(request, weight, deadline)

    async def _show_request(
        self, request: StatementRequest, deadline: float
    ) -> StatementResult:
        found = await self.records.look_up(request.request_id, deadline)
        if isinstance(found, NotRun):
            return result_error(found)
        return _request_rows(request.request_id, found.record)

    async def _position(self, request: StatementRequest) -> StatementResult:
        """Return a position that is not below the session's last read."""
        for server in (request.last_server, self.state.table.primary):
            control = self.state.controls.get(server)
            if control is None:
                continue
            sent_at = self.state.clock()
            report = await control.probe(PROBE_TIMEOUT_SECONDS)
            if not isinstance(report, ServerReport):
                continue
            self.state.observe(report, sent_at, self.state.clock())
            if self._is_on_current_branch(report):
                return ResultOk(position=_later_position(report, request))
        detail = "the position of the last read is not known yet"
        return result_error(NotRun(NotRunReason.NO_SERVER, detail, 200))

    def _is_on_current_branch(self, report: ServerReport) -> bool:
        branch = self.state.table.evidence.branch
        return report.term == branch.term and branch.contains(report.position)

    def _weight(self, caller_class: str) -> int:
        spec = self.classes.get(caller_class)
        return 1 if spec is None else spec.weight

    def _update_concurrency_limit(self) -> None:
        """Set the admission limit to this home's share of the slots."""
        state = self.state
        row = state.row
        if row is None:
            return
        total = state.spec.slots_per_server * len(state.serving)
        slots = home_slots(total, writer_names(row.writers), state.vm)
        limit = concurrency_limit(
            slots,
            self.gate.admission.service,
            state.mean_round_trip(),
            state.connections_share(),
        )
        self.gate.set_limit(limit)

    def _count(self, result: StatementResult) -> None:
        if not isinstance(result, ResultError):
            return
        match result.outcome:
            case StatementOutcome.NOT_RUN:
                self.counters.refused += 1
            case StatementOutcome.FAILED:
                self.counters.failed += 1
            case StatementOutcome.UNKNOWN:
                self.counters.unknown += 1


def _later_position(
    report: ServerReport, request: StatementRequest
) -> Position:
    if not request.token:
        return report.position
    token = Position.parse(request.token)
    return max(token, report.position, key=lambda p: (p.offset, p.term))


def _request_rows(
    request_id: str, record: RequestRecord | None
) -> StatementResult:
    names = ("request_id", "outcome", "affected_rows", "last_insert_id")
    if record is None:
        return make_text_rows(names, ((request_id, "not_found", "", ""),))
    result: RequestResult = record.result
    values = (
        request_id,
        "done" if record.is_finished else "unknown",
        str(result.affected_rows),
        str(result.last_insert_id),
    )
    return make_text_rows(names, (values,))


def _do_nothing() -> None:
    """Do nothing."""
