"""Tests of the routing of statements to home proxies."""

from typing import Any

import attrs
import pytest

from jackdawcrank.metrics import Metrics
from jackdawcrank.peers import PeerUnreachable
from jackdawcrank.process.caller_classes import CallerClasses
from jackdawcrank.process.entry_router import EntryRouter
from jackdawcrank_policy.configuration import Configuration
from jackdawcrank_policy.tokens import TokenSigner
from jackdawcrank_policy.values import GroupPhase, GroupRow, GroupSpec
from jackdawcrank_wire.messages import (
    Answer,
    Execute,
    ResultError,
    ResultOk,
    StatementKind,
    StatementOutcome,
    StatementRequest,
    StatementResult,
)

GROUP = "depot"
HOMES = ("vm1", "vm2", "vm3")


@attrs.define
class FakeRegistry:
    """A registry of a VM that is not a home of any group."""

    configuration: Configuration
    homes: dict[str, Any] = attrs.Factory(dict)

    def active(self, group: str) -> None:
        return None


@attrs.define
class FakePeerPool:
    """Returns a preset answer for each home and records all requests."""

    answers: dict[str, StatementResult | PeerUnreachable]
    sent: list[tuple[str, StatementRequest]] = attrs.Factory(list)

    async def request(self, vm: str, message: Execute, timeout: float) -> Any:
        self.sent.append((vm, message.statement))
        answer = self.answers[vm]
        if isinstance(answer, PeerUnreachable):
            return answer
        return Answer(0, answer)


def make_router(
    answers: dict[str, StatementResult | PeerUnreachable],
) -> tuple[EntryRouter, FakePeerPool]:
    row = GroupRow(GROUP, 1, GroupPhase.ACTIVE, "s1", "vm1", (*HOMES, ""))
    configuration = Configuration(
        version=1, groups={GROUP: GroupSpec(GROUP)}, group_rows={GROUP: row}
    )
    peer_pool = FakePeerPool(answers)
    router = EntryRouter(
        "vm9",
        FakeRegistry(configuration),  # type: ignore[arg-type]
        peer_pool,  # type: ignore[arg-type]
        CallerClasses(lambda: 0.0),
        TokenSigner((b"k" * 16,)),
        Metrics(),
        lambda: 0.0,
    )
    router.retries.balance = 10.0
    return router, peer_pool


def refused(reason: str) -> ResultError:
    return ResultError(StatementOutcome.NOT_RUN, reason)


def request(**changes: Any) -> StatementRequest:
    statement = StatementRequest(GROUP, b"INSERT", session_id="vm9:b-1")
    return attrs.evolve(statement, **changes)


ALL_OK = dict.fromkeys(HOMES, ResultOk(affected_rows=1))
UNSENT = dict.fromkeys(HOMES, PeerUnreachable("", sent=False))
SENT = dict.fromkeys(HOMES, PeerUnreachable("", sent=True))


async def test_one_home_runs_a_statement() -> None:
    router, peer_pool = make_router(ALL_OK)
    assert await router.execute(request()) == ResultOk(affected_rows=1)
    assert len(peer_pool.sent) == 1


@pytest.mark.parametrize(
    "answer",
    [
        PeerUnreachable("", sent=False),
        refused("shutting_down"),
        refused("no_server"),
    ],
)
async def test_other_home_is_tried_after_not_run(answer: Any) -> None:
    router, peer_pool = make_router(dict(ALL_OK))
    first = router._candidate_homes(request())[0]
    peer_pool.answers[first] = answer
    result = await router.execute(request(repeatable=False))
    assert result == ResultOk(affected_rows=1)
    assert [vm for vm, _ in peer_pool.sent][0] == first


@pytest.mark.parametrize("reason", ["overloaded", "write_lost", "limited"])
async def test_other_refusals_go_to_the_caller(reason: str) -> None:
    router, peer_pool = make_router(dict.fromkeys(HOMES, refused(reason)))
    result = await router.execute(request())
    assert isinstance(result, ResultError) and result.reason == reason
    assert len(peer_pool.sent) == 1


async def test_write_that_may_have_run_is_unknown_and_not_repeated() -> None:
    router, peer_pool = make_router(SENT)
    result = await router.execute(request())
    assert isinstance(result, ResultError)
    assert result.outcome is StatementOutcome.UNKNOWN
    assert len(peer_pool.sent) == 1


async def test_request_id_allows_retry_unless_not_repeatable() -> None:
    router, peer_pool = make_router(SENT)
    await router.execute(request(request_id="r1"))
    assert len(peer_pool.sent) > 1
    router, peer_pool = make_router(SENT)
    await router.execute(request(request_id="r1", repeatable=False))
    assert len(peer_pool.sent) == 1


async def test_unreachable_homes_give_not_run() -> None:
    router, _ = make_router(UNSENT)
    result = await router.execute(request())
    assert isinstance(result, ResultError)
    assert result.outcome is StatementOutcome.NOT_RUN
    assert result.retry_after_ms


async def test_transaction_stays_with_its_home() -> None:
    open_result = ResultOk(in_transaction=True)
    router, peer_pool = make_router(dict.fromkeys(HOMES, open_result))
    for _ in range(3):
        await router.execute(request(transaction_id="t1"))
    assert len({vm for vm, _ in peer_pool.sent}) == 1
    for home in HOMES:
        peer_pool.answers[home] = ResultOk()
    commit = request(transaction_id="t1", kind=StatementKind.COMMIT)
    await router.execute(commit)
    assert router.pinned == {}


async def test_lost_commit_is_unknown_and_lost_statement_rolled_back() -> None:
    router, peer_pool = make_router(SENT)
    lost = await router.execute(request(transaction_id="t1"))
    assert isinstance(lost, ResultError)
    assert lost.outcome is StatementOutcome.FAILED
    commit = request(transaction_id="t1", kind=StatementKind.COMMIT)
    result = await router.execute(commit)
    assert isinstance(result, ResultError)
    assert result.outcome is StatementOutcome.UNKNOWN
