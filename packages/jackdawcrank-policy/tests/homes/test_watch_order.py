from jackdawcrank_policy.homes import Member, vms_above


def member(name: str, region: str = "r", capacity: float = 0.7) -> Member:
    return Member(name, "h", 1, "dc", region, capacity)


def test_no_two_vms_rely_on_each_other() -> None:
    members = [member(f"vm{n}") for n in range(9)]
    above = {one: set(vms_above(one, members)) for one in members}
    assert sorted(len(found) for found in above.values()) == list(range(9))
    for one, found in above.items():
        assert all(one not in above[other] for other in found)


def test_views_that_differ_keep_the_order() -> None:
    members = [member(f"vm{n}") for n in range(9)]
    whole = [one.vm for one in vms_above(members[4], members)]
    part = [one.vm for one in vms_above(members[4], members[::2])]
    assert part == [one for one in whole if one in part]


def test_large_vms_come_first_and_other_regions_do_not_count() -> None:
    own = member("vm1")
    large = member("vm2", capacity=2.15)
    far = member("vm3", region="elsewhere", capacity=2.15)
    assert vms_above(own, [own, large, far])[0] == large
    assert far not in vms_above(own, [own, large, far])
    assert vms_above(large, [own, large, far]) == ()
