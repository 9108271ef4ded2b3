import asyncio
import random
from collections.abc import AsyncIterator

import attrs
import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.table_publisher import TablePublisher
from jackdawcrank.seams.metadata_store import (
    HistoryTrimmed,
    StoredRow,
    StoreFailure,
    TableChanges,
    TableSnapshot,
)

from .conftest import run_ready_tasks


@attrs.define
class FakeStore:
    """A store whose answers the test sets; other calls wait forever."""

    image: TableSnapshot | StoreFailure = TableSnapshot((), 5, 100.0)
    answers: asyncio.Queue[TableChanges | HistoryTrimmed | StoreFailure] = (
        attrs.Factory(asyncio.Queue)
    )
    reads: int = 0
    followed_revisions: list[int] = attrs.Factory(list)

    async def read_table(
        self, table: str, key: str | None = None
    ) -> TableSnapshot | StoreFailure:
        self.reads += 1
        return self.image

    async def follow(
        self, table: str, after: int, wait_seconds: float
    ) -> TableChanges | HistoryTrimmed | StoreFailure:
        self.followed_revisions.append(after)
        return await self.answers.get()


@attrs.define(eq=False)
class FakeSubscriber:
    sent: list[bytes] = attrs.Factory(list)

    def send(self, body: bytes) -> None:
        self.sent.append(body)


def row(key: str, revision: int) -> StoredRow:
    return StoredRow(key, b"v", revision)


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
async def follower(
    store: FakeStore, log: DecisionLog
) -> AsyncIterator[TableFollower]:
    one = TableFollower(
        store,
        "op",
        1.0,
        0.0,
        lambda _image: None,
        lambda _changes: None,
        StoreHealth(log),
        log,
        random.Random(1),
        lambda: True,
    )
    yield one
    await one.close()


async def test_changes_follow_the_image(
    follower: TableFollower, store: FakeStore
) -> None:
    store.image = TableSnapshot((row("a", 3),), 5, 100.0)
    await follower.start()
    await run_ready_tasks()
    store.answers.put_nowait(TableChanges((row("b", 7),), ("a",), 7))
    await run_ready_tasks()
    assert (store.followed_revisions[0], follower.revision) == (5, 7)
    assert set(follower.rows) == {"b"}


async def test_older_revisions_change_nothing(follower: TableFollower) -> None:
    follower.apply_image(TableSnapshot((row("a", 8),), 9, 100.0))
    follower.apply_changes(TableChanges((), ("a",), 7))
    follower.apply_image(TableSnapshot((), 9, 100.0))
    assert set(follower.rows) == {"a"}


async def test_trimmed_history_is_reread_despite_upstreams(
    follower: TableFollower, store: FakeStore
) -> None:
    await follower.start()
    await run_ready_tasks()
    follower.has_upstreams = lambda _table: True
    store.image = TableSnapshot((row("a", 30),), 31, 130.0)
    store.answers.put_nowait(HistoryTrimmed())
    await run_ready_tasks()
    assert store.reads == 2
    assert (follower.revision, set(follower.rows)) == (31, {"a"})


async def test_store_is_not_called_while_upstreams_are_live(
    follower: TableFollower, store: FakeStore
) -> None:
    follower.apply_image(TableSnapshot((), 5, 100.0))
    follower.has_upstreams = lambda _table: True
    await follower.start()
    await run_ready_tasks()
    assert (store.reads, store.followed_revisions) == (0, [])
    assert not follower.active()


async def test_last_change_revision_skips_empty_changes(
    follower: TableFollower,
) -> None:
    follower.apply_image(TableSnapshot((), 5, 100.0))
    # No row of this table changed up to revision 9.
    follower.apply_changes(TableChanges((), (), 9))
    follower.advance_revision(12)
    assert (follower.revision, follower.last_change_revision) == (12, 5)
    follower.apply_changes(TableChanges((row("a", 15),), (), 15))
    assert follower.last_change_revision == 15


async def test_subscriber_gets_the_image_before_all_changes(
    follower: TableFollower,
) -> None:
    publisher = TablePublisher([follower])
    early, late = FakeSubscriber(), FakeSubscriber()
    publisher.subscribe(early, ["op", "nonsense"])
    assert early.sent == []
    follower.apply_image(TableSnapshot((row("a", 3),), 5, 100.0))
    follower.apply_changes(TableChanges((row("b", 7),), (), 7))
    publisher.subscribe(late, ["op"])
    # The early subscriber got an image and a change, the late one an image
    # and a heartbeat.
    assert (len(early.sent), len(late.sent)) == (2, 2)
    publisher.unsubscribe(early)
    follower.apply_changes(TableChanges((row("c", 8),), (), 8))
    assert (len(early.sent), len(late.sent)) == (2, 3)


async def test_heartbeats_leave_out_relayed_tables(
    follower: TableFollower,
) -> None:
    publisher, subscriber = TablePublisher([follower]), FakeSubscriber()
    follower.apply_image(TableSnapshot((), 5, 100.0))
    follower.has_upstreams = lambda _table: True
    publisher.subscribe(subscriber, ["op"])
    await publisher.send_heartbeats(0.0)
    assert len(subscriber.sent) == 1
    follower.has_upstreams = lambda _table: False
    await publisher.send_heartbeats(0.0)
    assert len(subscriber.sent) == 2


async def test_table_is_read_as_soon_as_it_is_needed(
    follower: TableFollower, store: FakeStore
) -> None:
    needed = False
    follower.needed = lambda: needed
    await follower.start()
    await run_ready_tasks()
    assert store.reads == 0
    needed = True
    follower.need_may_differ.set()
    await run_ready_tasks()
    assert store.reads == 1
