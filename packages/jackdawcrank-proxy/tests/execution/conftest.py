"""A home group over a small fake of its backend server."""

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
    """Return which step of an execution a statement belongs to."""
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
    """The servers of a group, which share one log.

    Attributes:
      script: What becomes of the next statements of a step.
      hooks: What happens while a statement of a step runs.
      sent: The connection and text of each statement that left the proxy.
      refused: The statements that were answered with error 1290.
      committed: The statements that stand.
      records: The digests and results of recorded requests.
      links: Every connection that was opened.
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
        """Return the sent statements of a step."""
        return [sql for _, sql in self.sent if step_of(sql) == step]

    def plan(self, step: str, *fates: str) -> None:
        """Say what becomes of the next statements of a step."""
        self.script[step] = collections.deque(fates)

    def fate(self, step: str) -> str:
        """Return what becomes of a statement of a step."""
        planned = self.script.get(step)
        return planned.popleft() if planned else "ok"


class FakeLink(ServerConnection):
    """One connection to the fake."""

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
        fate = self.backend.fate(step)
        if fate == "lost_before_sent":
            self.close()
            return LostAnswer(False, "lost before sent")
        self.backend.sent.append((self, sql))
        self.backend.hooks.get(step, lambda: None)()
        await asyncio.sleep(ANSWER_SECONDS)
        if fate == "hang":
            await asyncio.sleep(math.inf)
        if fate in ERRORS:
            if fate == "1290":
                self.backend.refused.append(sql)
                self.roll_back()
            return ErrorAnswer(ERRORS[fate], "HY000", fate)
        if fate == "lost_midway":
            self.commit()
        if fate.startswith(("lost_without", "lost_midway")) or not self.usable:
            self.close()
            return LostAnswer(True, fate)
        answer = self.apply(step, sql)
        if fate == "lost_with_effect":
            self.close()
            return LostAnswer(True, fate)
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
class World:
    """A home group over the fake, with its lease under control."""

    backend: FakeBackend
    group: HomeGroup
    leases: LeaseTable
    versions: Any = attrs.field(factory=lambda: itertools.count(1))

    def set_lease(self, state: str) -> None:
        """Hold, let lapse or close the lease."""
        self.leases.renewed_at = math.inf if state == "held" else -math.inf
        if state == "closed":
            self.close_term()

    def set_row(self, row: GroupRow) -> None:
        version = next(self.versions)
        self.leases.install(row, version)
        self.group.set_row(row, version)

    def close_term(self) -> None:
        """Begin a promotion."""
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

    def check_at_rest(self) -> None:
        """Assert that nothing is held and nothing is left on connections."""
        state = self.group.state
        assert self.group.transactions.open == {}
        assert state.busy_links == {}
        assert self.group.gate.admission.running == {}
        assert self.group.gate.waiting == {}
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


Scenario = Callable[[World], Awaitable[Any]]


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch) -> Callable[..., Any]:
    """Return a function that runs a scenario on virtual time."""

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
        world = World(backend, group, leases)
        world.set_row(row_of(1, 0, GroupPhase.ACTIVE))
        await asyncio.sleep(0.1)
        try:
            result = await scenario(world)
            await asyncio.sleep(0.5)
            world.check_at_rest()
            return result
        finally:
            await group.close()

    def play_one(scenario: Scenario, spec: GroupSpec | None = None) -> Any:
        return run_virtual(run(scenario, spec or GroupSpec(GROUP)))

    return play_one


@pytest.fixture
def outcome() -> Callable[[StatementResult], str]:
    return outcome_of
