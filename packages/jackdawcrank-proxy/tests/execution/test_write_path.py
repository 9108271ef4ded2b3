"""Tests of writes outside transactions, at each fate of each step."""

import asyncio
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import pytest

SQL = "INSERT INTO t VALUES (1)"
CALL = "CALL certify(1)"
STEPS = ("setup", "begin", "insert", "run", "record", "commit")
FATES = (
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
    """One way of a write.

    Attributes:
      recorded: Whether it carries a request id.
      repeatable: Whether it may be sent twice.
      lease: What becomes of the lease while the statement runs.
      change: What a change of term, while it runs, keeps.
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
class Seen:
    """What was seen of a write.

    Attributes:
      outcome: What the caller was told.
      sent: How often the statement left the proxy.
      may_have_run: How often it left and was not refused as not run.
      committed: How often it was committed.
    """

    outcome: str
    sent: int
    may_have_run: int
    committed: int


CASES = [
    Case(*one)
    for one in itertools.product((True, False), (True, False), LEASES, CHANGES)
]


async def play_case(
    world: Any, outcome: Any, case: Case, step: str, fates: tuple[str, ...]
) -> Seen:
    """Run a write and return what was seen of it."""

    def disturb() -> None:
        world.backend.hooks.clear()
        world.set_lease(case.lease)
        loop = asyncio.get_running_loop()
        if case.change != "none":
            loop.call_later(0.05, world.open_term, case.change == "kept")

    world.backend.hooks["run"] = disturb
    world.backend.plan(step, *fates)
    result = await world.execute(
        case.sql,
        request_id="r1" if case.recorded else "",
        repeatable=case.repeatable,
        setup=("SET sql_mode = ''",) if step == "setup" else (),
    )
    backend = world.backend
    sent = backend.texts("run").count(case.sql)
    return Seen(
        outcome(result),
        sent,
        sent - backend.refused.count(case.sql),
        backend.committed.count(case.sql),
    )


def all_seen(
    play: Callable[..., Any], outcome: Any, case: Case, times: tuple[int, ...]
) -> Iterator[tuple[str, Seen]]:
    """Yield what was seen of a case at each fate of each step."""
    for step, fate, count in itertools.product(STEPS, FATES, times):
        fates = (fate,) * count
        seen = play(
            lambda w, s=step, f=fates: play_case(w, outcome, case, s, f)
        )
        yield f"{step} {count} times {fate}", seen


@pytest.mark.parametrize("case", CASES, ids=str)
def test_what_the_caller_is_told_is_true(
    play: Callable[..., Any], outcome: Any, case: Case
) -> None:
    for what, seen in all_seen(play, outcome, case, (1, 4)):
        if seen.outcome == "not_run":
            assert seen.committed == 0, what
        if seen.outcome == "failed" and case.change != "not_kept":
            assert seen.committed == 0, what
        if seen.outcome == "done":
            assert seen.committed >= 1, what
        if case.recorded:
            assert seen.committed <= 1, what
        if not case.repeatable:
            assert seen.sent <= 1, what


@pytest.mark.parametrize("case", CASES, ids=str)
def test_not_run_means_that_nothing_was_sent(
    play: Callable[..., Any], outcome: Any, case: Case
) -> None:
    for what, seen in all_seen(play, outcome, case, (4,)):
        if seen.outcome == "not_run":
            assert seen.may_have_run == 0, what


@pytest.mark.parametrize("fate", ["lost_with_effect", "lost_without_effect"])
@pytest.mark.parametrize(
    ("sql", "recorded"),
    [
        (CALL, False),
        (f"/* a */ {CALL}", False),
        (f"/* a */ {CALL}", True),
        (f"-- a\n{CALL}", True),
    ],
)
def test_a_procedure_that_may_have_committed_is_in_doubt(
    play: Callable[..., Any], outcome: Any, sql: str, recorded: bool, fate: str
) -> None:
    case = Case(recorded, repeatable=False, sql=sql)
    seen = play(lambda w: play_case(w, outcome, case, "run", (fate,)))
    assert (seen.sent, seen.outcome) == (1, "unknown")


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("sql", [CALL, "CREATE TABLE a (b INT)"])
def test_a_record_without_a_result_proves_nothing(
    play: Callable[..., Any], outcome: Any, sql: str, repeatable: bool
) -> None:
    """The statement committed its record and was lost half done."""
    case = Case(True, repeatable, sql=sql)
    seen = play(lambda w: play_case(w, outcome, case, "run", ("lost_midway",)))
    assert (seen.committed, seen.outcome) == (0, "unknown")


@pytest.mark.parametrize("recorded", [True, False])
@pytest.mark.parametrize("step", [*STEPS, "rollback"])
def test_a_cancelled_write_gives_everything_back(
    play: Callable[..., Any], step: str, recorded: bool
) -> None:
    async def scenario(world: Any) -> None:
        world.backend.plan(step, "hang")
        if step == "rollback":
            world.backend.plan("run", "1213")
        write = asyncio.create_task(
            world.execute(
                SQL,
                request_id="r1" if recorded else "",
                setup=("SET sql_mode = ''",),
            )
        )
        await asyncio.sleep(0.5)
        write.cancel()
        await asyncio.gather(write, return_exceptions=True)

    play(scenario)


def test_a_repeat_gets_the_first_result(
    play: Callable[..., Any], outcome: Any
) -> None:
    async def scenario(world: Any) -> None:
        for _ in range(2):
            result = await world.execute(SQL, request_id="r1", repeatable=False)
            assert outcome(result) == "done"
            assert result.affected_rows == 1
        assert world.backend.committed == [SQL]

    play(scenario)


@pytest.mark.parametrize("given_up", [True, False])
def test_a_write_without_a_primary_is_not_sent(
    play: Callable[..., Any], outcome: Any, given_up: bool
) -> None:
    async def scenario(world: Any) -> None:
        if given_up:
            world.group.state.give_up_lease(1)
        else:
            world.close_term()
        assert outcome(await world.execute(SQL)) == "not_run"
        assert world.backend.sent == []

    play(scenario)
