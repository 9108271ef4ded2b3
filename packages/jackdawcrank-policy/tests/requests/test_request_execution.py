"""Tests of faults at every step of a write with a request id."""

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


def lose_connection_at(
    step: RequestStep, done: bool
) -> Callable[..., StatementReply]:
    def inject_fault(
        statement: Statement, run: Callable[[], StatementReply]
    ) -> StatementReply:
        if statement.step is not step:
            return run()
        if done:
            run()
        return ConnectionLost()

    return inject_fault


def test_first_execution_runs_once(
    database: Any, run_request: Callable[..., Any]
) -> None:
    outcome = run_request(database)
    assert isinstance(outcome, Executed) and not outcome.repeated
    assert outcome.result == RESULT
    assert database.applied == 1


def test_repeat_gets_the_first_result(
    database: Any, run_request: Callable[..., Any]
) -> None:
    run_request(database)
    outcome = run_request(database)
    assert outcome == Executed(RESULT, repeated=True)
    assert database.applied == 1


def test_another_statement_with_the_same_id_is_refused(
    database: Any, run_request: Callable[..., Any]
) -> None:
    run_request(database)
    outcome = run_request(database, sql="UPDATE plots SET certified = 2")
    assert isinstance(outcome, NotRun)
    assert outcome.reason is NotRunReason.BAD_OPTION
    assert database.applied == 1


@pytest.mark.parametrize("done", [False, True], ids=["request", "answer"])
@pytest.mark.parametrize("step", STEPS, ids=lambda step: str(step.value))
@pytest.mark.parametrize("recorded", [False, True], ids=["fresh", "repeat"])
def test_lost_connection_at_any_step_gives_a_correct_outcome(
    database: Any,
    run_request: Callable[..., Any],
    step: RequestStep,
    done: bool,
    recorded: bool,
) -> None:
    if recorded:
        run_request(database)
    before = database.applied
    outcome = run_request(database, inject_fault=lose_connection_at(step, done))
    ran = database.applied - before
    if isinstance(outcome, NotRun | Failed):
        assert ran == 0
    if ran and not isinstance(outcome, Executed):
        assert isinstance(outcome, Unknown)
    repeated_outcome = run_request(database)
    assert isinstance(repeated_outcome, Executed)
    assert database.applied == 1


@pytest.mark.parametrize("code", [1205, 1213, 1290, 3024, 1064])
@pytest.mark.parametrize("step", STEPS, ids=lambda step: str(step.value))
def test_error_at_any_step_leaves_no_effect(
    database: Any,
    run_request: Callable[..., Any],
    step: RequestStep,
    code: int,
) -> None:
    def inject_fault(
        statement: Statement, run: Callable[[], StatementReply]
    ) -> StatementReply:
        return ServerError(code) if statement.step is step else run()

    outcome = run_request(database, inject_fault=inject_fault)
    if isinstance(outcome, NotRun | Failed):
        assert database.applied == 0
    assert isinstance(run_request(database), Executed)
    assert database.applied == 1


def test_unexpected_commit_error_is_unknown(
    database: Any, run_request: Callable[..., Any]
) -> None:
    def inject_fault(
        statement: Statement, run: Callable[[], StatementReply]
    ) -> StatementReply:
        if statement.step is RequestStep.COMMIT:
            run()
            return ServerError(1180)
        return run()

    assert isinstance(run_request(database, inject_fault=inject_fault), Unknown)
