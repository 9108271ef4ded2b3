"""Tests of the losses of a period on written lines and recorded logs."""

import json
import pathlib
from typing import Any

from click.testing import CliRunner

from jackdawcrank_cli.explain.log_lines import LogLine
from jackdawcrank_cli.losses import Loss, find_losses, find_start_times
from jackdawcrank_cli.main import main

LATE_MS = 300.0
RECORDED = sorted(
    (pathlib.Path(__file__).parents[1] / "explain" / "logs").glob("*.log")
)


def statement(at: float, ms: int, outcome: str, reason: str = "") -> LogLine:
    fields = {
        "database": "d1",
        "server": "s1",
        "ms": ms,
        "outcome": outcome,
        "reason": reason,
    }
    return LogLine(at, "vm1", "statement", fields)


def write_log(path: pathlib.Path, lines: list[LogLine]) -> str:
    texts = []
    for line in lines:
        body: dict[str, Any] = {"at": line.at, "vm": line.vm}
        texts.append(json.dumps(body | {"event": line.event} | line.fields))
    path.write_text("\n".join(texts) + "\n")
    return str(path)


def test_statement_in_time_is_no_loss() -> None:
    assert not list(find_losses([statement(1.0, 299, "done")], LATE_MS))


def test_late_and_refused_statements_are_losses() -> None:
    lines = [
        statement(1.5, 301, "done"),
        statement(2.5, 800, "busy", "no primary"),
    ]
    assert list(find_losses(lines, LATE_MS)) == [
        Loss(1, "late", "", "d1", "s1", 301.0),
        Loss(2, "busy", "no primary", "d1", "s1", 800.0),
    ]


def test_lost_transaction_is_a_loss() -> None:
    line = LogLine(4.0, "vm1", "commit_in_doubt", {"server": "s1"})
    found = list(find_losses([line], LATE_MS))
    assert found == [Loss(4, "in_doubt", "", "", "s1", None)]


def test_start_times_of_each_process() -> None:
    lines = [
        LogLine(1.0, "vm1", "started", {}),
        LogLine(1.25, "vm1", "configuration_in_force", {}),
        statement(1.5, 10, "done"),
        statement(1.75, 10, "done"),
        LogLine(9.0, "vm1", "started", {}),
        LogLine(9.5, "vm1", "configuration_in_force", {}),
    ]
    first, second = find_start_times(lines)
    assert (first.configured_seconds, first.answered_seconds) == (0.25, 0.5)
    assert (second.configured_seconds, second.answered_seconds) == (0.5, None)


def test_command_ranks_causes_and_seconds(tmp_path: pathlib.Path) -> None:
    lines = [statement(100.0 + n / 10, 800, "busy", "full") for n in range(5)]
    lines += [statement(200.0, 400, "done"), statement(900.0, 800, "busy")]
    path = write_log(tmp_path / "vm1.log", lines)
    result = CliRunner().invoke(
        main, ["losses", "--logs", path, "--before", "300"]
    )
    assert result.exit_code == 0, result.output
    rows = result.output.splitlines()
    assert rows[0] == "6 statements or transactions lost or late"
    assert rows[3].split()[:3] == ["5", "busy", "800"]
    assert rows[4].split()[:3] == ["1", "late", "400"]
    assert ["5", "100"] in [row.split() for row in rows]


def test_losses_of_callers_match_golden_file() -> None:
    # Guards against a loss that is counted twice since its home and the VM of
    # its caller logged it (r8), or under the wrong account.
    log = pathlib.Path(__file__).with_name("callers.log")
    result = CliRunner().invoke(main, ["losses", "--logs", str(log)])
    assert result.exit_code == 0, result.output
    assert result.output == log.with_suffix(".txt").read_text()


def test_slow_has_a_bound_of_its_own(tmp_path: pathlib.Path) -> None:
    # Callers of an account would seem to get nothing at a bound of 300 ms.
    path = write_log(tmp_path / "vm1.log", [statement(1.0, 900, "done")])
    for options, slow in (([], False), (["--slow-ms", "800"], True)):
        result = CliRunner().invoke(main, ["losses", "--logs", path, *options])
        assert result.output.startswith("1 statements")
        assert ("SLOW" in result.output) == slow


def test_store_calls_are_added_up(tmp_path: pathlib.Path) -> None:
    lines = [
        LogLine(1.0, vm, "store_calls", {"calls": {"read op": 2, "x": None}})
        for vm in ("vm1", "vm2")
    ]
    lines.append(LogLine(2.0, "vm1", "store_calls", {"calls": "many"}))
    path = write_log(tmp_path / "vm1.log", lines)
    result = CliRunner().invoke(main, ["losses", "--logs", path])
    assert result.exit_code == 0, result.output
    rows = result.output.splitlines()
    assert rows[-2:] == ["4 calls to the store", "    4  read op"]


def test_recorded_logs_are_read() -> None:
    arguments = ["losses"]
    for path in RECORDED:
        arguments += ["--logs", str(path)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    assert not result.output.startswith("0 ")
