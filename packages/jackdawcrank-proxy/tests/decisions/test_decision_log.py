import json
import os

from jackdawcrank.decisions.decision_log import (
    MAX_BUFFERED_LINES,
    MAX_ROUTINE_LINES,
    DecisionLog,
)


def read(descriptor: int) -> list[dict[str, object]]:
    data = os.read(descriptor, 4_000_000)
    return [json.loads(line) for line in data.splitlines()]


def make_log() -> tuple[DecisionLog, int]:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    return DecisionLog("vm1", writer), reader


def test_line_contains_time_vm_event_and_fields() -> None:
    log, reader = make_log()
    log.event("store_lost", detail="why")
    log.write_out()
    [line] = read(reader)
    assert line.pop("at")
    assert line == {"vm": "vm1", "event": "store_lost", "detail": "why"}


def test_excess_routine_lines_are_dropped_and_counted() -> None:
    log, reader = make_log()
    for _ in range(MAX_ROUTINE_LINES + 7):
        log.routine("statement")
    log.event("store_lost")
    log.write_out()
    lines = read(reader)
    events = [line["event"] for line in lines]
    assert events.count("statement") == MAX_ROUTINE_LINES
    assert "store_lost" in events
    assert lines[-1]["count"] == 7
    assert log.measurements.events["statement"] == MAX_ROUTINE_LINES + 7


def test_blocked_reader_bounds_memory_without_blocking() -> None:
    log, reader = make_log()
    for _ in range(200):
        for _ in range(100):
            log.event("statement", detail="x" * 100)
        log.write_out()
    assert len(log.unwritten) <= MAX_BUFFERED_LINES * 400
    assert log.dropped or b"lines_dropped" in log.unwritten


def test_closed_reader_is_ignored() -> None:
    log, reader = make_log()
    os.close(reader)
    log.event("stopped")
    log.write_out()
    assert log.unwritten == b""
