from hypothesis import given
from hypothesis import strategies as st

from jackdawcrank_policy.waiting import PriorityWaitQueue
from jackdawcrank_policy.waiting.fair_wait_queue import (
    FairWaitEntry,
    FairWaitQueue,
)

# Steps: enqueue (account, priority, time to live), pop, cancel or serve out of
# turn the entry at an index.
ENQUEUE = st.tuples(
    st.just("enqueue"),
    st.sampled_from("abc"),
    st.integers(0, 1),
    st.integers(5, 99),
)
STEPS = st.lists(
    st.one_of(
        ENQUEUE,
        ENQUEUE,
        st.tuples(st.just("pop")),
        st.tuples(st.sampled_from(["cancel", "serve"]), st.integers(0, 9)),
    ),
    min_size=30,
    max_size=60,
)


@given(STEPS)
def test_one_account_is_served_as_by_the_priority_queue(
    steps: list[tuple],
) -> None:
    # Fails if deployments without accounts were served in another order.
    fair: FairWaitQueue[int] = FairWaitQueue()
    plain: PriorityWaitQueue[int] = PriorityWaitQueue()
    entries = []
    for now, step in enumerate(steps):
        if step[0] == "enqueue":
            _, _, priority, seconds = step
            assert fair.ahead_of(priority) == plain.ahead_of(priority)
            added = [
                q.enqueue(priority, now + seconds, now) for q in (fair, plain)
            ]
            entries.append(added)
        elif step[0] == "pop":
            one, other = fair.pop(now), plain.pop(now)
            assert (one and [one.item]) == (other and [other.item])
        elif entries:
            for queue, entry in zip(
                (fair, plain), entries[step[1] % len(entries)], strict=True
            ):
                queue.cancel(entry)
        assert fair.length == plain.length
    assert sorted(fair.clear()) == sorted(plain.clear())
    assert fair.levels == {} and fair.length == 0


@given(STEPS)
def test_waiting_account_is_passed_at_most_once_by_each_other(
    steps: list[tuple],
) -> None:
    # Fails if an account with a longer queue, one that returns after a pause or
    # one served out of turn delays another account beyond the stated bound.
    queue: FairWaitQueue[int] = FairWaitQueue()
    entries: list[FairWaitEntry[int]] = []
    # Entries popped of the second account while the first one waits, since the
    # first one began to wait or was served.
    passed: dict[tuple[int, str, str], int] = {}
    for now, step in enumerate(steps):
        if step[0] == "enqueue":
            _, account, priority, seconds = step
            entries.append(queue.enqueue(priority, now + seconds, now, account))
        elif step[0] == "pop":
            expected = next(queue.in_order(now), None)
            entry = queue.pop(now)
            assert entry is expected
            if entry is None:
                continue
            level = entry.priority
            for other in "abc":
                if other != entry.account and queue_has(entries, level, other):
                    key = (level, other, entry.account)
                    passed[key] = passed.get(key, 0) + 1
                    assert passed[key] <= 1
                passed.pop((level, entry.account, other), None)
        else:
            waiting = [one for one in entries if not one.removed]
            if waiting:
                entry = waiting[step[1] % len(waiting)]
                getattr(queue, step[0])(entry)
                if step[0] == "serve":
                    for other in "abc":
                        passed.pop((entry.priority, entry.account, other), None)
        for level in (0, 1):
            for account in "abc":
                if not queue_has(entries, level, account):
                    for other in "abc":
                        passed.pop((level, account, other), None)
        # The state is bounded by those that wait and those of this turn.
        assert queue.length == sum(not one.removed for one in entries)
        assert all(
            one.entries or one.turn == level.virtual_time + 1
            for level in queue.levels.values()
            for one in level.accounts.values()
        )
        assert all(
            one.turn - level.virtual_time in (0, 1)
            for level in queue.levels.values()
            for one in level.accounts.values()
        )


def queue_has(
    entries: list[FairWaitEntry[int]], priority: int, account: str
) -> bool:
    return any(
        not one.removed and (one.priority, one.account) == (priority, account)
        for one in entries
    )


@given(STEPS, st.sampled_from("abcd"), st.integers(0, 2))
def test_ahead_of_counts_those_that_are_served_first(
    steps: list[tuple], account: str, priority: int
) -> None:
    # Fails if a small account were refused because of another's long queue.
    queue: FairWaitQueue[int] = FairWaitQueue()
    for number, step in enumerate(steps):
        if step[0] == "enqueue":
            queue.enqueue(step[2], 1e9, number, step[1])
        elif step[0] == "pop":
            queue.pop(0.0)
    expected = queue.ahead_of(priority, account)
    entry = queue.enqueue(priority, 1e9, -1, account)
    order = list(queue.in_order(0.0))
    assert order.index(entry) == expected
    assert [queue.pop(0.0) for _ in order] == order
