"""Faults at every step of a write with a request id."""

from collections.abc import Callable
from typing import Any

import pytest

from jackdawcrank_policy.requests import (
    ConnectionLost,
    Executed,
    RequestResult,
    RequestStep,
    ServerError,
    Statement,
    StatementReply,
)
from jackdawcrank_policy.values import Failed, NotRun, NotRunReason, Unknown

STEPS = list(RequestStep)
RESULT = RequestResult(affected_rows=3, last_insert_id=9)


def lose_at(step: RequestStep, done: bool) -> Callable[..., StatementReply]:
    def interfere(
        statement: Statement, run: Callable[[], StatementReply]
    ) -> StatementReply:
        if statement.step is not step:
            return run()
        if done:
            run()
        return ConnectionLost()

    return interfere


def test_the_first_execution_runs_once(
    database: Any, run_request: Callable[..., Any]
) -> None:
    end = run_request(database)
    assert isinstance(end, Executed) and not end.repeated
    assert end.result == RESULT
    assert database.applied == 1


def test_a_repeat_gets_the_first_result(
    database: Any, run_request: Callable[..., Any]
) -> None:
    run_request(database)
    end = run_request(database)
    assert end == Executed(RESULT, repeated=True)
    assert database.applied == 1


def test_another_statement_under_the_id_is_refused(
    database: Any, run_request: Callable[..., Any]
) -> None:
    run_request(database)
    end = run_request(database, sql="UPDATE plots SET certified = 2")
    assert isinstance(end, NotRun)
    assert end.reason is NotRunReason.BAD_OPTION
    assert database.applied == 1


@pytest.mark.parametrize("done", [False, True], ids=["request", "answer"])
@pytest.mark.parametrize("step", STEPS, ids=lambda step: str(step.value))
@pytest.mark.parametrize("recorded", [False, True], ids=["fresh", "repeat"])
def test_a_lost_connection_at_any_step_tells_the_truth(
    database: Any,
    run_request: Callable[..., Any],
    step: RequestStep,
    done: bool,
    recorded: bool,
) -> None:
    if recorded:
        run_request(database)
    before = database.applied
    end = run_request(database, interfere=lose_at(step, done))
    ran = database.applied - before
    if isinstance(end, NotRun | Failed):
        assert ran == 0
    if ran and not isinstance(end, Executed):
        assert isinstance(end, Unknown)
    again = run_request(database)
    assert isinstance(again, Executed)
    assert database.applied == 1


@pytest.mark.parametrize("code", [1205, 1213, 1290, 3024, 1064])
@pytest.mark.parametrize("step", STEPS, ids=lambda step: str(step.value))
def test_an_error_at_any_step_leaves_nothing_behind(
    database: Any,
    run_request: Callable[..., Any],
    step: RequestStep,
    code: int,
) -> None:
    def interfere(
        statement: Statement, run: Callable[[], StatementReply]
    ) -> StatementReply:
        return ServerError(code) if statement.step is step else run()

    end = run_request(database, interfere=interfere)
    if isinstance(end, NotRun | Failed):
        assert database.applied == 0
    assert isinstance(run_request(database), Executed)
    assert database.applied == 1


def test_an_unfamiliar_error_at_the_commit_is_unknown(
    database: Any, run_request: Callable[..., Any]
) -> None:
    def interfere(
        statement: Statement, run: Callable[[], StatementReply]
    ) -> StatementReply:
        if statement.step is RequestStep.COMMIT:
            run()
            return ServerError(1180)
        return run()

    assert isinstance(run_request(database, interfere=interfere), Unknown)
