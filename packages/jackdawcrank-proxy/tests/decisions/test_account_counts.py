"""Tests of the operations by client account."""

import random

from jackdawcrank.decisions.account_counts import (
    OTHERS,
    SHOWN_ACCOUNTS,
    TRACKED_ACCOUNTS,
    AccountCounts,
)
from jackdawcrank.decisions.measurements import Measurements


def test_100_000_accounts_use_bounded_memory_and_series() -> None:
    # Guards against a series, or a table entry, for each name that is declared.
    counts = AccountCounts()
    for number in range(100_000):
        counts.add(f"a{number}", "admitted")
    shown = list(counts.series())
    assert len(counts.tracked) == TRACKED_ACCOUNTS
    assert len(shown) <= SHOWN_ACCOUNTS + 1
    assert sum(number for _, _, number in shown) == 100_000


def test_busy_accounts_displace_those_that_came_first() -> None:
    # Guards against showing the first 20 names for the life of the process.
    counts = AccountCounts()
    for number in range(5_000):
        counts.add(f"rare{number}", "admitted")
    for _ in range(100):
        for number in range(SHOWN_ACCOUNTS):
            counts.add(f"busy{number}", "admitted")
    names = {account for account, _, _ in counts.series()}
    assert names == {f"busy{n}" for n in range(SHOWN_ACCOUNTS)} | {OTHERS}


def test_no_series_decreases_while_it_is_shown() -> None:
    # A decrease reads as a restart of the process and falsifies all rates.
    rng = random.Random(5)
    counts = AccountCounts()
    before: dict[tuple[str, str], int] = {}
    for step in range(40_000):
        favoured = step // 4_000
        name = min(rng.randrange(400), rng.randrange(400)) + favoured * 7
        counts.add(f"a{name}", rng.choice(["admitted", "limited"]))
        if step % 50 == 0:
            now = {(one[0], one[1]): one[2] for one in counts.series()}
            assert all(
                now[key] >= before[key] for key in now.keys() & before.keys()
            )
            before = now


def test_reserved_names_share_no_series_with_an_account() -> None:
    # Two series with equal labels make the whole page unreadable.
    measurements = Measurements()
    for number in range(SHOWN_ACCOUNTS + 1):
        measurements.account_operation(f"a{number}", "admitted")
    measurements.account_operation(OTHERS, "admitted")
    measurements.account_operation("", "unknown_key")
    lines = [
        line
        for line in measurements.page().splitlines()
        if line.startswith("jackdawcrank_account_operations_total")
    ]
    assert len({line.split(" ")[0] for line in lines}) == len(lines)
    name = "jackdawcrank_account_operations_total"
    assert f'{name}{{account="others",outcome="admitted"}} 2' in lines
    assert f'{name}{{account="",outcome="unknown_key"}} 1' in lines
