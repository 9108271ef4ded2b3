"""Tests of structured log lines."""

import json
import logging
import sys

import pytest

from jackdawcrank.logs import (
    JsonFormatter,
    TextFormatter,
    configure_logging,
    log_event,
)
from jackdawcrank_wire.events import EventKind, TimelineEvent

EVENT = TimelineEvent(
    "vm-1",
    "b1",
    8,
    1.0,
    2.0,
    EventKind.LEASE_LOST,
    "soil",
    3,
    detail={"reason": "store down"},
)


def make_record(message: str, **fields: object) -> logging.LogRecord:
    record = logging.LogRecord(
        "absl", logging.WARNING, "/x/file.py", 12, message, (), None
    )
    record.created = 0.25
    record.fields = fields
    return record


def test_text_lines_are_pairs_with_quotes_where_needed() -> None:
    record = make_record("store down", group="soil", note='a "b"\n=c', empty="")
    assert TextFormatter().format(record) == (
        "time=1970-01-01T00:00:00.250+00:00 level=warning "
        'message="store down" source=file.py:12 group=soil '
        'note="a \\"b\\"\\n=c" empty=""'
    )


def test_json_lines_hold_the_same_fields() -> None:
    line = JsonFormatter().format(make_record("store down", group="soil"))
    assert json.loads(line) == {
        "time": "1970-01-01T00:00:00.250+00:00",
        "level": "warning",
        "message": "store down",
        "source": "file.py:12",
        "group": "soil",
    }


def test_exception_is_logged_on_one_line() -> None:
    record = make_record("failed")
    try:
        raise RuntimeError("first\nsecond")
    except RuntimeError:
        record.exc_info = sys.exc_info()
    assert "\n" not in TextFormatter().format(record)
    assert (
        "RuntimeError"
        in json.loads(JsonFormatter().format(record))["exception"]
    )


def test_logged_event_has_timeline_ids(
    capsys: pytest.CaptureFixture[str],
) -> None:
    configure_logging("json", "info")
    log_event(EVENT, logging.WARNING)
    log_event(EVENT, logging.DEBUG)
    (line,) = capsys.readouterr().err.splitlines()
    fields = json.loads(line)
    del fields["time"], fields["source"]
    assert fields == {
        "level": "warning",
        "message": "lease_lost",
        "vm": "vm-1",
        "boot": "b1",
        "sequence": 8,
        "group": "soil",
        "term": 3,
        "reason": "store down",
    }


@pytest.mark.parametrize(
    ("log_format", "verbosity"), [("xml", "info"), ("text", "loud")]
)
def test_unknown_format_or_verbosity_is_rejected(
    log_format: str, verbosity: str
) -> None:
    with pytest.raises(ValueError, match="xml|loud"):
        configure_logging(log_format, verbosity)
