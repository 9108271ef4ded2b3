import asyncio
import random
from collections.abc import AsyncIterator

import attrs
import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.store_contact import StoreContact
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.table_teller import TableTeller
from jackdawcrank.seams.metadata_store import (
    HistoryTrimmed,
    StoredRow,
    StoreFailure,
    TableChanges,
    TableSnapshot,
)

from .conftest import settle


@attrs.define
class FakeStore:
    """Answers what the test puts in, and otherwise nothing."""

    image: TableSnapshot | StoreFailure = TableSnapshot((), 5, 100.0)
    answers: asyncio.Queue[TableChanges | HistoryTrimmed | StoreFailure] = (
        attrs.Factory(asyncio.Queue)
    )
    reads: int = 0
    asked_after: list[int] = attrs.Factory(list)

    async def read_table(
        self, table: str, key: str | None = None
    ) -> TableSnapshot | StoreFailure:
        self.reads += 1
        return self.image

    async def follow(
        self, table: str, after: int, wait_seconds: float
    ) -> TableChanges | HistoryTrimmed | StoreFailure:
        self.asked_after.append(after)
        return await self.answers.get()


@attrs.define(eq=False)
class FakeListener:
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
        StoreContact(log),
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
    await settle()
    store.answers.put_nowait(TableChanges((row("b", 7),), ("a",), 7))
    await settle()
    assert (store.asked_after[0], follower.revision) == (5, 7)
    assert set(follower.rows) == {"b"}


async def test_older_news_changes_nothing(follower: TableFollower) -> None:
    follower.take_image(TableSnapshot((row("a", 8),), 9, 100.0))
    follower.take_changes(TableChanges((), ("a",), 7))
    follower.take_image(TableSnapshot((), 9, 100.0))
    assert set(follower.rows) == {"a"}


async def test_forgotten_history_is_read_anew_though_others_vouch(
    follower: TableFollower, store: FakeStore
) -> None:
    await follower.start()
    await settle()
    follower.vouched = lambda _table: True
    store.image = TableSnapshot((row("a", 30),), 31, 130.0)
    store.answers.put_nowait(HistoryTrimmed())
    await settle()
    assert store.reads == 2
    assert (follower.revision, set(follower.rows)) == (31, {"a"})


async def test_nothing_is_asked_of_the_store_while_others_vouch(
    follower: TableFollower, store: FakeStore
) -> None:
    follower.take_image(TableSnapshot((), 5, 100.0))
    follower.vouched = lambda _table: True
    await follower.start()
    await settle()
    assert (store.reads, store.asked_after) == (0, [])
    assert not follower.active()


async def test_news_name_the_revision_that_they_follow(
    follower: TableFollower,
) -> None:
    follower.take_image(TableSnapshot((), 5, 100.0))
    # Nothing of this table changed up to 9.
    follower.take_changes(TableChanges((), (), 9))
    follower.take_revision(12)
    assert (follower.revision, follower.told_revision) == (12, 5)
    follower.take_changes(TableChanges((row("a", 15),), (), 15))
    assert follower.told_revision == 15


async def test_listener_gets_the_image_first_and_then_all_changes(
    follower: TableFollower,
) -> None:
    teller = TableTeller([follower])
    early, late = FakeListener(), FakeListener()
    teller.listen(early, ["op", "nonsense"])
    assert early.sent == []
    follower.take_image(TableSnapshot((row("a", 3),), 5, 100.0))
    follower.take_changes(TableChanges((row("b", 7),), (), 7))
    teller.listen(late, ["op"])
    # Image and change; image and the vouch for it.
    assert (len(early.sent), len(late.sent)) == (2, 2)
    teller.forget(early)
    follower.take_changes(TableChanges((row("c", 8),), (), 8))
    assert (len(early.sent), len(late.sent)) == (2, 3)


async def test_what_is_only_told_is_not_vouched_for(
    follower: TableFollower,
) -> None:
    teller, listener = TableTeller([follower]), FakeListener()
    follower.take_image(TableSnapshot((), 5, 100.0))
    follower.vouched = lambda _table: True
    teller.listen(listener, ["op"])
    await teller.vouch_to_all(0.0)
    assert len(listener.sent) == 1
    follower.vouched = lambda _table: False
    await teller.vouch_to_all(0.0)
    assert len(listener.sent) == 2
