"""Tests of transactions on dedicated connections."""

import asyncio
from collections.abc import Callable
from typing import Any

import hypothesis
import hypothesis.strategies as st
import pytest

from jackdawcrank_policy.values import GroupSpec, ServerSpec, ServerState
from jackdawcrank_wire.messages import StatementKind

SQL = "INSERT INTO t VALUES (1)"
SECOND_SQL = "INSERT INTO t VALUES (2)"
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
TRANSACTIONS = ("a", "b", "c")
session_steps = st.lists(
    st.tuples(
        st.sampled_from(TRANSACTIONS),
        st.sampled_from(["write", "write", "commit", "rollback", "cancel"]),
        st.sampled_from(["ok", "ok", "ok", *RESPONSES]),
        st.booleans(),
    ),
    min_size=4,
    max_size=24,
)


async def run_steps(harness: Any, steps: list[Any]) -> None:
    """Run the statements of three sessions concurrently."""
    queues = {name: [s for s in steps if s[0] == name] for name in TRANSACTIONS}
    await asyncio.gather(*(session(harness, *q) for q in queues.items()))
    for name in TRANSACTIONS:
        await harness.execute(
            "", kind=StatementKind.END_SESSION, session_id=f"session-{name}"
        )


async def session(harness: Any, name: str, steps: list[Any]) -> None:
    number = 0
    for index, (_, action, response, pause) in enumerate(steps):
        if pause:
            await asyncio.sleep(0.003)
        harness.backend.set_responses("run", response)
        kind = StatementKind.WRITE
        if action in ("commit", "rollback"):
            kind = StatementKind(action)
        statement = asyncio.create_task(
            harness.execute(
                f"INSERT INTO t VALUES ('{name}{number}', {index})"
                if kind is StatementKind.WRITE
                else action.upper(),
                kind=kind,
                transaction_id=f"{name}{number}",
                session_id=f"session-{name}",
            )
        )
        if action == "cancel":
            await asyncio.sleep(0.0015)
            statement.cancel()
        done = await asyncio.gather(statement, return_exceptions=True)
        if not getattr(done[0], "in_transaction", False):
            number += 1


@hypothesis.settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(steps=session_steps)
def test_transactions_do_not_share_connections(
    run_scenario: Callable[..., Any], steps: list[Any]
) -> None:
    async def scenario(harness: Any) -> None:
        await run_steps(harness, steps)
        owners: dict[Any, str] = {}
        links: dict[str, Any] = {}
        for link, sql in harness.backend.sent:
            if sql in ("BEGIN", "COMMIT", "ROLLBACK"):
                owners.pop(link, None)
            elif sql.startswith("INSERT"):
                transaction = sql.split("'")[1]
                assert owners.setdefault(link, transaction) == transaction
                assert links.setdefault(transaction, link) is link

    run_scenario(scenario)


@pytest.mark.parametrize("response", RESPONSES)
@pytest.mark.parametrize("step", ["setup", "begin", "run", "insert", "commit"])
@pytest.mark.parametrize("request_id", ["", "r1"])
@pytest.mark.parametrize("lease", ["held", "lapsed", "closed"])
def test_commit_outcome_matches_committed_data(
    run_scenario: Callable[..., Any],
    outcome: Any,
    step: str,
    response: str,
    request_id: str,
    lease: str,
) -> None:
    async def scenario(harness: Any) -> None:
        backend = harness.backend
        backend.set_responses(step, response)
        outcomes = [
            outcome(
                await harness.execute(
                    SQL, transaction_id="t1", setup=("SET sql_mode = ''",)
                )
            )
        ]
        backend.hooks["commit"] = lambda: harness.set_lease(lease)
        if outcomes == ["done"]:
            result = await harness.execute(
                "COMMIT",
                kind=StatementKind.COMMIT,
                transaction_id="t1",
                request_id=request_id,
            )
            outcomes.append(outcome(result))
        await harness.end_transaction(StatementKind.ROLLBACK)
        if outcomes[-1] in ("not_run", "failed"):
            assert backend.committed == []
        if outcomes == ["done", "done"]:
            assert backend.committed == [SQL]
        if outcomes == ["not_run"]:
            assert backend.texts("run") == []

    run_scenario(scenario)


@pytest.mark.parametrize(
    "step",
    [
        "setup",
        "begin",
        "run",
        "insert",
        "commit",
    ],
)
def test_cancelled_statement_releases_resources(
    run_scenario: Callable[..., Any], step: str
) -> None:
    async def scenario(harness: Any) -> None:
        harness.backend.set_responses(step, "hang")

        async def write_and_commit() -> None:
            await harness.execute(
                SQL, transaction_id="t1", setup=("SET sql_mode = ''",)
            )
            await harness.execute(
                "COMMIT",
                kind=StatementKind.COMMIT,
                transaction_id="t1",
                request_id="r1",
            )

        work = asyncio.create_task(write_and_commit())
        await asyncio.sleep(0.5)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)

    run_scenario(scenario)


LEAVING = ServerState.LEAVING


async def expire(harness: Any) -> None:
    await asyncio.sleep(1.5)
    assert harness.group.tick(asyncio.get_running_loop().time()) == ["t1"]


async def remove_and_restore_server(harness: Any) -> None:
    harness.group.set_servers(
        [ServerSpec(name, "ledger", "127.0.0.1", 1) for name in ("s2", "s3")]
    )
    harness.group.set_servers(
        [
            ServerSpec(name, "ledger", "127.0.0.1", 1, ServerState.SERVING)
            for name in ("s1", "s2", "s3")
        ]
    )


async def exceed_drain_timeout(harness: Any) -> None:
    harness.group.set_servers(
        [
            ServerSpec("s1", "ledger", "127.0.0.1", 1, state=LEAVING),
            *(
                ServerSpec(name, "ledger", "127.0.0.1", 1)
                for name in ("s2", "s3")
            ),
        ]
    )
    loop = asyncio.get_running_loop()
    await asyncio.sleep(0.3)
    assert harness.group.tick(loop.time()) == []
    await asyncio.sleep(0.3)
    assert harness.group.tick(loop.time()) == ["t1"]


@pytest.mark.parametrize(
    "close", [expire, remove_and_restore_server, exceed_drain_timeout]
)
def test_closed_transaction_is_not_reopened(
    run_scenario: Callable[..., Any], outcome: Any, close: Any
) -> None:
    """A late statement must not commit part of a closed transaction."""

    async def scenario(harness: Any) -> None:
        first = await harness.execute(SQL, transaction_id="t1")
        assert first.in_transaction
        await close(harness)
        second = await harness.execute(SECOND_SQL, transaction_id="t1")
        last = await harness.end_transaction(StatementKind.COMMIT)
        assert harness.backend.committed == []
        assert outcome(second) == "failed"
        assert outcome(last) == "failed"

    spec = GroupSpec(
        "ledger", transaction_timeout_ms=1000, drain_timeout_ms=500
    )
    run_scenario(scenario, spec)


def test_concurrent_first_statements_open_one_transaction(
    run_scenario: Callable[..., Any],
) -> None:
    async def scenario(harness: Any) -> None:
        await asyncio.gather(
            harness.execute(SQL, transaction_id="t1"),
            harness.execute(SECOND_SQL, transaction_id="t1"),
        )
        await harness.end_transaction(StatementKind.COMMIT)
        assert harness.backend.texts("begin") == ["BEGIN"]
        assert sorted(harness.backend.committed) == [SQL, SECOND_SQL]

    run_scenario(scenario)
