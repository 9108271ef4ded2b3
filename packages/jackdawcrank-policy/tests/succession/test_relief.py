from jackdawcrank_policy.succession import Relief


def relief() -> Relief:
    return Relief(replica_answered_at=100.0)


def test_full_primary_whose_replicas_lag_is_relieved() -> None:
    assert relief().wanted(103.0, full_for=2.0)


def test_burst_moves_no_lead() -> None:
    assert not relief().wanted(103.0, full_for=0.6)


def test_replica_that_answers_is_help_enough() -> None:
    one = relief()
    one.replica_answered(102.5)
    assert not one.wanted(103.0, full_for=2.0)


def test_lead_moves_once_for_a_spell() -> None:
    one = relief()
    one.lead_moved(104.0)
    assert not one.wanted(120.0, full_for=10.0)
    assert one.wanted(140.0, full_for=10.0)
