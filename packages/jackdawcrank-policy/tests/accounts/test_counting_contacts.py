import itertools

import pytest

from jackdawcrank_policy.accounts.counting_contacts import (
    LOST_SECONDS,
    CountingContacts,
)
from jackdawcrank_policy.accounts.counting_vms import (
    counting_candidates,
    ranked_candidates,
)
from jackdawcrank_policy.homes import Member

RANKED = tuple(f"vm{one}" for one in range(5))
STEP = 0.2


class Fleet:
    """Candidates whose messages arrive at once, unless a link is cut."""

    def __init__(self) -> None:
        self.now = 0.0
        self.vms = {vm: CountingContacts(vm, 0.0) for vm in RANKED}
        self.cut: set[frozenset[str]] = set()
        self.stopped: set[str] = set()
        self.run(2.0)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for vm, one in self.vms.items():
                if vm in self.stopped:
                    continue
                one.check_pause(STEP, self.now)
                for other in self.vms.keys() - {vm} - self.stopped:
                    if frozenset({vm, other}) not in self.cut:
                        lost = self.vms[other].lost(RANKED, self.now)
                        one.answer_received(other, self.now, lost, RANKED)
                        one.check_complete(RANKED, self.now)

    def split(self, *parts: tuple[str, ...]) -> None:
        side = {vm: number for number, part in enumerate(parts) for vm in part}
        self.cut = {
            frozenset({one, other})
            for one in RANKED
            for other in RANKED
            if side[one] != side[other]
        }

    def counting(self) -> dict[str, float]:
        """Return the shares of the VMs that count."""
        return {
            vm: one.share(RANKED, self.now)
            for vm, one in self.vms.items()
            if vm not in self.stopped
            and one.counting_since(RANKED, self.now) is not None
        }


def test_the_first_candidate_counts_the_whole_limit() -> None:
    assert Fleet().counting() == {"vm0": 1.0}


@pytest.mark.parametrize(
    "parts",
    [
        (("vm0",), RANKED[1:]),
        (RANKED[:2], RANKED[2:]),
        (("vm0", "vm4"), ("vm1", "vm3"), ("vm2",)),
        tuple((vm,) for vm in RANKED),
    ],
)
def test_parts_of_a_divided_fleet_count_one_limit_together(
    parts: tuple[tuple[str, ...], ...],
) -> None:
    """Each part would otherwise grant the whole limit."""
    fleet = Fleet()
    fleet.split(*parts)
    for _ in range(10):
        fleet.run(STEP)
        assert sum(fleet.counting().values()) <= 1.0 + 1e-9
    assert len(fleet.counting()) == len(parts)
    fleet.cut = set()
    fleet.run(STEP)
    assert fleet.counting() == {"vm0": 1.0}


def test_a_single_silent_link_starts_no_second_counter() -> None:
    """Other candidates still hear the VM that counts."""
    fleet = Fleet()
    fleet.cut = {frozenset({"vm0", "vm1"})}
    fleet.run(3.0)
    assert list(fleet.counting()) == ["vm0"]


def test_a_stopped_vm_is_replaced_for_the_remaining_share() -> None:
    fleet = Fleet()
    fleet.stopped = {"vm0"}
    fleet.run(LOST_SECONDS - STEP)
    assert fleet.counting() == {}
    fleet.run(3 * STEP)
    assert fleet.counting() == {"vm1": 0.8}


def test_a_leaving_vm_hands_over_at_once() -> None:
    """An account would be refused until the VM is taken for lost."""
    fleet = Fleet()
    fleet.vms["vm0"].leaving = True
    assert fleet.counting() == {}
    fleet.run(2 * STEP)
    assert fleet.counting() == {"vm1": 1.0}


def test_a_paused_vm_begins_anew() -> None:
    """Another VM may have counted during the pause."""
    fleet = Fleet()
    fleet.stopped = {"vm0"}
    fleet.run(2.0)
    fleet.stopped = set()
    fleet.run(STEP)
    since = fleet.vms["vm0"].counting_since(RANKED, fleet.now)
    assert since is None or since > 4.0
    fleet.run(LOST_SECONDS + STEP)
    assert fleet.counting() == {"vm0": 1.0}


def test_a_vm_counts_at_once_if_nobody_does_in_its_place() -> None:
    """After the loss of all VMs, callers would be refused for longer."""
    fleet = Fleet()
    fleet.vms = {vm: CountingContacts(vm, fleet.now) for vm in RANKED}
    fleet.run(2 * STEP)
    assert fleet.counting() == {"vm0": 1.0}


def test_a_restarted_vm_waits_while_it_is_taken_for_lost() -> None:
    """Its successor still counts the whole limit of the other part."""
    fleet = Fleet()
    fleet.stopped = {"vm0"}
    fleet.run(2.0)
    fleet.stopped = set()
    fleet.vms["vm0"] = CountingContacts("vm0", fleet.now)
    fleet.cut = {frozenset({"vm0", "vm1"})}
    fleet.run(STEP)
    assert sum(fleet.counting().values()) <= 1.0


@pytest.mark.parametrize("lists", [("ab", "abc", "c"), ("a", "ab", "abc")])
def test_vms_that_know_different_candidates_count_one_limit_together(
    lists: tuple[str, ...],
) -> None:
    """Those that read their members early would count beside the others."""
    known = dict(zip("abc", lists, strict=True))
    for ranked in itertools.permutations("abc"):
        vms = {vm: CountingContacts(vm, 0.0) for vm in "abc"}
        candidates: dict[str, tuple[str, ...]] = {}
        now = 0.0
        while now < 4.0:
            now += STEP
            for vm, one in vms.items():
                candidates[vm] = one.all_candidates(known[vm], now)
                for other in {*candidates[vm]} & {*known[vm]} - {vm}:
                    asked = vms[other]
                    told = one.listed(known[vm], now)
                    asked.message_received(vm, told, now)
                    lost = asked.lost(candidates.get(other, ()), now)
                    listed = asked.listed(known[other], now)
                    one.answer_received(other, now, lost, listed)
                one.check_complete(candidates[vm], now)
                one.check_pause(STEP, now)
            if now > 2 * STEP:
                shares = [
                    one.share(candidates[vm], now)
                    for vm, one in vms.items()
                    if one.counting_since(
                        [x for x in ranked if x in candidates[vm]], now
                    )
                    is not None
                ]
                assert sum(shares) <= 1.0 + 1e-9
        assert shares


def test_the_largest_vms_count_in_the_same_order_everywhere() -> None:
    """VMs that disagree would ask different counting VMs."""
    members = [
        Member(f"vm{one}", "", 1, "", "", 2.0 if one % 12 == 0 else 0.4)
        for one in range(144)
    ]
    candidates = counting_candidates(members)
    assert len(candidates) == 5
    assert candidates == counting_candidates(reversed(members))
    assert all(int(vm[2:]) % 12 == 0 for vm in candidates)
    orders = {ranked_candidates(f"a{one}", candidates) for one in range(50)}
    assert {one[0] for one in orders} == set(candidates)
