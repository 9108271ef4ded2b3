import pytest

from refusing import (
    LATE_WORTH,
    RETRIES,
    Limits,
    Model,
    Operation,
    Outage,
    burst_run,
    count,
    outage_run,
)


def test_calm_load_is_served_in_time() -> None:
    """Guards against a model that loses operations by itself."""
    for limits in Limits:
        assert burst_run(limits, 40.0, 1.0).in_time > 0.995


def test_each_operation_ends_once_within_its_patience() -> None:
    """Guards against counting an operation twice or after it was given up."""
    model = Model(1, lambda _: 140.0, 12.0, [(2.0, 5.0)], Outage.REFUSE)
    for one in model.run():
        assert 1 <= one.attempts <= RETRIES + 1
        assert 0.0 <= one.ended_at - one.began_at <= 3.0 + 1e-9


def test_late_answers_are_weighted() -> None:
    """Guards against a table in which late answers count in full."""
    early = Operation(0, 0.006, 0.0, ended_at=0.2, served=True)
    late = Operation(0, 0.006, 0.0, ended_at=0.9, served=True)
    lost = Operation(0, 0.006, 0.0, ended_at=2.0)
    found = count([early, late, lost])
    assert found.worth == pytest.approx((1.0 + LATE_WORTH) / 3)
    assert found.lost_after == 2.0


def test_refusing_during_an_outage_serves_fewer() -> None:
    """Guards the decision to wait: callers that come back soon are lost."""
    today = outage_run(Outage.WAIT, (1.0, 1.0), 70.0)
    refusing = outage_run(Outage.REFUSE, (1.0, 1.0), 70.0)
    assert refusing.worth < today.worth
    assert refusing.in_vain < today.in_vain
