"""Tests of caller classes and their limits."""

import pytest

from jackdawcrank.process.caller_classes import CallerClasses
from jackdawcrank_policy.values import CallerClassSpec, NotRunReason


@pytest.fixture
def classes() -> CallerClasses:
    classes = CallerClasses(clock=lambda: 100.0)
    classes.set_specs(
        {
            "reports": CallerClassSpec(
                "reports", ("anna",), weight=3, max_concurrent=2
            ),
            "default": CallerClassSpec("default", rate_per_second=1, burst=1),
        }
    )
    return classes


def test_named_users_belong_to_their_class(classes: CallerClasses) -> None:
    assert classes.name_of("anna") == "reports"
    assert classes.name_of("ben") == "default"


def test_concurrency_of_a_caller_is_limited(classes: CallerClasses) -> None:
    assert classes.admit("anna") is None
    assert classes.admit("anna") is None
    refusal = classes.admit("anna")
    assert refusal is not None and refusal.reason is NotRunReason.LIMITED
    classes.finish("anna")
    assert classes.admit("anna") is None


def test_default_class_limits_unnamed_users(classes: CallerClasses) -> None:
    assert classes.admit("ben") is None
    refusal = classes.admit("ben")
    assert refusal is not None and refusal.retry_after_ms
    assert classes.admit("carla") is None


def test_change_of_class_keeps_the_counts_right(
    classes: CallerClasses,
) -> None:
    assert classes.admit("anna") is None
    classes.set_specs({})
    assert classes.admit("anna") is None
    classes.finish("anna")
    classes.finish("anna")
    assert classes.admitted == {}


def test_callers_without_class_are_not_limited() -> None:
    classes = CallerClasses(clock=lambda: 0.0)
    assert all(classes.admit("ben") is None for _ in range(100))
