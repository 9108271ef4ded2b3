"""Tests of the store client, including failures of the store."""

import asyncio
import random

import pytest

from jackdawcrank.store import (
    Absent,
    Committed,
    Conflict,
    ConflictingRow,
    ObjectWritten,
    PreconditionFailed,
    Row,
    RowCheck,
    RowDelete,
    RowPut,
    StoreClient,
    StoredObject,
    StoreLimits,
    StoreUnavailable,
    Transaction,
)
from jackdawcrank.store.breaker import FAILURE_THRESHOLD
from jackdawcrank.store.channel import Channel
from jackdawcrank.store.response import StoreResponse
from jackdawcrank_policy.values import Vm
from jackdawcrank_standins.platform import Platform, StopMode

FAR_FUTURE_SECONDS = 60.0


def put(key: str, value: object, version: int | None = None) -> Transaction:
    check = RowCheck("t", key, version)
    return Transaction((check,), (RowPut("t", key, value),))


async def test_rows_are_written_read_and_deleted(client: StoreClient) -> None:
    assert await client.get("t", "a/b c") == Absent()
    assert await client.transact(put("a/b c", {"x": 1})) == Committed(
        {"t/a/b c": 1}
    )
    assert await client.get("t", "a/b c") == Row("a/b c", {"x": 1}, 1)
    removal = Transaction(deletes=(RowDelete("t", "a/b c"),))
    assert isinstance(await client.transact(removal), Committed)
    assert await client.get("t", "a/b c") == Absent()


async def test_a_conflict_shows_the_rows(client: StoreClient) -> None:
    await client.transact(put("k", 1))
    outcome = await client.transact(put("k", 2))
    assert outcome == Conflict((ConflictingRow("t", "k", 1, 1),))


async def test_scan_starts_after_a_key(client: StoreClient) -> None:
    for key in ("a", "b", "c"):
        await client.transact(put(key, key))
    page = await client.scan("t", after="a", limit=1)
    assert not isinstance(page, StoreUnavailable)
    assert [row.key for row in page.rows] == ["b"]
    assert page.more


async def test_object_writes_check_their_preconditions(
    client: StoreClient,
) -> None:
    written = await client.put_object("p/o", b"1", create_only=True)
    assert isinstance(written, ObjectWritten)
    again = await client.put_object("p/o", b"2", create_only=True)
    assert again == PreconditionFailed()
    changed = await client.put_object("p/o", b"3", if_match=written.etag)
    assert isinstance(changed, ObjectWritten)
    assert await client.get_object("p/o") == StoredObject(b"3", changed.etag)
    assert await client.list_objects("p/") == ("p/o",)
    await client.delete_object("p/o")
    assert await client.get_object("p/o") == Absent()


async def test_vms_are_listed(client: StoreClient, platform: Platform) -> None:
    vm = Vm("vm-1", "10.0.0.1", 7306, 8306, "r", "d")
    platform.list_vm(vm)
    assert await client.list_vms() == (vm,)


@pytest.mark.parametrize("mode", [StopMode.REFUSE, StopMode.HANG])
async def test_outage_is_returned_as_store_unavailable(
    client: StoreClient, platform: Platform, mode: StopMode
) -> None:
    platform.faults.stop(mode)
    if mode is StopMode.HANG:
        client.limits = StoreLimits(
            read_timeout_seconds=0.03, write_timeout_seconds=0.03
        )
    read = await client.get("t", "k")
    assert isinstance(read, StoreUnavailable)
    assert not read.maybe_applied
    write = await client.transact(put("k", 1))
    assert isinstance(write, StoreUnavailable)
    assert write.maybe_applied


async def test_refused_connection_is_not_maybe_applied(
    client: StoreClient, platform: Platform
) -> None:
    await platform.close()
    outcome = await client.transact(put("k", 1))
    assert isinstance(outcome, StoreUnavailable)
    assert not outcome.maybe_applied


async def test_lost_response_is_maybe_applied(
    client: StoreClient, platform: Platform
) -> None:
    platform.faults.lose_answers = 1
    outcome = await client.transact(put("k", 1))
    assert isinstance(outcome, StoreUnavailable)
    assert outcome.maybe_applied
    assert await client.get("t", "k") == Row("k", 1, 1)


async def test_response_after_its_deadline_is_discarded(
    platform: Platform,
) -> None:
    times = iter([0.0] * 6 + [FAR_FUTURE_SECONDS] * 20)
    client = StoreClient(
        platform.url, clock=lambda: next(times), rng=random.Random(1)
    )
    await client.start()
    assert isinstance(await client.get("t", "k"), StoreUnavailable)
    assert client.traffic.requests == 1
    assert client.traffic.bytes_received > 0
    await client.close()


async def test_read_on_a_silent_connection_is_hedged(
    client: StoreClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    await client.transact(put("k", 1))
    transfer = Channel.transfer
    calls = 0

    async def hang_first_call(self: Channel, *args: object) -> object:
        nonlocal calls
        calls += 1
        if calls == 1:
            await asyncio.Event().wait()
        return await transfer(self, *args)  # type: ignore[arg-type]

    monkeypatch.setattr(Channel, "transfer", hang_first_call)
    client.channel.limits = StoreLimits(hedge_delay_seconds=0.01)
    assert await client.get("t", "k") == Row("k", 1, 1)
    assert calls == 2


async def test_open_breaker_refuses_requests(
    client: StoreClient, platform: Platform
) -> None:
    platform.faults.stop(StopMode.REFUSE)
    for _ in range(FAILURE_THRESHOLD):
        await client.transact(put("k", 1))
    sent = client.traffic.requests
    client.channel.breaker.open_until = float("inf")
    outcome = await client.transact(put("k", 1))
    assert outcome == StoreUnavailable(False, "the store has been failing")
    assert client.traffic.requests == sent
    platform.faults.start()
    client.channel.breaker.open_until = 0.0
    assert isinstance(await client.transact(put("k", 1)), Committed)


async def test_requests_beyond_the_rate_are_refused(
    platform: Platform,
) -> None:
    limits = StoreLimits(per_second=0.001, burst=2)
    client = StoreClient(platform.url, limits=limits)
    await client.start()
    outcomes = [await client.transact(put(k, 1)) for k in ("a", "b", "c")]
    await client.close()
    assert [type(o) for o in outcomes] == [
        Committed,
        Committed,
        StoreUnavailable,
    ]
    assert client.traffic.requests == 2


@pytest.mark.parametrize("text", [b"{", b"[]", b"{}", b'{"value": 1}'])
async def test_malformed_response_is_store_unavailable(
    client: StoreClient, monkeypatch: pytest.MonkeyPatch, text: bytes
) -> None:
    async def malformed_response(self: Channel, *args: object) -> StoreResponse:
        return StoreResponse(200, text, {})

    monkeypatch.setattr(Channel, "transfer", malformed_response)
    read = await client.get("t", "k")
    assert isinstance(read, StoreUnavailable)
    assert not read.maybe_applied
    write = await client.transact(put("k", 1))
    assert isinstance(write, StoreUnavailable)
    assert write.maybe_applied
