import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay import home_stream
from jackdawcrank.relay.home_messages import Kind, pack, unpack
from jackdawcrank.relay.home_stream import HomeStream
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.table_messages import (
    compress_rows,
    encode_changes,
    encode_image,
)
from jackdawcrank.seams.metadata_store import (
    StoredRow,
    TableChanges,
    TableSnapshot,
)

HEARTBEAT_SECONDS = 1.25


@pytest.fixture
async def stream(follower: TableFollower, log: DecisionLog) -> HomeStream:
    follower.apply_image(TableSnapshot((), 5, 100.0))
    return HomeStream({"op": follower}, lambda _transport: None, log)


async def test_heartbeat_shows_that_changes_are_relayed(
    stream: HomeStream,
) -> None:
    assert not stream.relays_changes("op", HEARTBEAT_SECONDS)
    stream.record_heartbeat({"op": (0, 5, 0.2)})
    assert stream.relays_changes("op", HEARTBEAT_SECONDS)


async def test_heartbeat_of_a_follower_without_recent_answer_is_no_proof(
    stream: HomeStream,
    follower: TableFollower,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The home waits for changes over a link that was cut, which it does not
    # know yet. Its heartbeats go on.
    stream.record_heartbeat({"op": (0, 5, follower.trust_seconds - 0.5)})
    assert stream.relays_changes("op", HEARTBEAT_SECONDS)
    now = home_stream.boot_seconds()
    monkeypatch.setattr(home_stream, "boot_seconds", lambda: now + 0.6)
    assert not stream.relays_changes("op", HEARTBEAT_SECONDS)


async def test_heartbeat_about_another_epoch_is_no_proof(
    stream: HomeStream, follower: TableFollower
) -> None:
    stream.record_heartbeat({"op": (1, 9, 0.0)})
    assert not stream.relays_changes("op", HEARTBEAT_SECONDS)
    assert follower.revision == 5


LINE = b'{"host": "h", "timeoutMs": 1000},'


def long_row(revision: int) -> StoredRow:
    return StoredRow("config", LINE * 50 + b"%d}" % revision, revision)


def change(before: int, after: int) -> bytes:
    """Return the message of a change from one version of a row to another."""
    changes = TableChanges((long_row(after),), (), after)
    earlier = {"config": long_row(before)}
    fields = encode_changes(changes, earlier)
    return pack(0, Kind.CHANGES, "op", before, fields)


@pytest.fixture
def sent(stream: HomeStream, monkeypatch: pytest.MonkeyPatch) -> list[Kind]:
    """Return the kinds of the messages sent on the stream, as they are sent."""
    kinds: list[Kind] = []
    monkeypatch.setattr(
        stream, "send", lambda body: kinds.append(unpack(body)[1])
    )
    return kinds


async def test_patches_of_two_upstreams_are_applied_in_any_order(
    stream: HomeStream, follower: TableFollower, sent: list[Kind]
) -> None:
    follower.apply_image(TableSnapshot((long_row(6),), 6, 101.0))
    # One upstream VM has read revisions 7 and 9, the other one 8 and 9.
    for before, after, known in ((6, 7, 7), (6, 8, 8), (7, 9, 9), (8, 9, 9)):
        stream.frame_received(change(before, after))
        assert follower.rows["config"] == long_row(known)
    assert sent == []


async def test_whole_table_is_asked_for_if_a_patch_cannot_be_applied(
    stream: HomeStream, follower: TableFollower, sent: list[Kind]
) -> None:
    follower.apply_image(TableSnapshot((long_row(6),), 9, 101.0))
    stream.frame_received(change(8, 10))
    stream.frame_received(change(10, 11))
    assert sent == [Kind.RESEND]
    # Heartbeats on this stream count on changes that were not applied.
    stream.record_heartbeat({"op": (0, 11, 0.1)})
    assert not stream.relays_changes("op", HEARTBEAT_SECONDS)
    assert follower.revision == 9
    snapshot = TableSnapshot((long_row(11),), 11, 102.0)
    image = encode_image(snapshot, compress_rows(snapshot.rows))
    stream.frame_received(pack(0, Kind.IMAGE, "op", image))
    assert follower.rows["config"] == long_row(11)
    stream.record_heartbeat({"op": (0, 11, 0.1)})
    assert stream.relays_changes("op", HEARTBEAT_SECONDS)


async def test_whole_table_is_asked_for_after_a_gap(
    stream: HomeStream, follower: TableFollower, sent: list[Kind]
) -> None:
    stream.frame_received(change(8, 10))
    assert sent == [Kind.RESEND]
    assert follower.revision == 5
    assert not stream.closed


async def test_malformed_message_ends_the_stream(stream: HomeStream) -> None:
    image = [b"no image", 5, 100.0, 0]
    stream.frame_received(pack(0, Kind.IMAGE, "op", image))
    assert stream.closed


def prove(stream: HomeStream, store_seconds: float, epoch: int) -> None:
    stream.record_heartbeat({"op": (epoch, 11, 0.1, store_seconds)})


async def test_heartbeat_proves_only_what_was_applied(
    stream: HomeStream, follower: TableFollower, sent: list[Kind]
) -> None:
    # A withdrawn key is accepted if rows count as newer than they are.
    prove(stream, 100.0, 0)
    # No own call relates the clocks yet, and an image proves nothing.
    assert follower.proven_store_seconds is None
    now = home_stream.boot_seconds()
    follower.record_exchange(now - 9.0, 100.0, 0)
    follower.apply_image(TableSnapshot((long_row(6),), 12, 101.0))
    assert follower.proven_store_seconds is None
    prove(stream, 102.0, 1)
    prove(stream, 200.0, 0)
    assert follower.proven_store_seconds is None
    stream.frame_received(change(15, 16))
    assert sent == [Kind.RESEND]
    prove(stream, 102.0, 0)
    assert follower.proven_store_seconds is None
    stream.incomplete.clear()
    prove(stream, 102.0, 0)
    prove(stream, 101.0, 0)
    assert follower.proven_store_seconds == 102.0
    assert follower.proven.local_seconds == pytest.approx(now - 7.0, abs=0.01)


async def test_rows_that_could_not_be_put_into_force_prove_nothing(
    stream: HomeStream, follower: TableFollower
) -> None:
    # The revision advances before the rows are in force.
    def fail(_image: TableSnapshot) -> None:
        raise ValueError("unexpected")

    follower.record_exchange(home_stream.boot_seconds() - 9.0, 100.0, 0)
    follower.on_image = fail
    with pytest.raises(ValueError, match="unexpected"):
        follower.apply_image(TableSnapshot((), 11, 101.0))
    prove(stream, 102.0, 0)
    assert follower.proven_store_seconds is None
    assert follower.must_read
