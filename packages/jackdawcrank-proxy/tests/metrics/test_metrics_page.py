"""Checks that the operators' page matches the declared metrics."""

import pathlib

from jackdawcrank.metrics.page import BEGIN, END, metrics_table

ROOT = pathlib.Path(__file__).parents[4]
PAGE = ROOT / "docs" / "operating" / "metrics-and-alerts.md"


def test_the_page_lists_every_metric() -> None:
    _, _, rest = PAGE.read_text().partition(BEGIN)
    table, _, _ = rest.partition(END)
    assert table.strip() == metrics_table().strip()
