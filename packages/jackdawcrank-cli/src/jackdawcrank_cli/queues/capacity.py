"""How the permits of each server are divided among the homes."""

from collections.abc import Iterable

import attrs

from jackdawcrank_cli.explain.log_lines import LogLine
from jackdawcrank_cli.queues.server_queue import number


@attrs.define
class Capacity:
    """The latest division of a server's permits.

    Attributes:
      server: The server.
      group: Its database group.
      total: The permits of the server: statements that may be in flight.
      demand: What each home asked for at last.
      permits: What each home was granted at last.
      holders: The VMs that divided them in the period, the latest last.
    """

    server: str
    group: str = ""
    total: float = 0
    demand: dict[str, float] = attrs.Factory(dict)
    permits: dict[str, float] = attrs.Factory(dict)
    holders: dict[str, None] = attrs.Factory(dict)

    def add(self, line: LogLine) -> None:
        """Replace the division by that of a later line.

        Args:
          line: A line of the event `capacity_shares` about this server.
        """
        self.group = line.text("group")
        self.total = number(line, "total")
        self.demand = numbers(line, "demand")
        self.permits = numbers(line, "places")
        self.holders.pop(line.vm, None)
        self.holders[line.vm] = None

    def homes(self) -> list[str]:
        """Return the homes, those with most permits first."""
        return sorted(
            self.permits.keys() | self.demand.keys(),
            key=lambda home: (-self.permits.get(home, 0), home),
        )


def find_capacities(lines: Iterable[LogLine]) -> list[Capacity]:
    """Return the latest division for each server, by server.

    Args:
      lines: The lines of all logs.
    """
    found: dict[str, Capacity] = {}
    for line in sorted(lines, key=lambda one: one.at):
        if line.event == "capacity_shares":
            name = line.text("server")
            found.setdefault(name, Capacity(name)).add(line)
    return [found[name] for name in sorted(found)]


def numbers(line: LogLine, name: str) -> dict[str, float]:
    """Return a field that holds numbers by name; empty if it holds none.

    Args:
      line: The line.
      name: The field's name.
    """
    value = line.fields.get(name)
    if not isinstance(value, dict):
        return {}
    return {
        str(home): one
        for home, one in value.items()
        if isinstance(one, int | float)
    }
