"""What callers get while homes share a server's capacity, and under faults.

The criterion of adoption, at least as well in every load, is not met: bursts at
one home earn up to 3.6% less, in sums of 4 seeds. No setting enables the
decision, see `docs/design/capacity-sharing.md`.
"""

from collections.abc import Callable

import pytest

from .capacity_model import Model, play


def kill(model: Model) -> None:
    model.kill("vm0", 2.0)


def freeze(model: Model) -> None:
    model.thaw_at["vm0"] = model.loop.time() + 1.5


def partition(model: Model) -> None:
    model.side = {"vm0": 1}
    model.loop.call_later(3.0, model.side.clear)


def silent(model: Model) -> None:
    model.side = {vm: one for one, vm in enumerate(model.names)}


@pytest.mark.parametrize(
    ("homes", "load"), [(3, "overload"), (4, "near region"), (6, "burst")]
)
def test_callers_get_more_than_with_own_windows(homes: int, load: str) -> None:
    """Guards against refusals by the server and callers that lose by them."""
    plays = {
        sharing: [play(homes, sharing, seed, load) for seed in range(2)]
        for sharing in (False, True)
    }
    full = {key: sum(one.full for one in plays[key]) for key in plays}
    value = {key: sum(one.value for one in plays[key]) for key in plays}
    assert full[True] < 0.3 * full[False]
    assert value[True] > value[False]


@pytest.mark.parametrize("load", ["half at one", "all at one"])
def test_bursts_at_one_home_lose_little(load: str) -> None:
    """Guards against a larger loss than the design note states.

    Reserved permits lie idle while one of 6 homes needs all slots.
    """
    today, shared = (play(6, sharing, 1, load) for sharing in (False, True))
    assert shared.full <= today.full
    assert shared.value >= 0.95 * today.value


@pytest.mark.parametrize("fault", [kill, freeze, partition, silent])
def test_a_lost_holder_costs_callers_little(
    fault: Callable[[Model], None],
) -> None:
    """Guards against shares that outlive their holder, and none after it.

    Single plays differ by about 1% either way.
    """
    today, shared = (
        play(4, sharing, 1, "burst", fault) for sharing in (False, True)
    )
    assert shared.full < 0.3 * today.full
    assert shared.value >= 0.98 * today.value


def test_calm_homes_send_no_messages() -> None:
    """Guards against messages that grow with VMs instead of contention."""
    assert play(6, True, 1, "idle", usual_seconds=0.0).messages == 0
