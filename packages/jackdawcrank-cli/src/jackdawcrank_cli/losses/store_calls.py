"""How often processes called the store."""

import collections
from collections.abc import Iterable

from jackdawcrank_cli.explain.log_lines import LogLine


def count_store_calls(lines: Iterable[LogLine]) -> collections.Counter[str]:
    """Return the calls of all processes by operation, table and failure.

    Args:
      lines: The lines of all logs.
    """
    total: collections.Counter[str] = collections.Counter()
    for line in lines:
        calls = line.fields.get("calls")
        if line.event != "store_calls" or not isinstance(calls, dict):
            continue
        for name, count in calls.items():
            if isinstance(count, int):
                total[str(name)] += count
    return total
