from jackdawcrank_policy.succession import FailureKind, PrimarySuspicion


def test_single_failure_is_not_enough() -> None:
    suspicion = PrimarySuspicion()
    suspicion.connection_refused(1.0)
    assert suspicion.suspected_failure(100.0) is FailureKind.NONE
    assert suspicion.has_evidence()


def test_repeated_refusals_indicate_failure() -> None:
    suspicion = PrimarySuspicion()
    suspicion.connection_refused(1.0)
    suspicion.connection_refused(1.1)
    assert suspicion.suspected_failure(1.2) is FailureKind.NONE
    assert suspicion.suspected_failure(1.4) is FailureKind.REFUSING


def test_timeouts_must_span_minimum_silence() -> None:
    suspicion = PrimarySuspicion()
    suspicion.request_timed_out(1.0)
    suspicion.request_timed_out(1.3)
    assert suspicion.suspected_failure(1.7) is FailureKind.NONE
    assert suspicion.suspected_failure(1.9) is FailureKind.SILENT


def test_answer_clears_silence_but_not_unconfirmed_writes() -> None:
    suspicion = PrimarySuspicion()
    suspicion.request_timed_out(1.0)
    suspicion.write_unconfirmed(1.0)
    suspicion.write_unconfirmed(1.1)
    suspicion.answered()
    assert suspicion.suspected_failure(3.0) is FailureKind.UNCONFIRMED


def test_acknowledged_commit_clears_everything() -> None:
    suspicion = PrimarySuspicion()
    suspicion.connection_refused(1.0)
    suspicion.request_timed_out(1.0)
    suspicion.write_unconfirmed(1.0)
    suspicion.commit_acknowledged()
    assert not suspicion.has_evidence()
