"""Collects the log lines that explain the outcome of one request."""

from collections.abc import Iterable

import attrs

from jackdawcrank_cli.explain.log_lines import LogLine

# Covers the longest statement of our users (3 s) and a complete change of
# primary (7 s).
LOOK_BACK_SECONDS = 7.0
CONTEXT_EVENTS = frozenset(
    {
        "account_counting",
        "account_unreadable",
        "claim_failed",
        "configuration_in_force",
        "connection_failed",
        "hand_over_undone",
        "history_gone",
        "keys_proven",
        "keys_unproven",
        "leaving",
        "lines_dropped",
        "no_successor",
        "not_primary",
        "primary_changed",
        "promotion_ordered",
        "promotion_without_effect",
        "replacing_primary",
        "server_gone",
        "server_listed",
        "server_reported",
        "store_lost",
        "store_regained",
        "successor_chosen",
    }
)
# Context events that concern one client account.
ACCOUNT_EVENTS = frozenset({"account_counting", "account_unreadable"})


@attrs.frozen
class Chain:
    """The log lines of a request and the events that explain them.

    Attributes:
      request: The request id.
      request_lines: The lines that name the request, by time.
      context_lines: Relevant state changes that processes logged in the last
        LOOK_BACK_SECONDS before the request ended, by time.
    """

    request: str
    request_lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]

    def in_order(self) -> list[LogLine]:
        """Return all lines sorted by time."""
        return sorted(
            [*self.request_lines, *self.context_lines], key=lambda line: line.at
        )


def find_chain(lines: Iterable[LogLine], request: str) -> Chain:
    """Return the log lines that concern a request.

    A change of primary is logged by the process that made it, which may not
    have handled the request. Failover events of the request's group are
    therefore taken from every process.

    Args:
      lines: The lines of all logs.
      request: The request id.
    """
    all_lines = list(lines)
    request_lines = [
        line for line in all_lines if line.fields.get("request") == request
    ]
    request_lines.sort(key=lambda line: line.at)
    if not request_lines:
        return Chain(request, (), ())
    last = request_lines[-1]
    accounts = {line.text("account") for line in request_lines} - {""}
    vms = {line.vm for line in request_lines}
    groups = {line.text("group") for line in request_lines} - {""}
    servers = {line.text("server") for line in request_lines} - {""}
    groups |= {
        line.text("group")
        for line in all_lines
        if line.text("server") in servers and line.text("group")
    }
    context_lines = [
        line
        for line in all_lines
        if line.event in CONTEXT_EVENTS
        and last.at - LOOK_BACK_SECONDS <= line.at <= last.at
        and is_relevant(line, vms, groups, accounts)
    ]
    context_lines.sort(key=lambda line: line.at)
    return Chain(request, tuple(request_lines), tuple(context_lines))


def is_relevant(
    line: LogLine, vms: set[str], groups: set[str], accounts: set[str]
) -> bool:
    """Return whether a context event concerns a request.

    Args:
      line: The log line of the event.
      vms: The VMs whose processes handled the request.
      groups: The database groups of the request.
      accounts: The client accounts of the request.
    """
    if line.event in ACCOUNT_EVENTS:
        # Another VM may count the account.
        return line.text("account") in accounts
    group = line.text("group")
    if not group:
        return line.vm in vms
    if groups and group not in groups:
        return False
    return line.vm in vms or line.event in (
        "replacing_primary",
        "promotion_ordered",
        "no_successor",
    )
