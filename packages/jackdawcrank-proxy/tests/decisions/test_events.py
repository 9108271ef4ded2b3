import pathlib
import re

import jackdawcrank
from jackdawcrank.decisions.event_page import event_page
from jackdawcrank.decisions.event_spec import EVENTS

SOURCES = pathlib.Path(jackdawcrank.__file__).parent
ROOT = pathlib.Path(__file__).parents[4]
EVENT_CALL = re.compile(
    r'(?:\.event|\.routine|\bwrite|\.report_unanswered)\(\s*"([a-z_]+)"'
)
SOURCE_FOLDERS = ("relay", "decisions")


def written_events() -> set[str]:
    found: set[str] = set()
    paths = [
        path
        for place in SOURCE_FOLDERS
        for path in (SOURCES / place).glob("*.py")
    ]
    paths += (ROOT / "platform/src").glob("**/*.py")
    for path in paths:
        found |= set(EVENT_CALL.findall(path.read_text()))
    return found


def test_declared_and_written_events_match() -> None:
    assert written_events() == {event.name for event in EVENTS}


def test_reference_page_is_up_to_date() -> None:
    page = ROOT / "docs/operating/decision-log.md"
    assert page.read_text() == event_page()
