"""Tests of admission control for the slots of a group."""

import collections
import random

import hypothesis
import hypothesis.strategies as st

from jackdawcrank_policy.admission import (
    AdmissionRequest,
    Admitted,
    GroupAdmission,
    Queued,
    Refused,
)
from jackdawcrank_policy.values import NotRun, NotRunReason


def make_request(
    number: int,
    caller: str = "c",
    deadline: float = 1000.0,
    caller_class: str = "default",
    weight: int = 1,
) -> AdmissionRequest:
    return AdmissionRequest(number, caller, deadline, caller_class, weight)


def admitted_numbers(results: list[Admitted | Refused]) -> list[int]:
    return [r.request.number for r in results if isinstance(r, Admitted)]


def drain(admission: GroupAdmission, running: int) -> list[int]:
    order = []
    following = [running]
    while following:
        following = admitted_numbers(admission.finish(following[0], 0.01))
        order += following
    return order


def test_limit_holds_and_queue_advances() -> None:
    admission = GroupAdmission(limit=1)
    assert isinstance(admission.offer(make_request(1), 0.0), Admitted)
    assert isinstance(admission.offer(make_request(2), 0.0), Queued)
    assert admitted_numbers(admission.finish(1, 0.01)) == [2]
    assert admitted_numbers(admission.set_limit(2, 0.01)) == []
    assert isinstance(admission.offer(make_request(3), 0.01), Admitted)


def test_request_that_cannot_meet_deadline_is_refused_at_once() -> None:
    admission = GroupAdmission(limit=1, service=0.1)
    admission.offer(make_request(1), 0.0)
    refused = admission.offer(make_request(2, deadline=0.15), 0.0)
    assert isinstance(refused, NotRun)
    assert refused.reason is NotRunReason.OVERLOADED
    assert refused.retry_after_ms is not None
    assert refused.retry_after_ms >= 100
    late = admission.offer(make_request(3, deadline=0.0), 0.0)
    assert isinstance(late, NotRun)
    assert late.reason is NotRunReason.DEADLINE


def test_zero_limit_admits_nothing() -> None:
    admission = GroupAdmission(limit=0)
    assert isinstance(admission.offer(make_request(1), 0.0), NotRun)


def test_waiting_request_expires_when_it_cannot_finish() -> None:
    admission = GroupAdmission(limit=1, service=0.1)
    admission.offer(make_request(1), 0.0)
    admission.offer(make_request(2, deadline=0.5), 0.0)
    admission.offer(make_request(3, caller="d", deadline=9.0), 0.0)
    assert admission.expire(0.3) == []
    assert [r.request.number for r in admission.expire(0.45)] == [2]
    assert admitted_numbers(admission.finish(1, 0.46)) == [3]


def test_freed_slot_is_not_given_to_expired_request() -> None:
    admission = GroupAdmission(limit=1, service=0.1)
    admission.offer(make_request(1), 0.0)
    admission.offer(make_request(2, deadline=0.5), 0.0)
    results = admission.finish(1, 0.45)
    assert [type(result) for result in results] == [Refused]


def test_callers_take_turns() -> None:
    admission = GroupAdmission(limit=1)
    admission.offer(make_request(0), 0.0)
    for number in (1, 2, 3):
        admission.offer(make_request(number, caller="greedy"), 0.0)
    admission.offer(make_request(4, caller="modest"), 0.0)
    assert drain(admission, 0) == [1, 4, 2, 3]


def test_classes_are_served_by_weight() -> None:
    admission = GroupAdmission(limit=1)
    admission.offer(make_request(0), 0.0)
    for number in range(1, 25):
        heavy = number % 2 == 1
        name = "heavy" if heavy else "light"
        admission.offer(
            make_request(number, name, 1e3, name, 3 if heavy else 1), 0.0
        )
    first = drain(admission, 0)[:12]
    assert 8 <= sum(number % 2 for number in first) <= 10


def test_full_queue_displaces_caller_with_longest_backlog() -> None:
    admission = GroupAdmission(limit=1, service=0.5)
    admission.offer(make_request(0), 0.0)
    for number in (1, 2, 3, 4):
        assert isinstance(
            admission.offer(make_request(number, "greedy"), 0.0), Queued
        )
    assert isinstance(admission.offer(make_request(5, "greedy"), 0.0), NotRun)
    queued = admission.offer(make_request(6, "modest"), 0.0)
    assert isinstance(queued, Queued)
    assert [r.request.number for r in queued.displaced] == [4]
    other = admission.offer(make_request(7, "third", 1e3, "audit"), 0.0)
    assert isinstance(other, Queued)
    assert [r.request.number for r in other.displaced] == [3]


def test_retry_after_grows_with_load() -> None:
    admission = GroupAdmission(limit=1, service=0.1)
    admission.offer(make_request(0), 0.0)
    hints = []
    for number in range(1, 30):
        refused = admission.offer(make_request(number, deadline=0.1), 0.0)
        assert isinstance(refused, NotRun)
        hints.append(refused.retry_after_ms or 0)
    assert hints == sorted(hints)
    assert hints[-1] > 5 * hints[0]


def test_cancelled_request_gets_no_slot() -> None:
    admission = GroupAdmission(limit=1)
    admission.offer(make_request(0), 0.0)
    admission.offer(make_request(1), 0.0)
    assert admission.cancel(make_request(1))
    assert not admission.cancel(make_request(1))
    assert admitted_numbers(admission.finish(0, 0.01)) == []


@hypothesis.settings(max_examples=50, deadline=None, derandomize=True)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_each_request_gets_one_answer_and_slots_stay_busy(seed: int) -> None:
    rng = random.Random(seed)
    admission = GroupAdmission(limit=2)
    state: dict[int, str] = {}
    now = 0.0

    def apply_results(results: list[Admitted | Refused]) -> None:
        for result in results:
            number = result.request.number
            assert state[number] == "queued"
            is_admitted = isinstance(result, Admitted)
            state[number] = "running" if is_admitted else "refused"

    for number in range(300):
        now += rng.expovariate(100.0)
        apply_results([*admission.expire(now)])
        caller = rng.choice("abc")
        request = make_request(
            number, caller, now + rng.uniform(0.0, 0.3), caller
        )
        answer = admission.offer(request, now)
        if isinstance(answer, Queued):
            apply_results([*answer.displaced])
        kinds = {Admitted: "running", Queued: "queued", NotRun: "refused"}
        state[number] = kinds[type(answer)]
        running = [n for n, s in state.items() if s == "running"]
        if running and rng.random() < 0.6:
            finished = rng.choice(running)
            state[finished] = "done"
            apply_results(admission.finish(finished, now))
        counts = collections.Counter(state.values())
        assert counts["running"] == len(admission.running) <= admission.limit
        assert counts["queued"] == admission.queue.length
        assert not counts["queued"] or counts["running"] == admission.limit
