from jackdawcrank_policy.waiting import PriorityWaitQueue


def test_entries_are_served_by_priority_then_arrival() -> None:
    queue: PriorityWaitQueue[str] = PriorityWaitQueue()
    queue.enqueue(2, 10.0, "late review")
    queue.enqueue(1, 10.0, "upload")
    queue.enqueue(2, 10.0, "review")
    order = [queue.pop(0.0), queue.pop(0.0), queue.pop(0.0)]
    assert [one.item for one in order if one] == [
        "upload",
        "late review",
        "review",
    ]


def test_expired_entry_is_skipped() -> None:
    queue: PriorityWaitQueue[str] = PriorityWaitQueue()
    queue.enqueue(1, 1.0, "too late")
    queue.enqueue(1, 5.0, "in time")
    entry = queue.pop(2.0)
    assert entry is not None and entry.item == "in time"


def test_cancelled_entry_is_not_served() -> None:
    queue: PriorityWaitQueue[str] = PriorityWaitQueue()
    entry = queue.enqueue(1, 5.0, "gone")
    queue.cancel(entry)
    queue.cancel(entry)
    assert queue.length == 0
    assert queue.pop(0.0) is None


def test_clear_returns_remaining_items() -> None:
    queue: PriorityWaitQueue[str] = PriorityWaitQueue()
    queue.cancel(queue.enqueue(1, 5.0, "gone"))
    queue.enqueue(1, 5.0, "here")
    assert queue.clear() == ["here"]
    assert queue.length == 0
