"""Tests of request explanations on logs recorded from simulated days."""

import pathlib

import pytest
from click.testing import CliRunner

from jackdawcrank_cli.explain import cause, find_chain, read_lines
from jackdawcrank_cli.explain.log_lines import LogLine
from jackdawcrank_cli.main import main

LOGS = sorted((pathlib.Path(__file__).parent / "logs").glob("*.log"))


@pytest.mark.parametrize("path", LOGS, ids=lambda path: path.stem)
def test_explanation_matches_golden_file(path: pathlib.Path) -> None:
    request = path.read_text().splitlines()[0].removeprefix("# ")
    result = CliRunner().invoke(main, ["explain", request, "--logs", path])
    assert result.exit_code == 0, result.output
    assert result.output == path.with_suffix(".txt").read_text()


def test_expected_logs_exist() -> None:
    assert [path.stem for path in LOGS] == [
        "in-doubt",
        "no-primary",
        "over-limit",
        "overload",
        "unproven-keys",
        "withdrawn-key",
    ]


def test_unknown_request_is_reported() -> None:
    path = LOGS[0]
    result = CliRunner().invoke(main, ["explain", "none", "--logs", path])
    assert result.exit_code == 5
    assert "No line names this request" in result.output


def test_foreign_and_truncated_lines_are_skipped() -> None:
    texts = [
        "nonsense",
        '{"at": 1.0, "vm": "a"',
        "[1]",
        '{"event": "x"}',
        '{"at": null, "vm": "a", "event": "x"}',
        '  3.1 a {"at": 1.5, "vm": "a", "event": "stopped"}',
    ]
    assert list(read_lines(texts)) == [LogLine(1.5, "a", "stopped", {})]


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        (
            {"outcome": "busy", "reason": "full", "server": "s1"},
            "all connections that the proxy may hold to s1 were in use",
        ),
        (
            {"outcome": "busy", "reason": "refused", "server": "s1"},
            "server s1 refused connections",
        ),
        ({"outcome": "done", "ms": 12}, "answered in 12 ms"),
        (
            {"outcome": "busy", "reason": "lacks_position", "needed": "3:9"},
            "no replica had the log position 3:9",
        ),
    ],
)
def test_cause_states_reason(fields: dict[str, object], expected: str) -> None:
    line = LogLine(1.0, "a", "statement", {"request": "r", **fields})
    assert expected in cause(find_chain([line], "r"))


def test_statement_sent_after_a_refusal_has_its_own_cause() -> None:
    # A caller that repeats a request id would be told of the first refusal.
    limited = LogLine(1.0, "a", "account_limited", {"request": "r"})
    fields = {"request": "r", "outcome": "busy", "reason": "full"}
    sent = LogLine(2.0, "a", "statement", fields | {"server": "s1"})
    assert "over the account's limit" in cause(find_chain([limited], "r"))
    assert "connections" in cause(find_chain([limited, sent], "r"))
