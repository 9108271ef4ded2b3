"""Tests of the position history of a server."""

import hypothesis
import hypothesis.strategies as st

from jackdawcrank_policy.freshness import PositionHistory
from jackdawcrank_policy.values import Position


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    gaps=st.lists(st.floats(0.001, 3.0), min_size=1, max_size=400),
    share=st.floats(0.0, 1.0),
)
def test_bound_is_never_below_first_later_probe(
    gaps: list[float], share: float
) -> None:
    history = PositionHistory()
    instants: list[float] = []
    for offset, gap in enumerate(gaps):
        instants.append((instants[-1] if instants else 0.0) + gap)
        history.add(instants[-1], Position(1, offset))
    read_ended = share * instants[-1]
    later = [n for n, instant in enumerate(instants) if instant > read_ended]
    bound = history.first_after(read_ended)
    assert (bound is None) == (not later)
    assert bound is None or bound.offset >= later[0]


def test_bound_of_minutes_ago_is_close() -> None:
    history = PositionHistory()
    for tick in range(6000):
        history.add(tick * 0.02, Position(1, tick))
    recent = history.first_after(119.0)
    earlier = history.first_after(30.0)
    assert recent is not None
    assert earlier is not None
    assert 5950 < recent.offset <= 5953
    assert 1500 < earlier.offset <= 1550
