import attrs

from jackdawcrank_policy.succession import Claim, next_claim

FIRST = Claim(1, "vm1", "s1", 10.0)


def test_first_claim_has_the_first_token() -> None:
    assert next_claim(None, "vm1", "s1", 10.0) == FIRST


def test_claim_in_force_blocks_other_holders() -> None:
    assert next_claim(FIRST, "vm2", "s1", 12.9) is None


def test_claim_of_dead_holder_expires() -> None:
    assert next_claim(FIRST, "vm2", "s1", 13.1) == Claim(2, "vm2", "s1", 13.1)


def test_settled_claim_is_succeeded_at_once_with_higher_token() -> None:
    settled = attrs.evolve(FIRST, settled=True)
    assert next_claim(settled, "vm2", "s2", 10.1) == Claim(2, "vm2", "s2", 10.1)


def test_claim_from_before_store_clock_reset_does_not_block() -> None:
    assert next_claim(FIRST, "vm2", "s1", 1.0) == Claim(2, "vm2", "s1", 1.0)


def test_two_holders_do_not_act_in_turn() -> None:
    # vm1 acted, then vm2, then vm1 again within 3 s, which broke ONE.
    second = Claim(2, "vm2", "s2", 10.8, settled=True)
    assert next_claim(second, "vm1", "s3", 12.7, acted_at=10.0) is None
    assert next_claim(second, "vm3", "s3", 12.7) is not None
    assert next_claim(second, "vm1", "s3", 13.1, acted_at=10.0) is not None


def test_holder_claims_again_after_its_own_order() -> None:
    settled = attrs.evolve(FIRST, settled=True)
    found = next_claim(settled, "vm1", "s2", 11.0, acted_at=10.5)
    assert found == Claim(2, "vm1", "s2", 11.0)
