"""Tests of the connections to one backend server."""

import collections
import random

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from jackdawcrank_policy.budget import ConnectionSet, ConnectionState


@pytest.fixture
def pool() -> ConnectionSet:
    pool = ConnectionSet(share=3, warm=2)
    for number in pool.to_open():
        pool.mark_idle(number)
    return pool


def test_warm_connections_are_opened_before_they_are_needed(
    pool: ConnectionSet,
) -> None:
    assert pool.count(ConnectionState.IDLE) == 2
    assert pool.to_open() == []
    assert pool.acquire(owner=1) is not None
    assert len(pool.to_open(waiting=5)) == 1
    assert pool.to_open(waiting=5) == []


def test_unclean_connection_counts_until_it_is_closed(
    pool: ConnectionSet,
) -> None:
    first = pool.acquire(owner=1)
    assert first is not None
    assert not pool.release(first, 1, clean=False)
    assert len(pool.to_open(waiting=5)) == 1
    pool.remove(first)
    assert len(pool.to_open(waiting=5)) == 1


def test_late_release_does_not_affect_the_next_owner(
    pool: ConnectionSet,
) -> None:
    first = pool.acquire(owner=1)
    assert first is not None
    assert pool.release(first, 1, clean=True)
    assert pool.acquire(owner=2) != first
    assert pool.mark_idle(first)
    assert pool.acquire(owner=3) == first
    assert not pool.owns(first, 1)
    assert not pool.release(first, 1, clean=True)
    assert pool.owns(first, 3)


def test_smaller_share_closes_idle_then_released_connections(
    pool: ConnectionSet,
) -> None:
    busy = pool.acquire(owner=1)
    assert busy is not None
    assert len(pool.set_share(1)) == 1
    pool.set_share(0)
    assert not pool.release(busy, 1, clean=True)


@attrs.define
class Bench:
    """Transactions on fake connections with responses in any order."""

    rng: random.Random
    pool: ConnectionSet = attrs.Factory(lambda: ConnectionSet(3, 2))
    next_owner: int = 0
    held: dict[int, int] = attrs.Factory(dict)
    ran: dict[int, set[int]] = attrs.Factory(
        lambda: collections.defaultdict(set)
    )
    answers: list[tuple[int, int]] = attrs.Factory(list)
    delivered: list[tuple[int, int]] = attrs.Factory(list)
    resets: list[int] = attrs.Factory(list)

    def begin(self) -> None:
        for number in self.pool.to_open(waiting=1):
            self.pool.mark_idle(number)
        self.next_owner += 1
        number = self.pool.acquire(self.next_owner)
        if number is not None:
            assert number not in self.held.values()
            self.held[self.next_owner] = number

    def statement(self) -> None:
        if self.held:
            owner = self.rng.choice([*self.held])
            number = self.held[owner]
            self.ran[number].add(owner)
            assert self.ran[number] == {owner}
            self.answers.append((number, owner))

    def answer(self) -> None:
        if self.answers:
            index = self.rng.randrange(len(self.answers))
            self.delivered.append(self.answers.pop(index))
            self.deliver(*self.delivered[-1])

    def duplicate(self) -> None:
        if self.delivered:
            self.deliver(*self.rng.choice(self.delivered))

    def deliver(self, number: int, owner: int) -> None:
        if self.pool.owns(number, owner):
            assert self.held.get(owner) == number

    def end(self) -> None:
        if self.held:
            owner = self.rng.choice([*self.held])
            number = self.held.pop(owner)
            clean = (number, owner) not in self.answers
            if self.pool.release(number, owner, clean):
                self.resets.append(number)
            else:
                self.pool.remove(number)

    def reset(self) -> None:
        if self.resets:
            number = self.resets.pop()
            self.ran[number].clear()
            self.pool.mark_idle(number)


STEPS = ("begin", "statement", "answer", "duplicate", "end", "reset")


@hypothesis.settings(max_examples=50, deadline=None, derandomize=True)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_transactions_are_never_mixed_on_a_connection(seed: int) -> None:
    rng = random.Random(seed)
    bench = Bench(rng)
    for step in rng.choices(STEPS, k=300):
        getattr(bench, step)()
        assert len(bench.pool.connections) <= bench.pool.share
