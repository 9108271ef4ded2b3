"""Replays command sessions and compares the output with golden files.

UPDATE_SESSIONS=1 rewrites the golden files; review the diff afterwards.
"""

import pathlib
from typing import Any

import pytest

SESSIONS = sorted((pathlib.Path(__file__).parent / "sessions").glob("*.txt"))


@pytest.mark.parametrize("path", SESSIONS, ids=lambda path: path.stem)
async def test_session(path: pathlib.Path, system: Any, update: bool) -> None:
    golden = read(path)
    replayed = await system.replay(golden)
    if update:
        write(path, replayed)
    assert replayed == golden


def read(path: pathlib.Path) -> str:
    return path.read_text()


def write(path: pathlib.Path, session: str) -> None:
    path.write_text(session)


def test_expected_sessions_exist() -> None:
    assert {path.stem for path in SESSIONS} >= {
        "apply",
        "drain",
        "promote",
        "race",
        "timeline",
        "watch",
    }
