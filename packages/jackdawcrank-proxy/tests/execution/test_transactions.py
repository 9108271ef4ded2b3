"""Tests of transactions on connections of their own."""

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
TRANSACTIONS = ("a", "b", "c")
steps_of_sessions = st.lists(
    st.tuples(
        st.sampled_from(TRANSACTIONS),
        st.sampled_from(["write", "write", "commit", "rollback", "cancel"]),
        st.sampled_from(["ok", "ok", "ok", *FATES]),
        st.booleans(),
    ),
    min_size=4,
    max_size=24,
)


async def run_steps(world: Any, steps: list[Any]) -> None:
    """Run the statements of three sessions side by side."""
    queues = {name: [s for s in steps if s[0] == name] for name in TRANSACTIONS}
    await asyncio.gather(*(session(world, *q) for q in queues.items()))
    for name in TRANSACTIONS:
        await world.execute(
            "", kind=StatementKind.END_SESSION, session_id=f"session-{name}"
        )


async def session(world: Any, name: str, steps: list[Any]) -> None:
    number = 0
    for index, (_, act, fate, pause) in enumerate(steps):
        if pause:
            await asyncio.sleep(0.003)
        world.backend.plan("run", fate)
        kind = StatementKind.WRITE
        if act in ("commit", "rollback"):
            kind = StatementKind(act)
        statement = asyncio.create_task(
            world.execute(
                f"INSERT INTO t VALUES ('{name}{number}', {index})"
                if kind is StatementKind.WRITE
                else act.upper(),
                kind=kind,
                transaction_id=f"{name}{number}",
                session_id=f"session-{name}",
            )
        )
        if act == "cancel":
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
@hypothesis.given(steps=steps_of_sessions)
def test_statements_of_two_transactions_never_mix(
    play: Callable[..., Any], steps: list[Any]
) -> None:
    async def scenario(world: Any) -> None:
        await run_steps(world, steps)
        owners: dict[Any, str] = {}
        links: dict[str, Any] = {}
        for link, sql in world.backend.sent:
            if sql in ("BEGIN", "COMMIT", "ROLLBACK"):
                owners.pop(link, None)
            elif sql.startswith("INSERT"):
                transaction = sql.split("'")[1]
                assert owners.setdefault(link, transaction) == transaction
                assert links.setdefault(transaction, link) is link

    play(scenario)


@pytest.mark.parametrize("fate", FATES)
@pytest.mark.parametrize("step", ["setup", "begin", "run", "insert", "commit"])
@pytest.mark.parametrize("request_id", ["", "r1"])
@pytest.mark.parametrize("lease", ["held", "lapsed", "closed"])
def test_what_a_commit_tells_is_true(
    play: Callable[..., Any],
    outcome: Any,
    step: str,
    fate: str,
    request_id: str,
    lease: str,
) -> None:
    async def scenario(world: Any) -> None:
        backend = world.backend
        backend.plan(step, fate)
        told = [
            outcome(
                await world.execute(
                    SQL, transaction_id="t1", setup=("SET sql_mode = ''",)
                )
            )
        ]
        backend.hooks["commit"] = lambda: world.set_lease(lease)
        if told == ["done"]:
            result = await world.execute(
                "COMMIT",
                kind=StatementKind.COMMIT,
                transaction_id="t1",
                request_id=request_id,
            )
            told.append(outcome(result))
        await world.end_transaction(StatementKind.ROLLBACK)
        if told[-1] in ("not_run", "failed"):
            assert backend.committed == []
        if told == ["done", "done"]:
            assert backend.committed == [SQL]
        if told == ["not_run"]:
            assert backend.texts("run") == []

    play(scenario)


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
def test_a_cancelled_statement_gives_everything_back(
    play: Callable[..., Any], step: str
) -> None:
    async def scenario(world: Any) -> None:
        world.backend.plan(step, "hang")

        async def both() -> None:
            await world.execute(
                SQL, transaction_id="t1", setup=("SET sql_mode = ''",)
            )
            await world.execute(
                "COMMIT",
                kind=StatementKind.COMMIT,
                transaction_id="t1",
                request_id="r1",
            )

        work = asyncio.create_task(both())
        await asyncio.sleep(0.5)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)

    play(scenario)


LEAVING = ServerState.LEAVING


async def expire(world: Any) -> None:
    await asyncio.sleep(1.5)
    assert world.group.tick(asyncio.get_running_loop().time()) == ["t1"]


async def remove_server(world: Any) -> None:
    world.group.set_servers(
        [ServerSpec(name, "ledger", "127.0.0.1", 1) for name in ("s2", "s3")]
    )
    world.group.set_servers(
        [
            ServerSpec(name, "ledger", "127.0.0.1", 1, ServerState.SERVING)
            for name in ("s1", "s2", "s3")
        ]
    )


async def outlast_leaving_server(world: Any) -> None:
    world.group.set_servers(
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
    assert world.group.tick(loop.time()) == []
    await asyncio.sleep(0.3)
    assert world.group.tick(loop.time()) == ["t1"]


@pytest.mark.parametrize(
    "close", [expire, remove_server, outlast_leaving_server]
)
def test_a_closed_transaction_does_not_go_on_as_a_new_one(
    play: Callable[..., Any], outcome: Any, close: Any
) -> None:
    """Half of a transaction must not be committed."""

    async def scenario(world: Any) -> None:
        first = await world.execute(SQL, transaction_id="t1")
        assert first.in_transaction
        await close(world)
        second = await world.execute(SECOND_SQL, transaction_id="t1")
        last = await world.end_transaction(StatementKind.COMMIT)
        assert world.backend.committed == []
        assert outcome(second) == "failed"
        assert outcome(last) == "failed"

    spec = GroupSpec(
        "ledger", transaction_timeout_ms=1000, drain_timeout_ms=500
    )
    play(scenario, spec)


def test_two_first_statements_at_once_share_one_connection(
    play: Callable[..., Any],
) -> None:
    async def scenario(world: Any) -> None:
        await asyncio.gather(
            world.execute(SQL, transaction_id="t1"),
            world.execute(SECOND_SQL, transaction_id="t1"),
        )
        await world.end_transaction(StatementKind.COMMIT)
        assert world.backend.texts("begin") == ["BEGIN"]
        assert sorted(world.backend.committed) == [SQL, SECOND_SQL]

    play(scenario)
