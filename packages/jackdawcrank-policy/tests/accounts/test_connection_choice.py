import pytest

from jackdawcrank_policy.accounts.connection_choice import (
    REUSE_SECONDS,
    USE_HALF_LIFE_SECONDS,
    AccountUse,
    WaitingRequest,
    choose_control,
    choose_eviction,
    choose_idle,
    choose_waiter,
    fair_share,
    may_evict,
    may_hold_transaction,
)

FRESH = WaitingRequest("b", 1, REUSE_SECONDS * 0.9)
AGED = WaitingRequest("b", 1, REUSE_SECONDS)
OWN = WaitingRequest("a", 1, 0.0)
LOW = WaitingRequest("a", 2, 0.0)


def test_idle_connection_is_of_the_account_with_least_setup() -> None:
    # Fails if a statement could get a connection of another account.
    setup = [0, 5, 2, 2, 0]
    chosen = choose_idle(["b", "a", "a", "a", ""], "a", setup.__getitem__)
    assert chosen == 3
    assert choose_idle(["b", ""], "a", setup.__getitem__) is None


@pytest.mark.parametrize(
    ("accounts", "use", "expected"),
    [
        ([], {}, None),
        (["a", "b"], {}, 0),
        (["a", "b"], {"a": 9.0, "b": 1.0}, 1),
        # A large account keeps no more than its use justifies.
        (["a", "a", "a", "b"], {"a": 9.0, "b": 4.0}, 0),
        (["b", ""], {"b": 0.1}, 1),
    ],
)
def test_least_used_connection_is_closed(
    accounts: list[str], use: dict[str, float], expected: int | None
) -> None:
    # Fails if a burst of one account closes the connections of busy ones.
    assert choose_eviction(accounts, use) == expected


def test_control_command_leaves_the_connections_of_accounts() -> None:
    # Fails if a control command takes the connection next used by an account.
    assert choose_control(["", "a", "", "b"]) == 2
    assert choose_control(["a", "b"]) == 0
    assert choose_control([]) is None


@pytest.mark.parametrize(
    ("first", "own", "can_open", "holds_share", "expected"),
    [
        (FRESH, OWN, True, False, OWN),
        (AGED, OWN, True, False, None),
        (FRESH, LOW, True, False, None),
        (FRESH, None, True, False, None),
        # No connection can be opened, so closing one would help nobody.
        (AGED, LOW, False, False, LOW),
        (AGED, OWN, True, True, OWN),
    ],
)
def test_returned_connection_serves_its_account_for_a_short_time(
    first: WaitingRequest,
    own: WaitingRequest | None,
    can_open: bool,
    holds_share: bool,
    expected: WaitingRequest | None,
) -> None:
    # Fails if an account keeps its connections while another one starves, or
    # if connections are closed while those of the first account suffice.
    assert choose_waiter(first, own, can_open, holds_share) == expected


def test_account_with_its_share_closes_others_only_after_a_wait() -> None:
    # Fails if a burst of one account replaces the connections of all others.
    assert may_evict(FRESH, False) and may_evict(AGED, True)
    assert not may_evict(FRESH, True)
    assert [fair_share(16, n) for n in (1, 3, 40)] == [16, 5, 1]


@pytest.mark.parametrize(
    ("limit", "held", "own", "accounts", "others_wait", "expected"),
    [
        (16, 11, 11, 4, False, True),
        # A quarter is left to single statements, and at least 1 of 2.
        (16, 12, 0, 4, False, False),
        (3, 2, 0, 4, False, False),
        (2, 1, 0, 4, False, False),
        (1, 0, 0, 4, True, True),
        # The share counts only while others wait, and is at least 1.
        (16, 4, 4, 4, True, False),
        (16, 8, 3, 4, True, True),
        (16, 8, 0, 40, True, True),
    ],
)
def test_transactions_leave_connections_to_others(
    limit: int,
    held: int,
    own: int,
    accounts: int,
    others_wait: bool,
    expected: bool,
) -> None:
    # Fails if transactions whose callers pause can hold all connections, or if
    # an account can hold none.
    chosen = may_hold_transaction(limit, held, own, accounts, others_wait)
    assert chosen is expected


def test_use_decays_and_is_forgotten() -> None:
    # Fails if the state grows with the accounts ever seen.
    use = AccountUse()
    use.record("a", 0.0)
    use.record("b", USE_HALF_LIFE_SECONDS)
    assert use.counts == {"a": 0.5, "b": 1.0}
    use.record("c", 20 * USE_HALF_LIFE_SECONDS)
    assert use.counts == {"c": 1.0}
