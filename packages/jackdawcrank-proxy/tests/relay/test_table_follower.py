import asyncio

import attrs
import pytest

from jackdawcrank.relay import table_follower
from jackdawcrank.relay.home_messages import Kind, unpack
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.table_messages import decode_image
from jackdawcrank.relay.table_publisher import (
    MAX_UNSENT_BYTES,
    KnownTable,
    TablePublisher,
)
from jackdawcrank.seams.metadata_store import (
    HistoryTrimmed,
    StoredRow,
    StoreFailure,
    TableChanges,
    TableSnapshot,
)

from .conftest import FakeStore, run_ready_tasks


@attrs.define(eq=False)
class FakeSubscriber:
    sent: list[bytes] = attrs.Factory(list)

    unsent: int = 0
    aborted: bool = False

    def send(self, body: bytes) -> None:
        self.sent.append(body)

    def unsent_bytes(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.aborted = True


def unknown(*tables: str) -> list[KnownTable]:
    """Return a subscription by a proxy that knows no rows."""
    return [KnownTable(table, 0, None) for table in tables]


def row(key: str, revision: int) -> StoredRow:
    return StoredRow(key, b"v", revision)


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
    follower.advance_revision(0, 12)
    assert (follower.revision, follower.last_change_revision) == (12, 5)
    follower.apply_changes(TableChanges((row("a", 15),), (), 15))
    assert follower.last_change_revision == 15


async def test_subscriber_gets_the_image_before_all_changes(
    follower: TableFollower,
) -> None:
    publisher = TablePublisher([follower], follower.log)
    early, late = FakeSubscriber(), FakeSubscriber()
    publisher.subscribe(early, unknown("op", "nonsense"))
    assert early.sent == []
    follower.answered()
    follower.apply_image(TableSnapshot((row("a", 3),), 5, 100.0))
    follower.apply_changes(TableChanges((row("b", 7),), (), 7))
    publisher.subscribe(late, unknown("op"))
    # The early subscriber got an image and a change, the late one an image
    # and a heartbeat.
    assert (len(early.sent), len(late.sent)) == (2, 2)
    publisher.unsubscribe(early)
    follower.apply_changes(TableChanges((row("c", 8),), (), 8))
    assert (len(early.sent), len(late.sent)) == (2, 3)


async def test_heartbeats_leave_out_relayed_tables(
    follower: TableFollower,
) -> None:
    publisher, subscriber = (
        TablePublisher([follower], follower.log),
        FakeSubscriber(),
    )
    follower.answered()
    follower.apply_image(TableSnapshot((), 5, 100.0))
    follower.has_upstreams = lambda _table: True
    publisher.subscribe(subscriber, unknown("op"))
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


async def test_heartbeats_end_while_the_store_is_silent(
    follower: TableFollower,
) -> None:
    publisher, subscriber = (
        TablePublisher([follower], follower.log),
        FakeSubscriber(),
    )
    follower.answered()
    follower.apply_image(TableSnapshot((), 5, 100.0))
    publisher.subscribe(subscriber, unknown("op"))
    assert len(subscriber.sent) == 2
    # The wait for changes hangs on a link that was cut.
    assert follower.answered_at is not None
    follower.answered_at -= follower.trust_seconds + 0.1
    await publisher.send_heartbeats(0.0)
    assert len(subscriber.sent) == 2


async def test_first_call_after_an_idle_time_does_not_wait(
    follower: TableFollower, store: FakeStore
) -> None:
    relayed = True
    follower.has_upstreams = lambda _table: relayed
    follower.apply_image(TableSnapshot((), 5, 100.0))
    await follower.start()
    await run_ready_tasks()
    relayed = False
    follower.need_may_differ.set()
    await run_ready_tasks()
    store.answers.put_nowait(TableChanges((), (), 5))
    await run_ready_tasks()
    assert store.waits == [0.0, follower.wait_seconds]


async def test_answer_of_the_store_is_passed_on_at_once(
    follower: TableFollower, store: FakeStore
) -> None:
    publisher, subscriber = (
        TablePublisher([follower], follower.log),
        FakeSubscriber(),
    )
    await follower.start()
    await run_ready_tasks()
    publisher.subscribe(subscriber, unknown("op"))
    assert len(subscriber.sent) == 2
    store.answers.put_nowait(TableChanges((), (), 5))
    await run_ready_tasks()
    assert len(subscriber.sent) == 3


async def test_table_is_reread_when_the_store_was_restored(
    follower: TableFollower, store: FakeStore
) -> None:
    store.image = TableSnapshot((row("a", 8),), 9, 100.0, epoch=1)
    await follower.start()
    await run_ready_tasks()
    # The store has given revisions 8 to 12 out again; the change of "a" to
    # revision 8 of the new epoch is not among those after revision 9.
    store.image = TableSnapshot((row("a", 8), row("b", 11)), 12, 101.0, epoch=2)
    store.answers.put_nowait(TableChanges((row("b", 11),), (), 12, epoch=2))
    await run_ready_tasks()
    assert store.reads == 2
    assert (follower.epoch, follower.revision) == (2, 12)
    assert follower.rows == {"a": row("a", 8), "b": row("b", 11)}


async def test_restored_table_with_lower_revision_is_applied(
    follower: TableFollower,
) -> None:
    publisher, subscriber = (
        TablePublisher([follower], follower.log),
        FakeSubscriber(),
    )
    follower.apply_image(TableSnapshot((row("a", 8),), 9, 100.0, epoch=1))
    publisher.subscribe(subscriber, unknown("op"))
    follower.apply_image(TableSnapshot((row("a", 3),), 4, 101.0, epoch=2))
    assert (follower.epoch, follower.revision) == (2, 4)
    # The images came from another VM; claims of before are void all the same.
    assert follower.store_health.epoch == 2
    # Subscribers get the restored image before any change of the new epoch.
    assert len(subscriber.sent) == 2
    follower.apply_image(TableSnapshot((row("a", 8),), 9, 100.0, epoch=1))
    follower.apply_changes(TableChanges((row("a", 9),), (), 9, epoch=1))
    assert (follower.epoch, follower.rows["a"].revision) == (2, 3)


async def test_rows_that_a_restored_store_lost_may_be_kept(
    follower: TableFollower,
) -> None:
    follower.row_after_restoration = lambda known, stored: known or stored
    outdated: list[TableSnapshot] = []
    follower.on_outdated_image = outdated.append
    follower.apply_image(TableSnapshot((row("a", 8),), 9, 100.0, epoch=1))
    restored = TableSnapshot((row("a", 3), row("b", 4)), 4, 101.0, epoch=2)
    follower.apply_image(restored)
    assert follower.rows == {"a": row("a", 8), "b": row("b", 4)}
    follower.apply_image(restored)
    assert outdated == [restored]


async def test_restoration_is_logged_once(
    follower: TableFollower, store: FakeStore
) -> None:
    health = follower.store_health
    health.record_epoch(3)
    assert (health.epoch, health.epoch_seconds() < 1.0) == (3, True)
    health.epoch_seen_at -= 20.0
    health.record_epoch(3)
    assert health.epoch_seconds() >= 20.0
    health.record_epoch(4)
    assert (health.epoch, health.epoch_seconds() < 1.0) == (4, True)


@pytest.mark.parametrize("probes_store", [True, False])
async def test_one_follower_probes_a_lost_store(
    follower: TableFollower, store: FakeStore, probes_store: bool
) -> None:
    follower.probes_store = probes_store
    # The other follower of the process has failed as well.
    follower.store_health.probed = True
    store.image = StoreFailure(False, "status 503")
    await follower.start()
    await asyncio.sleep(2 * follower.probe_seconds + 0.1)
    assert (store.reads > 1) is probes_store
    # The others call again as soon as the store answers one.
    reads = store.reads
    follower.store_health.record_success()
    await run_ready_tasks()
    assert store.reads == reads + (not probes_store)


async def test_following_survives_an_unexpected_error(
    follower: TableFollower,
    store: FakeStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(table_follower, "ERROR_PAUSE_SECONDS", 0.0)
    applied: list[TableSnapshot] = []

    def apply(image: TableSnapshot) -> None:
        applied.append(image)
        if len(applied) == 1:
            raise RuntimeError("a row that no reader expected")

    follower.on_image = apply
    await follower.start()
    await run_ready_tasks()
    # The image is applied again, although its revision is not newer.
    assert len(applied) == 2
    assert follower.revision == 5
    store.answers.put_nowait(TableChanges((row("b", 7),), (), 7))
    await run_ready_tasks()
    assert set(follower.rows) == {"b"}


async def test_follower_that_fails_alone_calls_again(
    follower: TableFollower, store: FakeStore
) -> None:
    store.image = StoreFailure(False, "status 503")
    await follower.start()
    await asyncio.sleep(2 * follower.probe_seconds + 0.1)
    # No other follower would notice that the store answers again.
    assert store.reads > 1


async def test_hint_ends_the_pause_before_the_next_call(
    follower: TableFollower, store: FakeStore
) -> None:
    follower.probes_store = True
    # The next pause is the longest.
    follower.failures = 20
    store.image = StoreFailure(False, "status 503")
    await follower.start()
    await run_ready_tasks()
    assert store.reads == 1
    store.image = TableSnapshot((), 5, 100.0)
    follower.store_health.record_hint()
    await run_ready_tasks()
    assert (store.reads, follower.revision) == (2, 5)
    assert not follower.store_health.lost


async def test_hint_without_an_outage_causes_no_call(
    follower: TableFollower, store: FakeStore
) -> None:
    follower.probes_store = True
    await follower.start()
    await run_ready_tasks()
    follower.store_health.record_hint()
    await run_ready_tasks()
    assert (store.reads, len(store.followed_revisions)) == (1, 1)


def kinds(subscriber: FakeSubscriber) -> list[Kind]:
    return [unpack(body)[1] for body in subscriber.sent]


async def test_subscriber_that_knows_the_table_gets_no_image(
    follower: TableFollower,
) -> None:
    publisher = TablePublisher([follower], follower.log)
    follower.answered()
    follower.apply_image(TableSnapshot((row("a", 3),), 5, 100.0, epoch=2))
    # No row changed after revision 5.
    follower.advance_revision(2, 9)
    for epoch, revision, expected in (
        (2, 5, [Kind.ALIVE]),
        (2, 4, [Kind.IMAGE, Kind.ALIVE]),
        (1, 5, [Kind.IMAGE, Kind.ALIVE]),
        (0, None, [Kind.IMAGE, Kind.ALIVE]),
    ):
        subscriber = FakeSubscriber()
        publisher.subscribe(subscriber, [KnownTable("op", epoch, revision)])
        assert kinds(subscriber) == expected


async def test_subscriber_that_does_not_read_is_closed(
    follower: TableFollower,
) -> None:
    publisher = TablePublisher([follower], follower.log)
    slow = FakeSubscriber(unsent=MAX_UNSENT_BYTES + 1)
    follower.answered()
    follower.apply_image(TableSnapshot((row("a", 3),), 5, 100.0))
    publisher.subscribe(slow, unknown("op"))
    assert (slow.sent, slow.aborted) == ([], True)


async def test_image_is_sent_again_on_request(follower: TableFollower) -> None:
    publisher = TablePublisher([follower], follower.log)
    subscriber, stranger = FakeSubscriber(), FakeSubscriber()
    follower.apply_image(TableSnapshot((row("a", 3),), 5, 100.0))
    publisher.subscribe(subscriber, unknown("op"))
    publisher.resend(subscriber, "op")
    publisher.resend(stranger, "op")
    assert kinds(subscriber) == [Kind.IMAGE, Kind.IMAGE]
    assert stranger.sent == []


async def test_earlier_versions_of_long_rows_are_kept_for_patches(
    follower: TableFollower,
) -> None:
    versions = [StoredRow("a", bytes([n]) * 600, n + 1) for n in range(8)]
    follower.apply_image(TableSnapshot((versions[0],), 1, 100.0))
    for version in versions[1:]:
        changes = TableChanges((version,), (), version.revision)
        follower.apply_changes(changes)
    known = [one for one in versions if follower.base_row("a", one.revision)]
    assert known == versions[-1 - table_follower.MAX_BASES :]
    assert follower.base_row("b", 3) is None


async def test_first_read_suffices_while_upstreams_may_be_found(
    follower: TableFollower, store: FakeStore
) -> None:
    expected = True
    follower.expects_upstreams = lambda: expected
    await follower.start()
    await run_ready_tasks()
    assert (store.reads, store.followed_revisions) == (1, [])
    expected = False
    await asyncio.sleep(2 * table_follower.IDLE_POLL_SECONDS)
    assert store.followed_revisions == [5]


async def test_image_of_another_vm_does_not_replace_the_first_read(
    follower: TableFollower, store: FakeStore
) -> None:
    follower.expects_upstreams = lambda: True
    follower.apply_image(TableSnapshot((), 3, 100.0))
    await follower.start()
    await run_ready_tasks()
    assert store.followed_revisions == [3]


async def test_late_subscriber_gets_the_present_time_of_the_store(
    follower: TableFollower,
) -> None:
    publisher = TablePublisher([follower], follower.log)
    early, late = FakeSubscriber(), FakeSubscriber()
    follower.apply_image(TableSnapshot((row("a", 3),), 5, 100.0))
    publisher.subscribe(early, unknown("op"))
    # No row changes for a minute.
    follower.store_offset += 60.0
    publisher.subscribe(late, unknown("op"))
    times = [
        decode_image(unpack(one.sent[0])[2][1]).store_seconds
        for one in (early, late)
    ]
    assert times[1] - times[0] >= 60.0


async def test_answers_prove_and_are_passed_on_where_a_bound_is_set(
    follower: TableFollower,
    store: FakeStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # VMs that rely on this one would refuse all keys.
    publisher = TablePublisher([follower], follower.log)
    subscriber = FakeSubscriber()
    follower.set_limit(5.0, 1.25)
    await follower.start()
    await run_ready_tasks()
    publisher.subscribe(subscriber, unknown("op"))
    publisher.sends_proofs = True
    now = table_follower.boot_seconds()
    monkeypatch.setattr(table_follower, "boot_seconds", lambda: now + 1.25)
    store.answers.put_nowait(TableChanges((), (), 5, 0, 101.25))
    await run_ready_tasks()
    heartbeats = [unpack(one)[2][0]["op"] for one in subscriber.sent[1:]]
    assert [len(one) for one in heartbeats] == [3, 4]
    assert heartbeats[1][3] == follower.proven_store_seconds == 101.25
    assert store.waits == [1.25, 1.25]


async def test_clocks_are_related_while_upstreams_relay_changes(
    follower: TableFollower, store: FakeStore
) -> None:
    # Without own calls, a VM could not tell the age of what it hears.
    follower.set_limit(5.0, 1.25)
    follower.apply_image(TableSnapshot((), 5, 100.0))
    follower.has_upstreams = lambda _table: True
    store.answers.put_nowait(StoreFailure(False, "cut"))
    await follower.step()
    assert not follower.store_health.lost and not follower.clock_call_due()
    follower.clock_call_at = 0.0
    store.answers.put_nowait(TableChanges((), (), 5, 0, 100.0))
    await follower.step()
    assert store.waits == [0.0, 0.0]
    assert follower.proven_store_seconds == 100.0
    assert not follower.clock_call_due()


async def test_first_call_after_an_outage_does_not_wait(
    follower: TableFollower, store: FakeStore
) -> None:
    # The proof would come back a whole wait later than the store.
    follower.set_limit(0.1, 1.25)
    await follower.read()
    store.answers.put_nowait(StoreFailure(False, "cut"))
    await follower.step()
    store.answers.put_nowait(TableChanges((), (), 5, 0, 101.0))
    await follower.step()
    assert store.waits[-1] == 0.0
