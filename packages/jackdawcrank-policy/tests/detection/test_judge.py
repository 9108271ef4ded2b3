"""Tests of the judgement that combines the evidence of the homes."""

import pytest

from jackdawcrank_policy.detection import (
    Judgement,
    PrimaryEvidence,
    PrimaryHealth,
    judge,
)

HEALTHS = {
    "h": PrimaryHealth.HEALTHY,
    "l": PrimaryHealth.SLOW,
    "s": PrimaryHealth.SUSPECT,
    "r": PrimaryHealth.REFUSING,
    "c": PrimaryHealth.CUT_OFF,
    "u": PrimaryHealth.UNKNOWN,
}


@pytest.mark.parametrize(
    ("healths", "expected"),
    [
        ("ss", Judgement.FAILED),
        ("rs", Judgement.FAILED),
        ("s", Judgement.FAILED),
        ("ssc", Judgement.FAILED),
        ("ssh", Judgement.PARTITIONED),
        ("sshh", Judgement.UNCERTAIN),
        ("sh", Judgement.UNCERTAIN),
        ("sc", Judgement.UNCERTAIN),
        ("c", Judgement.UNCERTAIN),
        ("u", Judgement.UNCERTAIN),
        ("", Judgement.UNCERTAIN),
        ("llh", Judgement.SLOW),
        ("lhh", Judgement.HEALTHY),
    ],
)
def test_combined_judgement(healths: str, expected: Judgement) -> None:
    evidence = [
        PrimaryEvidence(f"vm{number}", "ledger", 4, "s1", HEALTHS[letter])
        for number, letter in enumerate(healths)
    ]
    assert judge(evidence, "s1") is expected


def test_evidence_on_another_primary_does_not_count() -> None:
    own = PrimaryEvidence("vm0", "ledger", 4, "s1", PrimaryHealth.SUSPECT)
    other = PrimaryEvidence("vm1", "ledger", 5, "s2", PrimaryHealth.SUSPECT)
    assert judge([own, other], "s2") is judge([other], "s2")
