"""Tests that changes are appended at most once and in a total order."""

import asyncio
import random
from typing import Any

import pytest

from jackdawcrank.store import (
    Appended,
    ChangeConflict,
    ChangeLog,
    Committed,
    Conflict,
    Head,
    StoreClient,
    StoreLimits,
    StoreUnavailable,
    Transaction,
    Unchanged,
    read_head,
)
from jackdawcrank.store.change_reader import read_changes
from jackdawcrank_policy.configuration import Change, Kind
from jackdawcrank_standins.platform import Platform, StopMode

GROUP = Kind.DATABASE_GROUP
WRITERS = 3
WRITES = 6


def body(slots: int) -> dict[str, Any]:
    return {"spec": {"slotsPerServer": slots}}


async def read_log(client: StoreClient) -> tuple[Change, ...]:
    changes = await read_changes(client, 0)
    assert not isinstance(changes, StoreUnavailable)
    return changes


async def test_append_writes_head_change_and_row(
    client: StoreClient, change_log: ChangeLog, platform: Platform
) -> None:
    outcome = await change_log.append(GROUP, "a", body(3), 0, "ada")
    assert isinstance(outcome, Appended)
    assert await read_head(client) == Head(1, None, 1, 1)
    (change,) = await read_log(client)
    assert change.actor == "ada"
    assert change.token == outcome.change.token
    row = platform.tables.get("resources", "DatabaseGroup/a")
    assert row is not None
    assert row.value == {**body(3), "resource_version": 1}


async def test_a_deletion_removes_the_row(
    client: StoreClient, change_log: ChangeLog, platform: Platform
) -> None:
    await change_log.append(GROUP, "a", body(3), 0, "ada")
    outcome = await change_log.append(GROUP, "a", None, 1, "ada")
    assert isinstance(outcome, Appended)
    assert platform.tables.get("resources", "DatabaseGroup/a") is None
    assert (await read_log(client))[-1].deleted


async def test_conflict_carries_author_and_current_row(
    change_log: ChangeLog,
) -> None:
    await change_log.append(GROUP, "a", body(3), 0, "ada")
    await change_log.append(GROUP, "a", body(4), 1, "ben")
    outcome = await change_log.append(GROUP, "a", body(5), 1, "ada")
    assert isinstance(outcome, ChangeConflict)
    assert (outcome.actor, outcome.version) == ("ben", 2)
    assert outcome.current is not None
    assert outcome.current["spec"] == {"slotsPerServer": 4}


async def test_a_repeated_write_is_recognized(
    client: StoreClient, change_log: ChangeLog
) -> None:
    await change_log.append(GROUP, "a", body(3), 0, "ada")
    outcome = await change_log.append(GROUP, "a", body(3), 0, "ada")
    assert outcome == Unchanged(1, "ada")
    assert len(await read_log(client)) == 1


async def test_lost_response_is_resolved(
    client: StoreClient, change_log: ChangeLog, platform: Platform
) -> None:
    platform.faults.lose_answers = 1
    outcome = await change_log.append(GROUP, "a", body(3), 0, "ada")
    assert isinstance(outcome, Appended)
    assert [change.version for change in await read_log(client)] == [1]


async def test_outage_is_reported_as_not_applied(
    change_log: ChangeLog, platform: Platform
) -> None:
    platform.faults.stop(StopMode.REFUSE)
    outcome = await change_log.append(GROUP, "a", body(3), 0, "ada")
    assert isinstance(outcome, StoreUnavailable)
    assert not outcome.maybe_applied


async def test_unresolved_write_is_reported_as_maybe_applied(
    client: StoreClient,
    change_log: ChangeLog,
    platform: Platform,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    transact = StoreClient.transact

    async def transact_then_stop(
        self: StoreClient, transaction: Transaction
    ) -> Committed | Conflict | StoreUnavailable:
        await transact(self, transaction)
        platform.faults.stop(StopMode.REFUSE)
        return StoreUnavailable(True, "lost")

    monkeypatch.setattr(StoreClient, "transact", transact_then_stop)
    change_log.append_seconds = 0.1
    outcome = await change_log.append(GROUP, "a", body(3), 0, "ada")
    assert isinstance(outcome, StoreUnavailable)
    assert outcome.maybe_applied
    monkeypatch.undo()
    platform.faults.start()
    client.channel.breaker.record_success()
    again = await change_log.append(GROUP, "a", body(3), 0, "ada")
    assert again == Unchanged(1, "ada")


class LossyStore(StoreClient):
    """A store client with injected faults.

    It drops transactions, drops their responses, or applies them after it
    has reported a failure.
    """

    faults: random.Random
    delayed: list[asyncio.Task[Any]]

    async def transact(
        self, transaction: Transaction
    ) -> Committed | Conflict | StoreUnavailable:
        fault = self.faults.choice(["done", "unsent", "unanswered", "late"])
        if fault == "done":
            return await super().transact(transaction)
        if fault == "unanswered":
            await super().transact(transaction)
        if fault == "late":
            self.delayed.append(
                asyncio.create_task(self.send_delayed(transaction))
            )
        return StoreUnavailable(True, fault)

    async def send_delayed(self, transaction: Transaction) -> None:
        await asyncio.sleep(self.faults.uniform(0, 0.02))
        await super().transact(transaction)


@pytest.mark.parametrize("seed", range(6))
async def test_concurrent_writers_with_lost_responses_write_once(
    platform: Platform, seed: int
) -> None:
    limits = StoreLimits(per_second=1e6, burst=1e6)
    client = LossyStore(platform.url, limits=limits)
    client.faults, client.delayed = random.Random(seed), []
    await client.start()

    async def write(writer: int) -> list[tuple[str, object]]:
        log = ChangeLog(
            client, rng=random.Random(f"{seed}/{writer}"), append_seconds=0.5
        )
        found: list[tuple[str, object]] = []
        for number in range(WRITES):
            token = f"{writer}/{number}"
            log.new_token = lambda token=token: token  # type: ignore[misc]
            slots = 1 + writer + WRITERS * number
            name = "shared" if number % 2 else f"own-{writer}"
            outcome = await log.append(GROUP, name, body(slots), None, "w")
            found.append((token, outcome))
        return found

    results = await asyncio.gather(*(write(n) for n in range(WRITERS)))
    await asyncio.gather(*client.delayed)
    changes = await read_log(client)
    head = await read_head(client)
    await client.close()

    assert isinstance(head, Head)
    versions = [change.version for change in changes]
    assert versions == list(range(1, head.version + 1))
    tokens = [change.token for change in changes]
    assert len(tokens) == len(set(tokens))
    for token, outcome in (item for result in results for item in result):
        if isinstance(outcome, Appended):
            assert changes[outcome.version - 1].token == token
        elif isinstance(outcome, StoreUnavailable):
            assert outcome.maybe_applied or token not in tokens
        else:
            assert isinstance(outcome, Unchanged)
