"""Tests of the home index while VMs join and leave."""

import hypothesis
import hypothesis.strategies as st

from jackdawcrank_policy.homes import HomeIndex, home_vms

GROUPS = [f"group{number}" for number in range(12)]
MEMBERS = st.dictionaries(
    st.sampled_from([f"vm{number}" for number in range(12)]),
    st.sampled_from(["dc0", "dc1", "dc2"]),
)


def chosen(members: dict[str, str], count: int) -> dict[str, tuple[str, ...]]:
    return {
        group: home_vms(group, list(members), count, members)
        for group in GROUPS
    }


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    steps=st.lists(MEMBERS, max_size=6),
    late=st.integers(0, 6),
    count=st.integers(1, 4),
)
def test_the_index_agrees_with_the_choice_from_scratch(
    steps: list[dict[str, str]], late: int, count: int
) -> None:
    index = HomeIndex(count)
    before = chosen({}, count)
    for number, members in enumerate(steps):
        asked = GROUPS if number >= late else GROUPS[::2]
        changed = index.update(members)
        after = chosen(members, count)
        known = index.rankings.keys()
        expected = {g for g in known if before[g] != after[g]}
        assert changed == expected
        assert {g: index.homes(g) for g in asked} == {
            g: after[g] for g in asked
        }
        before = after


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(members=MEMBERS, vm=st.sampled_from(["vm3", "vm99"]))
def test_one_vm_that_comes_and_goes_leaves_no_trace(
    members: dict[str, str], vm: str
) -> None:
    without = {k: v for k, v in members.items() if k != vm}
    index = HomeIndex(3)
    index.update(without)
    first = {group: index.homes(group) for group in GROUPS}
    came = index.update({**without, vm: "dc1"})
    assert {g for g in GROUPS if vm in index.homes(g)} <= came
    assert index.update(without) == came
    assert {group: index.homes(group) for group in GROUPS} == first


def test_removed_group_is_not_reported() -> None:
    index = HomeIndex(3)
    index.homes("ledger")
    index.homes("depot")
    index.remove_group("ledger")
    assert index.update({"vm1": "dc0"}) == {"depot"}
    assert index.homes("ledger") == ("vm1",)
