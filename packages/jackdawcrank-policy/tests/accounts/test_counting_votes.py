import itertools
import random

import pytest

from jackdawcrank_policy.accounts.counting_vms import (
    counting_candidates,
    ranked_candidates,
)
from jackdawcrank_policy.accounts.counting_votes import CountingVotes
from jackdawcrank_policy.homes import Member


@pytest.mark.parametrize("seed", range(30))
@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_no_account_has_two_counting_vms(seed: int, count: int) -> None:
    """Two VMs that count one account at once would grant twice its limit.

    Votes are delayed and lost, VMs freeze and restart without their memory.
    """
    rng = random.Random(seed)
    ranked = ranked_candidates("a", [f"vm{one}" for one in range(count)])
    voters = {vm: CountingVotes(vm, 0.0) for vm in ranked}
    frozen = dict.fromkeys(ranked, 0.0)
    messages: list[tuple[float, int, str, str, float, object]] = []
    numbers = itertools.count()
    counted = 0
    for tick in range(1, 2_000):
        now = tick * 0.02
        for vm in ranked:
            if rng.random() < 0.003:
                frozen[vm] = now + rng.uniform(0.1, 2.0)
            elif rng.random() < 0.003:
                frozen[vm] = now + rng.uniform(0.7, 1.6)
                voters[vm] = CountingVotes(vm, frozen[vm])
            if tick % 5 == 0 and now >= frozen[vm]:
                for other in ranked:
                    at = now + rng.choice([0.0, 0.05, 0.3, 99.0])
                    if other != vm:
                        ask = (at, next(numbers), vm, other, now, "ask")
                        messages.append(ask)
        for message in sorted(one for one in messages if one[0] <= now):
            _, _, source, target, asked_at, lost = message
            if now < frozen[target]:
                continue
            messages.remove(message)
            if lost == "ask":
                vote = voters[target].vote_for(source, ranked, now)
                at = now + rng.choice([0.0, 0.05, 0.3])
                answer = (at, next(numbers), target, source, asked_at, vote)
                messages.append(answer)
            elif isinstance(lost, tuple):
                voters[target].vote_received(source, asked_at, lost, now)
        # A frozen VM grants nothing until it runs again.
        counting = [
            vm
            for vm in ranked
            if now >= frozen[vm]
            and voters[vm].counting_since(ranked, now) is not None
        ]
        assert len(counting) <= 1
        counted += len(counting)
    assert counted > 100


def test_the_largest_vms_count_in_the_same_order_everywhere() -> None:
    """VMs that disagree would ask different counting VMs."""
    members = [
        Member(f"vm{one}", "", 1, "", "", 2.0 if one % 12 == 0 else 0.4)
        for one in range(144)
    ]
    candidates = counting_candidates(members)
    assert len(candidates) == 9
    assert candidates == counting_candidates(reversed(members))
    assert all(int(vm[2:]) % 12 == 0 for vm in candidates)
    orders = {ranked_candidates(f"a{one}", candidates) for one in range(50)}
    assert {one[0] for one in orders} == set(candidates)
