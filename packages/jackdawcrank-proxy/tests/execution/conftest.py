"""A home group connected to a fake of its backend servers."""

import asyncio
import collections
import itertools
import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest

from jackdawcrank.backend.answer import (
    ErrorAnswer,
    LostAnswer,
    OkAnswer,
    Row,
    RowsAnswer,
    ServerAnswer,
)
from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank.backend.server_connection import ServerConnection
from jackdawcrank.execution.home_group import HomeGroup
from jackdawcrank_policy.lease import LeaseTable
from jackdawcrank_policy.values import (
    Branch,
    GroupPhase,
    GroupRow,
    GroupSpec,
    Position,
    ServerSpec,
    TermStart,
)
from jackdawcrank_standins.history import run_virtual
from jackdawcrank_wire.messages import (
    ResultError,
    StatementKind,
    StatementRequest,
    StatementResult,
)

GROUP = "ledger"
SERVERS = ("s1", "s2", "s3")
ANSWER_SECONDS = 0.001
DEADLINE_MS = 5000
ERRORS = {"1290": 1290, "1213": 1213, "1062": 1062, "other": 1054}


def step_of(sql: str) -> str:
    """Return the execution step that a statement belongs to."""
    if "jackdawcrank_requests" in sql:
        word = sql.split()[0].lower()
        return {"insert": "insert", "update": "record"}.get(word, word)
    if sql in ("BEGIN", "COMMIT", "ROLLBACK"):
        return sql.lower()
    if "@@group_term" in sql:
        return "probe"
    if "WAIT_FOR_LOG_POSITION" in sql:
        return "confirm"
    return "setup" if sql.startswith("SET ") else "run"


@attrs.define
class FakeBackend:
    """A fake of the servers of a group, which share one log.

    Attributes:
      clock: Returns the time in seconds.
      term: The current term.
      offset: The offset of the last commit.
      script: The scripted responses to the next statements by step.
      hooks: Functions that are called when a statement runs, by step.
      sent: The connection and text of each statement that the proxy sent.
      refused: The statements that were answered with error 1290.
      committed: The committed statements.
      records: The digests and results of recorded requests.
      links: All connections that were opened.
    """

    clock: Callable[[], float]
    term: int = 1
    offset: int = 0
    script: dict[str, collections.deque[str]] = attrs.field(factory=dict)
    hooks: dict[str, Callable[[], None]] = attrs.field(factory=dict)
    sent: list[tuple["FakeLink", str]] = attrs.field(factory=list)
    refused: list[str] = attrs.field(factory=list)
    committed: list[str] = attrs.field(factory=list)
    records: dict[str, Row] = attrs.field(factory=dict)
    links: list["FakeLink"] = attrs.field(factory=list)

    def texts(self, step: str) -> list[str]:
        """Return the texts of the statements sent for a step."""
        return [sql for _, sql in self.sent if step_of(sql) == step]

    def set_responses(self, step: str, *responses: str) -> None:
        """Set the responses to the next statements of a step."""
        self.script[step] = collections.deque(responses)

    def response(self, step: str) -> str:
        """Return the next response for a step."""
        queued = self.script.get(step)
        return queued.popleft() if queued else "ok"


class FakeLink(ServerConnection):
    """A connection to the fake backend."""

    def __init__(self, server: str, backend: FakeBackend) -> None:
        super().__init__(server, None)
        self.backend = backend
        self.in_transaction = False
        self.pending: list[str] = []
        self.pending_records: dict[str, Row] = {}
        self.running = 0

    @property
    def ended(self) -> bool:
        return not self.usable

    def close(self) -> None:
        self.usable = False
        self.in_transaction = False

    async def ping(self, timeout_seconds: float) -> bool:
        return self.usable

    async def reset(self, timeout_seconds: float) -> bool:
        await asyncio.sleep(ANSWER_SECONDS)
        self.roll_back()
        self.dirty = False
        return self.usable

    async def run(
        self, sql: str | bytes, timeout_seconds: float
    ) -> ServerAnswer:
        text = sql if isinstance(sql, str) else sql.decode()
        if not self.usable:
            return LostAnswer(False, "the connection is closed")
        assert not self.running, "two statements at once on one connection"
        self.running += 1
        try:
            return await self.serve(text)
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.running -= 1

    async def serve(self, sql: str) -> ServerAnswer:
        step = step_of(sql)
        response = self.backend.response(step)
        if response == "lost_before_sent":
            self.close()
            return LostAnswer(False, "lost before sent")
        self.backend.sent.append((self, sql))
        self.backend.hooks.get(step, lambda: None)()
        await asyncio.sleep(ANSWER_SECONDS)
        if response == "hang":
            await asyncio.sleep(math.inf)
        if response in ERRORS:
            if response == "1290":
                self.backend.refused.append(sql)
                self.roll_back()
            return ErrorAnswer(ERRORS[response], "HY000", response)
        if response == "lost_midway":
            self.commit()
        if (
            response.startswith(("lost_without", "lost_midway"))
            or not self.usable
        ):
            self.close()
            return LostAnswer(True, response)
        answer = self.apply(step, sql)
        if response == "lost_with_effect":
            self.close()
            return LostAnswer(True, response)
        return answer

    def apply(self, step: str, sql: str) -> ServerAnswer:
        backend = self.backend
        match step:
            case "begin":
                self.in_transaction = True
            case "rollback":
                self.roll_back()
            case "commit":
                return self.commit()
            case "insert":
                _, request_id, _, digest, _ = sql.split("'")
                if request_id in backend.records:
                    return ErrorAnswer(1062, "23000", "duplicate")
                self.pending_records[request_id] = (digest.encode(), None, None)
            case "record":
                request_id = sql.split("'")[1]
                for records in (self.pending_records, backend.records):
                    if request_id in records:
                        digest_only = records[request_id][:1]
                        records[request_id] = (*digest_only, b"1", b"0")
            case "select":
                found = backend.records.get(sql.split("'")[1])
                return RowsAnswer((), (found,) if found else ())
            case "probe":
                report = f"{backend.term} replica {self.position()} 1"
                return RowsAnswer((), ((report.encode(),),))
            case "confirm":
                return RowsAnswer((), ((str(backend.term).encode(),),))
            case "run":
                return self.write(sql)
        return OkAnswer()

    def write(self, sql: str) -> ServerAnswer:
        self.pending.append(sql)
        if self.in_transaction and "CALL" not in sql:
            return OkAnswer(affected_rows=1)
        return attrs.evolve(self.commit(), affected_rows=1)

    def commit(self) -> OkAnswer:
        backend = self.backend
        wrote = bool(self.pending or self.pending_records)
        backend.committed += self.pending
        backend.records |= self.pending_records
        self.roll_back()
        if not wrote:
            return OkAnswer()
        backend.offset += 1
        return OkAnswer(position=Position(backend.term, backend.offset))

    def roll_back(self) -> None:
        self.in_transaction = False
        self.pending = []
        self.pending_records = {}

    def position(self) -> Position:
        return Position(self.backend.term, self.backend.offset)


