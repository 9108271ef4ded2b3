from jackdawcrank_policy.succession import Doubt, PrimaryDoubt


def test_single_failure_is_no_verdict() -> None:
    doubt = PrimaryDoubt()
    doubt.was_refused(1.0)
    assert doubt.verdict(100.0) is Doubt.NONE
    assert doubt.any()


def test_refusals_over_some_time_are_a_loss() -> None:
    doubt = PrimaryDoubt()
    doubt.was_refused(1.0)
    doubt.was_refused(1.1)
    assert doubt.verdict(1.2) is Doubt.NONE
    assert doubt.verdict(1.4) is Doubt.REFUSING


def test_silence_takes_longer_than_two_questions() -> None:
    doubt = PrimaryDoubt()
    doubt.was_silent(1.0)
    doubt.was_silent(1.3)
    assert doubt.verdict(1.7) is Doubt.NONE
    assert doubt.verdict(1.9) is Doubt.SILENT


def test_answer_clears_silence_but_not_unconfirmed_writes() -> None:
    doubt = PrimaryDoubt()
    doubt.was_silent(1.0)
    doubt.was_unconfirmed(1.0)
    doubt.was_unconfirmed(1.1)
    doubt.answered()
    assert doubt.verdict(3.0) is Doubt.UNCONFIRMED


def test_acknowledged_commit_clears_everything() -> None:
    doubt = PrimaryDoubt()
    doubt.was_refused(1.0)
    doubt.was_silent(1.0)
    doubt.was_unconfirmed(1.0)
    doubt.confirmed()
    assert not doubt.any()
