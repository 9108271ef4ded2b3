"""A fake backend server with a request table and a commit counter."""

import functools
from collections.abc import Callable

import attrs
import pytest

from jackdawcrank_policy.requests import (
    ConnectionLost,
    RequestExecution,
    ServerError,
    Statement,
    StatementDone,
    StatementReply,
    digest_statement,
)
from jackdawcrank_policy.requests.request_execution import (
    ExecutionOutcome,
    RequestStep,
)
from jackdawcrank_policy.values import Position


@attrs.define
class FakeDatabase:
    """Runs the statements of request executions.

    Attributes:
      applied: The number of times that the write was committed.
      records: The committed request records.
      has_table: Whether the request table exists.
    """

    applied: int = 0
    records: dict[str, list[object]] = attrs.field(factory=dict)
    has_table: bool = False

    def run(
        self, statement: Statement, open_records: dict[str, list[object]]
    ) -> StatementReply:
        parameters = statement.parameters
        match statement.step:
            case RequestStep.CREATE:
                self.has_table = True
            case RequestStep.INSERT if not self.has_table:
                return ServerError(1146, "42S02", "no such table")
            case RequestStep.INSERT if parameters[0] in self.records:
                return ServerError(1062, "23000", "duplicate key")
            case RequestStep.INSERT:
                open_records[str(parameters[0])] = [parameters[1], None, None]
            case RequestStep.RUN:
                return StatementDone(affected_rows=3, last_insert_id=9)
            case RequestStep.RECORD:
                open_records[str(parameters[2])][1:] = parameters[:2]
            case RequestStep.COMMIT:
                self.applied += len(open_records)
                self.records.update(open_records)
                return StatementDone(position=Position(1, self.applied))
            case RequestStep.ROLLBACK:
                open_records.clear()
            case RequestStep.LOOK_UP:
                row = tuple(self.records[str(parameters[0])])
                return StatementDone(rows=(row,))
        return StatementDone()


FaultInjector = Callable[
    [Statement, Callable[[], StatementReply]], StatementReply
]


def run_unchanged(
    statement: Statement, run: Callable[[], StatementReply]
) -> StatementReply:
    return run()


def execute(
    database: FakeDatabase,
    sql: str = "UPDATE plots SET certified = 1",
    inject_fault: FaultInjector = run_unchanged,
) -> ExecutionOutcome:
    """Run one execution to its outcome; a lost connection rolls back."""
    execution = RequestExecution("r-1", digest_statement(sql), sql, 1000)
    open_records: dict[str, list[object]] = {}
    next_step: Statement | ExecutionOutcome = execution.start()
    while isinstance(next_step, Statement):
        run = functools.partial(database.run, next_step, open_records)
        reply = inject_fault(next_step, run)
        if isinstance(reply, ConnectionLost):
            open_records = {}
        next_step = execution.on_reply(reply)
    return next_step


@pytest.fixture
def database() -> FakeDatabase:
    return FakeDatabase()


@pytest.fixture
def run_request() -> Callable[..., ExecutionOutcome]:
    return execute