def row_of(term: int, offset: int, phase: GroupPhase) -> GroupRow:
    """Return the group's row for a term."""
    starts = [TermStart(1, 0)]
    if phase is GroupPhase.ACTIVE and term > 1:
        starts.append(TermStart(term, offset))
    return GroupRow(
        GROUP, term, phase, "s1", "vm1", ("vm1",), Branch(tuple(starts))
    )


@attrs.define
class GroupHarness:
    """A home group on the fake backend, with a controllable lease."""

    backend: FakeBackend
    group: HomeGroup
    leases: LeaseTable
    versions: Any = attrs.field(factory=lambda: itertools.count(1))

    def set_lease(self, state: str) -> None:
        """Set the lease to held, lapsed or closed."""
        self.leases.renewed_at = math.inf if state == "held" else -math.inf
        if state == "closed":
            self.close_term()

    def set_row(self, row: GroupRow) -> None:
        version = next(self.versions)
        self.leases.install(row, version)
        self.group.set_row(row, version)

    def close_term(self) -> None:
        """Start a promotion, which closes the term."""
        self.set_row(row_of(2, 0, GroupPhase.PREPARING))

    def open_term(self, kept: bool = True) -> None:
        """Open the next term, with or without the newest writes."""
        term = self.backend.term = self.backend.term + 1
        offset = self.backend.offset if kept else 0
        self.set_row(row_of(term, offset, GroupPhase.ACTIVE))

    async def execute(self, sql: str, **options: Any) -> StatementResult:
        options.setdefault("deadline_ms", DEADLINE_MS)
        request = StatementRequest(GROUP, sql.encode(), "caller", **options)
        return await self.group.execute(request)

    async def end_transaction(self, kind: StatementKind) -> StatementResult:
        return await self.execute(
            kind.value.upper(), kind=kind, transaction_id="t1"
        )

    def assert_idle(self) -> None:
        """Assert that all slots, transactions and connections are released."""
        state = self.group.state
        assert self.group.transactions.open == {}
        assert state.busy_links == {}
        assert self.group.gate.admission.running == {}
        assert self.group.gate.waiters == {}
        assert self.group.in_flight == 0
        assert state.failover_waiters == 0
        for pool in state.pools.values():
            assert (pool.in_use, pool.opening, pool.busy) == (0, 0, set())
            for link in pool.idle:
                assert isinstance(link, FakeLink)
                assert link.usable
                assert not link.in_transaction
                assert not link.dirty


def outcome_of(result: StatementResult) -> str:
    """Return `done` or the outcome of an error."""
    if isinstance(result, ResultError):
        return result.outcome.value
    return "done"


Scenario = Callable[[GroupHarness], Awaitable[Any]]


@pytest.fixture
def run_scenario(monkeypatch: pytest.MonkeyPatch) -> Callable[..., Any]:
    """Return a function that runs a scenario in virtual time."""

    async def run(scenario: Scenario, spec: GroupSpec) -> Any:
        loop = asyncio.get_running_loop()
        backend = FakeBackend(loop.time)

        async def connect(endpoint: Endpoint, timeout: float) -> FakeLink:
            await asyncio.sleep(ANSWER_SECONDS)
            link = FakeLink(endpoint.server, backend)
            backend.links.append(link)
            return link

        monkeypatch.setattr(ServerConnection, "open", connect)
        leases = LeaseTable("vm1", renewed_at=math.inf)
        group = HomeGroup(
            "vm1",
            spec,
            leases,
            loop.time,
            random.Random(1),
            "user",
            "password",
            lambda server, why: None,
        )
        group.start([ServerSpec(n, GROUP, "127.0.0.1", 1) for n in SERVERS])
        harness = GroupHarness(backend, group, leases)
        harness.set_row(row_of(1, 0, GroupPhase.ACTIVE))
        await asyncio.sleep(0.1)
        try:
            result = await scenario(harness)
            await asyncio.sleep(0.5)
            harness.assert_idle()
            return result
        finally:
            await group.close()

    def run_on_virtual_time(
        scenario: Scenario, spec: GroupSpec | None = None
    ) -> Any:
        return run_virtual(run(scenario, spec or GroupSpec(GROUP)))

    return run_on_virtual_time


@pytest.fixture
def outcome() -> Callable[[StatementResult], str]:
    return outcome_of
