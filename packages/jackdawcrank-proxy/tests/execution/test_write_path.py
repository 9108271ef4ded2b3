"""Tests of writes outside transactions, for each response to each step."""

import asyncio
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import pytest

SQL = "INSERT INTO t VALUES (1)"
CALL = "CALL certify(1)"
STEPS = ("setup", "begin", "insert", "run", "record", "commit")
RESPONSES = (
    "ok",
    "1290",
    "1213",
    "1062",
    "other",
    "lost_before_sent",
    "lost_without_effect",
    "lost_with_effect",
)
LEASES = ("held", "lapsed", "closed")
CHANGES = ("none", "kept", "not_kept")


@attrs.frozen
class Case:
    """The parameters of a write.

    Attributes:
      recorded: Whether it carries a request id.
      repeatable: Whether it may be sent twice.
      lease: The lease state that is set while the statement runs.
      change: Whether the term changes while the statement runs, and whether
        the new term keeps the newest writes.
      sql: The statement.
    """

    recorded: bool
    repeatable: bool
    lease: str = "held"
    change: str = "none"
    sql: str = SQL

    def __str__(self) -> str:
        recorded = "recorded" if self.recorded else "plain"
        repeatable = "repeatable" if self.repeatable else "once"
        return f"{recorded}-{repeatable}-{self.lease}-{self.change}"


@attrs.frozen
class Observation:
    """The observed effects of a write.

    Attributes:
      outcome: The outcome returned to the caller.
      sent: The number of times the statement was sent.
      may_have_run: The number of times it was sent and not refused with
        error 1290.
      committed: The number of times it was committed.
    """

    outcome: str
    sent: int
    may_have_run: int
    committed: int


CASES = [
    Case(*one)
    for one in itertools.product((True, False), (True, False), LEASES, CHANGES)
]


async def run_case(
    harness: Any,
    outcome: Any,
    case: Case,
    step: str,
    responses: tuple[str, ...],
) -> Observation:
    """Run a write and return its observed effects."""

    def apply_changes() -> None:
        harness.backend.hooks.clear()
        harness.set_lease(case.lease)
        loop = asyncio.get_running_loop()
        if case.change != "none":
            loop.call_later(0.05, harness.open_term, case.change == "kept")

    harness.backend.hooks["run"] = apply_changes
    harness.backend.set_responses(step, *responses)
    result = await harness.execute(
        case.sql,
        request_id="r1" if case.recorded else "",
        repeatable=case.repeatable,
        setup=("SET sql_mode = ''",) if step == "setup" else (),
    )
    backend = harness.backend
    sent = backend.texts("run").count(case.sql)
    return Observation(
        outcome(result),
        sent,
        sent - backend.refused.count(case.sql),
        backend.committed.count(case.sql),
    )


def observe_all(
    run_scenario: Callable[..., Any],
    outcome: Any,
    case: Case,
    times: tuple[int, ...],
) -> Iterator[tuple[str, Observation]]:
    """Yield the effects of a case for each response to each step."""
    for step, response, count in itertools.product(STEPS, RESPONSES, times):
        responses = (response,) * count
        observation = run_scenario(
            lambda w, s=step, f=responses: run_case(w, outcome, case, s, f)
        )
        yield f"{step} {count} times {response}", observation


@pytest.mark.parametrize("case", CASES, ids=str)
def test_outcome_matches_committed_data(
    run_scenario: Callable[..., Any], outcome: Any, case: Case
) -> None:
    for label, observation in observe_all(run_scenario, outcome, case, (1, 4)):
        if observation.outcome == "not_run":
            assert observation.committed == 0, label
        if observation.outcome == "failed" and case.change != "not_kept":
            assert observation.committed == 0, label
        if observation.outcome == "done":
            assert observation.committed >= 1, label
        if case.recorded:
            assert observation.committed <= 1, label
        if not case.repeatable:
            assert observation.sent <= 1, label


@pytest.mark.parametrize("case", CASES, ids=str)
def test_not_run_means_not_executed(
    run_scenario: Callable[..., Any], outcome: Any, case: Case
) -> None:
    for label, observation in observe_all(run_scenario, outcome, case, (4,)):
        if observation.outcome == "not_run":
            assert observation.may_have_run == 0, label


@pytest.mark.parametrize(
    "response", ["lost_with_effect", "lost_without_effect"]
)
@pytest.mark.parametrize(
    ("sql", "recorded"),
    [
        (CALL, False),
        (f"/* a */ {CALL}", False),
        (f"/* a */ {CALL}", True),
        (f"-- a\n{CALL}", True),
    ],
)
def test_possibly_committed_procedure_has_unknown_outcome(
    run_scenario: Callable[..., Any],
    outcome: Any,
    sql: str,
    recorded: bool,
    response: str,
) -> None:
    case = Case(recorded, repeatable=False, sql=sql)
    observation = run_scenario(
        lambda w: run_case(w, outcome, case, "run", (response,))
    )
    assert (observation.sent, observation.outcome) == (1, "unknown")


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("sql", [CALL, "CREATE TABLE a (b INT)"])
def test_record_without_result_gives_unknown_outcome(
    run_scenario: Callable[..., Any], outcome: Any, sql: str, repeatable: bool
) -> None:
    """An implicit commit stores the record before the connection is lost."""
    case = Case(True, repeatable, sql=sql)
    observation = run_scenario(
        lambda w: run_case(w, outcome, case, "run", ("lost_midway",))
    )
    assert (observation.committed, observation.outcome) == (0, "unknown")


@pytest.mark.parametrize("recorded", [True, False])
@pytest.mark.parametrize("step", [*STEPS, "rollback"])
def test_cancelled_write_releases_resources(
    run_scenario: Callable[..., Any], step: str, recorded: bool
) -> None:
    async def scenario(harness: Any) -> None:
        harness.backend.set_responses(step, "hang")
        if step == "rollback":
            harness.backend.set_responses("run", "1213")
        write = asyncio.create_task(
            harness.execute(
                SQL,
                request_id="r1" if recorded else "",
                setup=("SET sql_mode = ''",),
            )
        )
        await asyncio.sleep(0.5)
        write.cancel()
        await asyncio.gather(write, return_exceptions=True)

    run_scenario(scenario)


def test_repeated_request_returns_first_result(
    run_scenario: Callable[..., Any], outcome: Any
) -> None:
    async def scenario(harness: Any) -> None:
        for _ in range(2):
            result = await harness.execute(
                SQL, request_id="r1", repeatable=False
            )
            assert outcome(result) == "done"
            assert result.affected_rows == 1
        assert harness.backend.committed == [SQL]

    run_scenario(scenario)


@pytest.mark.parametrize("given_up", [True, False])
def test_write_without_primary_is_not_sent(
    run_scenario: Callable[..., Any], outcome: Any, given_up: bool
) -> None:
    async def scenario(harness: Any) -> None:
        if given_up:
            harness.group.state.give_up_lease(1)
        else:
            harness.close_term()
        assert outcome(await harness.execute(SQL)) == "not_run"
        assert harness.backend.sent == []

    run_scenario(scenario)
