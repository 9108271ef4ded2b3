"""Unit tests of stream components that need no connection."""

import random

from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank.peers.backoff import MAX_DELAY_SECONDS, Backoff
from jackdawcrank.peers.liveness import Liveness, LivenessAction
from jackdawcrank.peers.proof_digest import ProofRole, proof_digest
from jackdawcrank.peers.split_rows import row_size, split_rows


def test_backoff_grows_and_is_reset_by_success() -> None:
    backoff = Backoff(random.Random(1))
    assert backoff.allows(0.0)
    delays = []
    for _ in range(12):
        backoff.record_failure(10.0)
        assert not backoff.allows(10.0)
        delays.append(backoff.next_attempt_at - 10.0)
    assert delays[0] < delays[3] < delays[-1] <= MAX_DELAY_SECONDS
    backoff.record_success()
    assert backoff.allows(0.0)


def test_a_silent_peer_is_pinged_and_then_disconnected() -> None:
    liveness = Liveness()
    actions = [liveness.tick() for _ in range(7)]
    assert actions[0] is LivenessAction.NONE
    assert set(actions[1:6]) == {LivenessAction.PING}
    assert actions[6] is LivenessAction.DISCONNECT


def test_a_frame_in_time_keeps_a_stream_alive() -> None:
    liveness = Liveness()
    for _ in range(50):
        liveness.record_frame()
        for _ in range(6):
            assert liveness.tick() is not LivenessAction.DISCONNECT


CELLS = st.none() | st.binary(max_size=50)
ROWS = st.lists(st.tuples(CELLS, CELLS), max_size=40).map(tuple)


@given(rows=ROWS, size=st.integers(1, 500))
def test_chunks_are_limited_in_size_and_join_to_the_rows(
    rows: tuple[tuple[bytes | None, ...], ...], size: int
) -> None:
    chunks = list(split_rows(rows, size))
    assert sum(chunks, ()) == rows
    for chunk in chunks:
        assert len(chunk) == 1 or sum(map(row_size, chunk)) <= size


def test_every_field_changes_the_digest() -> None:
    base = (b"s", ProofRole.DIALER, b"n", b"m", "a", "1", "b")
    variants = [
        (b"t", *base[1:]),
        (base[0], ProofRole.ACCEPTOR, *base[2:]),
        (*base[:2], b"nm", b"", *base[4:]),
        (*base[:4], "a1", "", "b"),
        (*base[:6], "c"),
    ]
    digests = {proof_digest(*fields) for fields in [base, *variants]}
    assert len(digests) == 6
