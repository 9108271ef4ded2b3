import pytest

from jackdawcrank.timeline import Timeline


@pytest.fixture
def timeline() -> Timeline:
    return Timeline("vm-1", "b1", 5, clock=lambda: 7.0, wall=lambda: 99.0)
