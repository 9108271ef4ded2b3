"""How long processes take from their start to their first answer."""

from collections.abc import Iterable

import attrs

from jackdawcrank_cli.explain.log_lines import LogLine


@attrs.frozen
class StartTime:
    """One start of a process.

    Attributes:
      vm: The VM of the process.
      started_at: When it started, in Unix seconds.
      configured_seconds: Seconds until a configuration was in force; None if
        it never was.
      answered_seconds: Seconds until the first statement was answered with
        success; None if none was.
    """

    vm: str
    started_at: float
    configured_seconds: float | None = None
    answered_seconds: float | None = None


def find_start_times(lines: Iterable[LogLine]) -> list[StartTime]:
    """Return the starts of all processes, by time.

    Args:
      lines: The lines of all logs.
    """
    found: list[StartTime] = []
    latest: dict[str, StartTime] = {}
    for line in sorted(lines, key=lambda one: one.at):
        if line.event == "started":
            if line.vm in latest:
                found.append(latest[line.vm])
            latest[line.vm] = StartTime(line.vm, line.at)
        elif line.vm in latest:
            latest[line.vm] = advance(latest[line.vm], line)
    found += latest.values()
    return sorted(found, key=lambda one: one.started_at)


def advance(start: StartTime, line: LogLine) -> StartTime:
    """Return a start with what a later line of its process tells."""
    seconds = line.at - start.started_at
    if line.event == "configuration_in_force":
        if start.configured_seconds is None:
            start = attrs.evolve(start, configured_seconds=seconds)
    elif (
        line.event == "statement"
        and line.fields.get("outcome") == "done"
        and start.answered_seconds is None
    ):
        start = attrs.evolve(start, answered_seconds=seconds)
    return start
