"""Test that the settings page contains the generated reference."""

import pathlib

from jackdawcrank_wire.settings import explain_settings

ROOT = pathlib.Path(__file__).parents[4]


def test_settings_page_contains_the_reference() -> None:
    page = (ROOT / "docs" / "operating" / "settings.md").read_text()
    assert explain_settings() in page
