import attrs

from jackdawcrank_policy.accounts.account_allowance import (
    AccountAllowance,
    Holder,
)
from jackdawcrank_policy.accounts.account_counter import (
    AccountCounter,
    AccountLimit,
)

LIMIT = AccountLimit(10.0, 5.0, 5.0, 0.1, 20.0)
EXACT = attrs.evolve(LIMIT, excess_share=0.0, slack=0.0)
HOLDER = Holder("vm1", 1.0)


def test_unused_tokens_count_towards_the_burst() -> None:
    """Otherwise the bucket refills beside them, and both are used at once."""
    counter = AccountCounter(EXACT, -100.0, 0.0)
    assert counter.grant("vm1", 5, 0, 0.0).tokens == 5
    assert counter.grant("vm2", 5, 0, 0.9).tokens == 0
    counter.report("vm1", counter.term, 2, 3, 0.9)
    assert counter.grant("vm2", 9, 0, 0.9).tokens == 3
    assert counter.grant("vm2", 9, 0, 1.1).tokens == 2


def test_tokens_of_an_earlier_counter_are_not_credited() -> None:
    """A counter that begins anew has not taken them from its bucket."""
    counter = AccountCounter(EXACT, 10.0, 10.0)
    counter.report("vm1", 3.0, 0, 5, 10.0)
    granted = counter.grant("vm1", 1, 0, 10.0)
    assert (granted.tokens, granted.retry_seconds) == (0, 0.1)


def test_runs_without_a_token_are_debt() -> None:
    """A read that runs twice would otherwise count once."""
    counter = AccountCounter(EXACT, -100.0, 0.0)
    counter.report_use("vm1", 8, 8, 0.0)
    assert counter.grant("vm1", 1, 0, 0.0).tokens == 0
    assert counter.grant("vm1", 1, 0, 0.41).tokens == 1


def test_a_lowered_limit_clips_the_bucket() -> None:
    """Tokens saved under the old limit would exceed the new one."""
    counter = AccountCounter(EXACT, -100.0, 0.0)
    counter.apply_limit(attrs.evolve(EXACT, rate=1.0, burst=1.0), 0.0)
    assert counter.grant("vm1", 5, 0, 0.0).tokens == 1


def test_isolated_shares_fit_into_excess_and_slack() -> None:
    """The other VMs may use the whole limit at the same time."""
    for vms in (1, 2, 12, 144):
        total = vms * LIMIT.isolated_operations(vms)
        assert total <= 0.05 * 55 + 5
        assert EXACT.isolated_operations(vms) == 0


def test_late_grants_and_returned_tokens_are_not_used() -> None:
    """A frozen VM would use tokens that the counter has given to others."""
    allowance = AccountAllowance("a", 0.0, 10.0)
    allowance.granted(HOLDER, 3, 8.9, 10.0)
    assert allowance.spend(10.0) is None
    allowance.granted(HOLDER, 3, 10.0, 10.0)
    admission = allowance.spend(10.0)
    assert admission and allowance.begin_run(admission, 10.0)
    allowance.ran(admission, 10.0)
    assert allowance.spend(10.7) is None
    report = allowance.take_report(HOLDER, 10.0)
    assert (report.spent, report.returned) == (1, 2)


def test_an_operation_that_waits_long_is_admitted_again() -> None:
    """Operations that wait for a server would run together after the wait."""
    allowance = AccountAllowance("a", 0.0, 10.0)
    allowance.granted(HOLDER, 3, 10.0, 10.0)
    used, waiting, late = (allowance.spend(10.0) for _ in range(3))
    assert used and waiting and late
    assert allowance.begin_run(used, 10.1)
    allowance.not_run(used)
    assert allowance.begin_run(used, 10.2)
    allowance.give_back(waiting, 10.5)
    assert allowance.spend(10.5)
    allowance.return_held(10.7)
    assert not allowance.begin_run(late, 10.7)
    allowance.not_run(late)
    assert not allowance.may_run(late, 10.7)
    report = allowance.take_report(HOLDER, 10.7)
    # The token given back and used again, and the late one.
    assert (report.spent, report.returned) == (0, 2)


def test_a_token_that_is_given_back_late_is_not_credited() -> None:
    """The bucket has refilled since; it would exceed the burst."""
    allowance = AccountAllowance("a", 0.0, 10.0)
    allowance.granted(HOLDER, 1, 10.0, 10.0)
    admission = allowance.spend(10.0)
    assert admission
    allowance.give_back(admission, 11.1)
    report = allowance.take_report(HOLDER, 11.1)
    assert (report.spent, report.returned) == (0, 0)


def test_an_isolated_vm_waits_a_window_after_its_start() -> None:
    """It does not know what the process before it has used."""
    allowance = AccountAllowance("a", 100.0, 100.0)
    assert allowance.spend_isolated(LIMIT, 1, 104.0) is None
    used = [allowance.spend_isolated(LIMIT, 1, 105.1) for _ in range(9)]
    assert sum(one is not None for one in used) == 7
