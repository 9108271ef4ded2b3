"""Tests of the operations of client accounts on written lines."""

import json
import pathlib

from click.testing import CliRunner

from jackdawcrank_cli.accounts import find_account_uses, find_unproven_times
from jackdawcrank_cli.commands.accounts import SHOWN_ACCOUNTS
from jackdawcrank_cli.explain.log_lines import LogLine
from jackdawcrank_cli.main import main

LOGS = pathlib.Path(__file__).parents[1] / "explain" / "logs"
NAMES = ("over-limit", "withdrawn-key", "unproven-keys")


def run(paths: list[pathlib.Path], *arguments: str) -> str:
    options = [one for path in paths for one in ("--logs", str(path))]
    result = CliRunner().invoke(main, ["accounts", *options, *arguments])
    assert result.exit_code == 0, result.output
    return result.output


def test_table_matches_golden_file() -> None:
    golden = pathlib.Path(__file__).with_name("accounts.txt")
    assert run([LOGS / f"{name}.log" for name in NAMES]) == golden.read_text()


def test_lines_outside_the_period_are_left_out() -> None:
    # An engineer who looks at one minute would be shown the whole day.
    output = run([LOGS / "over-limit.log"], "--before", "1790000101")
    assert output.splitlines()[3].split() == ["acme", "0", "0", "0", "0"] + [
        "edge-a-1",
        "-",
    ]
    assert run([LOGS / "over-limit.log"], "--after", "1790000200")[0] == "0"


def test_table_is_bounded(tmp_path: pathlib.Path) -> None:
    # 100,000 accounts would fill the terminal.
    path = tmp_path / "vm1.log"
    path.write_text(
        "".join(
            json.dumps(
                {"at": 1.0, "vm": "a", "event": "key_refused"}
                | {"account": f"a{n}", "key": "00", "reason": "unknown"}
            )
            + "\n"
            for n in range(500)
        )
    )
    lines = run([path]).splitlines()
    assert len(lines) == SHOWN_ACCOUNTS + 4
    assert lines[-1] == f"and {500 - SHOWN_ACCOUNTS} more accounts"


def test_refusals_are_not_counted_twice() -> None:
    # Sums and single lines tell of the same refusals.
    fields = {"account": "acme"}
    lines = [LogLine(1.0, "a", "account_limited", fields) for _ in range(3)]
    usage = fields | {"admitted": 7, "limited": 5, "holder": "b"}
    lines.append(LogLine(2.0, "a", "account_usage", usage))
    lines.append(LogLine(3.0, "a", "account_usage", fields | {"admitted": ""}))
    # Events about servers would add rows for "*" and for no account.
    for other in ("*", "", "bolt"):
        lines.append(LogLine(4.0, "a", "server_queue", {"account": other}))
    (use,) = find_account_uses(lines)
    assert (use.operations, use.limited, use.holder) == (7, 5, "b")


def test_unproven_time_ends_with_proof_restart_or_the_log() -> None:
    # A VM that was killed while unproven writes no `keys_proven`.
    lines = [
        LogLine(at, "a", event, {})
        for at, event in (
            (1.0, "keys_unproven"),
            (3.0, "keys_proven"),
            (5.0, "keys_unproven"),
            (6.0, "started"),
            (8.0, "keys_unproven"),
            (8.5, "store_lost"),
        )
    ]
    (time,) = find_unproven_times([*lines, LogLine(9.0, "b", "started", {})])
    assert (time.vm, time.times, time.seconds) == ("a", 3, 3.5)
