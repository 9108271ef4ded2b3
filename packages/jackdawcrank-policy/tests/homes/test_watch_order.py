from jackdawcrank_policy.homes import Member, lower_vms, upstream_vms


def member(name: str, region: str = "r", capacity: float = 0.7) -> Member:
    return Member(name, "h", 1, "dc", region, capacity)


def test_no_two_vms_are_upstream_of_each_other() -> None:
    members = [member(f"vm{n}") for n in range(9)]
    upstreams = {
        candidate: set(upstream_vms(candidate, members))
        for candidate in members
    }
    assert sorted(len(vms) for vms in upstreams.values()) == list(range(9))
    for candidate, vms in upstreams.items():
        assert all(candidate not in upstreams[other] for other in vms)


def test_differing_views_keep_the_same_order() -> None:
    members = [member(f"vm{n}") for n in range(9)]
    whole = [candidate.vm for candidate in upstream_vms(members[4], members)]
    part = [
        candidate.vm for candidate in upstream_vms(members[4], members[::2])
    ]
    assert part == [candidate for candidate in whole if candidate in part]


def test_large_vms_come_first_and_other_regions_do_not_count() -> None:
    own = member("vm1")
    large = member("vm2", capacity=2.15)
    far = member("vm3", region="elsewhere", capacity=2.15)
    assert upstream_vms(own, [own, large, far])[0] == large
    assert far not in upstream_vms(own, [own, large, far])
    assert upstream_vms(large, [own, large, far]) == ()


def test_lower_vms_are_all_others_of_the_region() -> None:
    # The best ranked VM would hear nobody while it is cut off from the store.
    members = [member(f"vm{n}") for n in range(5)]
    far = member("vm9", region="elsewhere")
    for own in members:
        above = upstream_vms(own, [*members, far])
        below = lower_vms(own, [*members, far])
        assert {own, *above, *below} == set(members)
        assert len(above) + len(below) == 4
