"""Tests of the waits and refusals at servers on written lines."""

import pathlib

from click.testing import CliRunner

from jackdawcrank_cli.explain.log_lines import LogLine
from jackdawcrank_cli.main import main
from jackdawcrank_cli.queues import find_capacities, find_server_queues

HERE = pathlib.Path(__file__).parent


def run(*arguments: str) -> str:
    log = str(HERE / "full-server.log")
    result = CliRunner().invoke(main, ["queues", "--logs", log, *arguments])
    assert result.exit_code == 0, result.output
    return result.output


def test_tables_match_golden_file() -> None:
    # Guards against sums or means that are not those of all VMs' lines.
    assert run() == (HERE / "queues.txt").read_text()


def test_period_without_lines_is_reported_as_such() -> None:
    # An empty table has no columns to align, and no server is full.
    assert run("--after", "1790000200").startswith("0 servers")
    assert "permits" not in run("--before", "1790000101")


def test_unusable_fields_count_as_nothing() -> None:
    # Lines of another release would end the command.
    fields = {"server": "s1", "priority": None, "waited": "many", "full": 2}
    lines = [LogLine(1.0, "a", "server_queue", fields)]
    shares = {"server": "s1", "places": ["a"], "demand": {"a": "x", "b": 1}}
    lines.append(LogLine(2.0, "a", "capacity_shares", shares))
    (queue,) = find_server_queues(lines)
    assert (queue.total.waited, queue.total.full) == (0, 2)
    (capacity,) = find_capacities(lines)
    assert (capacity.permits, capacity.homes()) == ({}, ["b"])
