"""Statements that were refused, in doubt, rolled back or late."""

from collections.abc import Iterable, Iterator

import attrs

from jackdawcrank_cli.explain.log_lines import LogLine

# Events that end a statement or a transaction without success.
LOSS_EVENTS = frozenset(
    {
        "commit_in_doubt",
        "idle_transaction_ended",
        "statement",
        "transaction_lost",
        "transaction_refused",
    }
)
OUTCOME_BY_EVENT = {
    "commit_in_doubt": "in_doubt",
    "idle_transaction_ended": "rolled_back",
    "transaction_lost": "rolled_back",
    "transaction_refused": "busy",
}
LATE = "late"


@attrs.frozen
class Loss:
    """A statement or transaction that its caller did not get in time.

    Attributes:
      second: When it was logged, in whole Unix seconds.
      outcome: `late` if it was answered late, else the outcome in the log.
      reason: Why its last attempt failed; empty if it is not known.
      database: The caller's database; empty if the line does not name it.
      server: The server of its last attempt; empty if there was none.
      milliseconds: How long it took; None if the line does not tell.
    """

    second: int
    outcome: str
    reason: str
    database: str
    server: str
    milliseconds: float | None


def find_losses(
    lines: Iterable[LogLine], late_milliseconds: float
) -> Iterator[Loss]:
    """Yield the losses among log lines.

    Args:
      lines: The lines of all logs.
      late_milliseconds: A statement that took longer counts as late.
    """
    for line in lines:
        if line.event not in LOSS_EVENTS:
            continue
        taken = line.fields.get("ms")
        milliseconds = float(taken) if isinstance(taken, int | float) else None
        outcome = OUTCOME_BY_EVENT.get(line.event) or line.text("outcome")
        if outcome == "done":
            if milliseconds is None or milliseconds <= late_milliseconds:
                continue
            outcome = LATE
        yield Loss(
            int(line.at),
            outcome,
            line.text("reason")
            or ("silent" if line.fields.get("silent") else ""),
            line.text("database"),
            line.text("server"),
            milliseconds,
        )
