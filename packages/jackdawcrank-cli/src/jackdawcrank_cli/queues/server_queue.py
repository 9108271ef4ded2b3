"""The waits and refusals at each server."""

import collections
from collections.abc import Iterable

import attrs

from jackdawcrank_cli.explain.log_lines import LogLine


@attrs.define
class QueueSum:
    """Waits and refusals of some statements at a server.

    Attributes:
      waited: Statements that waited.
      total_ms: The sum of their waits in milliseconds.
      longest_ms: The longest wait in milliseconds.
      refused: Statements refused because the wait limit passed.
      full: Statements that the server refused as full.
    """

    waited: int = 0
    total_ms: float = 0.0
    longest_ms: float = 0.0
    refused: int = 0
    full: int = 0

    @property
    def mean_ms(self) -> float:
        """The mean wait in milliseconds; 0 if nothing waited."""
        return self.total_ms / self.waited if self.waited else 0.0

    def add(self, line: LogLine) -> None:
        """Add a line.

        Args:
          line: A line of the event `server_queue`.
        """
        waited = int(number(line, "waited"))
        self.waited += waited
        self.total_ms += waited * number(line, "mean_ms")
        self.longest_ms = max(self.longest_ms, number(line, "longest_ms"))
        self.refused += int(number(line, "refused"))
        self.full += int(number(line, "full"))

    def cost(self) -> tuple[int, float]:
        """Return what sorts the costliest last: refusals, then waits."""
        return (self.refused + self.full, self.total_ms)


def empty_sums() -> dict[str, QueueSum]:
    """Return sums by name that begin at 0."""
    return collections.defaultdict(QueueSum)


@attrs.define
class ServerQueue:
    """The waits and refusals at one server, of all homes.

    Attributes:
      server: The server.
      group: Its database group.
      total: The sum over all statements.
      by_priority: The sum of each priority.
      by_account: The sum of each account; `*` for those that were not among
        the busiest, empty for callers without one.
      windows: The latest window of each VM that wrote lines.
    """

    server: str
    group: str = ""
    total: QueueSum = attrs.Factory(QueueSum)
    by_priority: dict[str, QueueSum] = attrs.Factory(empty_sums)
    by_account: dict[str, QueueSum] = attrs.Factory(empty_sums)
    windows: dict[str, float] = attrs.Factory(dict)

    def add(self, line: LogLine) -> None:
        """Add a line.

        Args:
          line: A line of the event `server_queue` about this server.
        """
        self.group = line.text("group") or self.group
        self.windows[line.vm] = number(line, "places")
        self.total.add(line)
        self.by_priority[line.text("priority")].add(line)
        self.by_account[line.text("account")].add(line)

    def busiest_accounts(self) -> list[tuple[str, QueueSum]]:
        """Return the accounts and their sums, the costliest first."""
        return sorted(self.by_account.items(), key=rank)

    def priorities(self) -> list[tuple[str, QueueSum]]:
        """Return the priorities and their sums, the most urgent first."""
        return sorted(self.by_priority.items(), key=priority_order)


def find_server_queues(lines: Iterable[LogLine]) -> list[ServerQueue]:
    """Return the servers with waits or refusals, the costliest first.

    Args:
      lines: The lines of all logs.
    """
    found: dict[str, ServerQueue] = {}
    for line in sorted(lines, key=lambda one: one.at):
        if line.event == "server_queue":
            name = line.text("server")
            found.setdefault(name, ServerQueue(name)).add(line)
    by_name = {name: one.total for name, one in found.items()}
    return [found[name] for name, _ in sorted(by_name.items(), key=rank)]


def rank(item: tuple[str, QueueSum]) -> tuple[float, float, str]:
    """Return what sorts a name with the costliest sum first."""
    refusals, total_ms = item[1].cost()
    return (-refusals, -total_ms, item[0])


def priority_order(item: tuple[str, QueueSum]) -> tuple[bool, int, str]:
    """Return what sorts priorities by number, and other texts last."""
    name = item[0]
    is_number = name.removeprefix("-").isdecimal()
    return (not is_number, int(name) if is_number else 0, name)


def number(line: LogLine, name: str) -> float:
    """Return a field that holds a number; 0 if it holds none.

    Args:
      line: The line.
      name: The field's name.
    """
    value = line.fields.get(name)
    return value if isinstance(value, int | float) else 0
