"""Tests of the evidence that probes provide."""

import pytest

from jackdawcrank_policy.freshness import Evidence, answer_is_valid
from jackdawcrank_policy.values import (
    Branch,
    Position,
    ServerReport,
    ServerRole,
    TermStart,
)

FIRST = Branch((TermStart(1, 0),))
SECOND = FIRST.extended(TermStart(2, 50))


def report(
    server: str, position: str, term: int = 1, primary: bool = False
) -> ServerReport:
    role = ServerRole.PRIMARY if primary else ServerRole.REPLICA
    return ServerReport(server, term, role, Position.parse(position), True)


@pytest.fixture
def evidence() -> Evidence:
    evidence = Evidence()
    evidence.begin_term(FIRST)
    evidence.hold_term(100.0)
    return evidence


def test_age_counts_from_sending_of_primary_probe(
    evidence: Evidence,
) -> None:
    evidence.observe(report("a", "1:10", primary=True), 5.0, 5.4)
    evidence.observe(report("a", "1:20", primary=True), 6.0, 6.4)
    evidence.observe(report("b", "1:10"), 7.0, 7.1)
    assert evidence.age("b", 8.0) == pytest.approx(3.0)
    evidence.observe(report("b", "1:20"), 7.5, 7.6)
    assert evidence.age("b", 8.0) == pytest.approx(2.0)


def test_caught_up_report_of_replica_proves_no_age(
    evidence: Evidence,
) -> None:
    evidence.observe(report("b", "1:10"), 7.0, 7.1)
    assert evidence.age("b", 8.0) is None


def test_age_excludes_time_after_term_lease(
    evidence: Evidence,
) -> None:
    evidence.observe(report("a", "1:10", primary=True), 120.0, 120.1)
    evidence.observe(report("b", "1:10"), 120.0, 120.1)
    assert evidence.age("b", 121.0) == pytest.approx(21.0)


def test_write_position_bounds_earlier_log(
    evidence: Evidence,
) -> None:
    evidence.observe_write(Position(1, 30), 9.0)
    evidence.observe(report("b", "1:29"), 9.5, 9.6)
    assert evidence.age("b", 10.0) is None
    evidence.observe(report("b", "1:30"), 9.7, 9.8)
    assert evidence.age("b", 10.0) == pytest.approx(1.0)


def test_late_answer_does_not_replace_answer_to_later_probe(
    evidence: Evidence,
) -> None:
    evidence.observe(report("b", "1:20"), 2.0, 2.1)
    evidence.observe(report("b", "1:30"), 1.0, 3.0)
    assert evidence.position("b") == Position(1, 20)
    evidence.forget("b")
    evidence.observe(report("b", "1:10"), 1.5, 4.0)
    assert evidence.position("b") is None


def test_new_term_drops_servers_that_were_not_fenced(
    evidence: Evidence,
) -> None:
    evidence.observe(report("a", "1:45"), 1.0, 1.1)
    evidence.observe(report("b", "1:45", term=2), 1.0, 1.1)
    evidence.observe(report("c", "1:55", term=2), 1.0, 1.1)
    evidence.begin_term(SECOND)
    assert evidence.reached("b", Position(1, 45), SECOND)
    assert not evidence.reached("a", Position(1, 45), SECOND)
    assert not evidence.reached("c", Position(1, 45), SECOND)
    assert evidence.age("b", 2.0) is None


def test_divergent_tail_is_not_evidence(evidence: Evidence) -> None:
    evidence.begin_term(SECOND)
    evidence.observe(report("a", "1:55", term=2), 1.0, 1.1)
    assert evidence.position("a") is None
    evidence.observe(report("a", "2:52", term=2), 2.0, 2.1)
    assert evidence.reached("a", Position(2, 52), SECOND)
    assert not evidence.reached("a", Position(1, 51), SECOND)


def test_only_probe_sent_after_read_bounds_it(evidence: Evidence) -> None:
    evidence.observe(report("b", "1:20"), 2.0, 4.0)
    assert evidence.bound_after("b", 3.0) is None
    evidence.observe(report("b", "1:22"), 3.5, 4.5)
    evidence.observe(report("b", "1:30"), 4.0, 5.0)
    assert evidence.bound_after("b", 3.0) == Position(1, 22)
    evidence.observe(report("b", "1:31", term=2), 6.0, 6.1)
    assert evidence.bound_after("b", 5.0) is None


def test_catch_up_estimate_assumes_constant_lag(evidence: Evidence) -> None:
    for second in range(20):
        at = float(second)
        primary = report("a", f"1:{second * 10}", primary=True)
        evidence.observe(primary, at, at)
    evidence.observe(report("b", "1:165"), 19.0, 19.1)
    expected = evidence.catch_up_seconds("b", Position(1, 185), 20.0)
    assert expected == pytest.approx(1.0)
    assert evidence.catch_up_seconds("b", Position(1, 160), 20.0) == 0.0
    assert evidence.catch_up_seconds("c", Position(1, 160), 20.0) is None
    assert evidence.replication_lag("b") == pytest.approx(3.0)


def test_answer_is_valid_only_on_its_branch(evidence: Evidence) -> None:
    bound = Position(1, 10)
    assert answer_is_valid(evidence, "b", FIRST, bound, 100.0)
    assert not answer_is_valid(evidence, "b", FIRST, bound, 100.5)
    evidence.observe(report("b", "1:9"), 101.0, 101.1)
    assert not answer_is_valid(evidence, "b", FIRST, bound, 100.5)
    evidence.observe(report("b", "1:10"), 102.0, 102.1)
    assert answer_is_valid(evidence, "b", FIRST, None, 100.5)
    assert answer_is_valid(evidence, "b", FIRST, bound, 101.5)
    evidence.begin_term(SECOND)
    assert not answer_is_valid(evidence, "b", FIRST, bound, 99.0)
