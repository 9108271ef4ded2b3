from jackdawcrank_policy.succession import SwitchoverTrigger


def new_trigger() -> SwitchoverTrigger:
    return SwitchoverTrigger(replica_answered_at=100.0)


def test_full_primary_with_lagging_replicas_triggers_lag_check() -> None:
    assert new_trigger().lag_check_due(103.0, queued_seconds=2.0)


def test_burst_does_not_trigger_lag_check() -> None:
    assert not new_trigger().lag_check_due(103.0, queued_seconds=0.6)


def test_recent_replica_read_prevents_lag_check() -> None:
    trigger = new_trigger()
    trigger.replica_answered(102.5)
    assert not trigger.lag_check_due(103.0, queued_seconds=2.0)


def test_switchover_is_not_repeated_within_interval() -> None:
    trigger = new_trigger()
    trigger.primary_replaced(104.0)
    assert not trigger.lag_check_due(120.0, queued_seconds=10.0)
    assert trigger.lag_check_due(140.0, queued_seconds=10.0)
