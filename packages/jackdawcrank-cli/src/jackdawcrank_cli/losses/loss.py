"""Statements that were refused, in doubt, rolled back or late."""

from collections.abc import Iterable

import attrs

from jackdawcrank_cli.explain.log_lines import LogLine

# The outcome of events that do not tell it themselves.
OUTCOME_BY_EVENT = {
    "account_limited": "busy",
    "commit_in_doubt": "in_doubt",
    "idle_transaction_ended": "rolled_back",
    "statement_error": "in_doubt",
    "transaction_lost": "rolled_back",
    "transaction_refused": "busy",
}
# Events that end a statement or a transaction without success, or late.
LOSS_EVENTS = frozenset(
    {
        *OUTCOME_BY_EVENT,
        "home_lost",
        "key_refused",
        "statement",
        "transaction_ended",
        "transaction_statement",
    }
)
# Of a request that several VMs handled, another one may have logged the loss.
SECOND_EVENTS = frozenset({"home_lost", "statement_error"})
REASON_BY_EVENT = {
    "account_limited": "over the account's limit",
    "home_lost": "the home did not answer",
    "idle_transaction_ended": "idle in a transaction",
    "statement_error": "error of the program",
}
LATE = "late"
REFUSED_OUTCOMES = frozenset({"busy", "unknown_key", "unknown_database"})


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
      account: The caller's client account; empty if it has none, or if the
        line does not name it.
    """

    second: int
    outcome: str
    reason: str
    database: str
    server: str
    milliseconds: float | None
    account: str = ""

    @property
    def kind(self) -> str:
        """What it was to the caller: refused, failed, in doubt or slow."""
        if self.outcome == LATE:
            return "slow"
        if self.outcome == "in_doubt":
            return "in doubt"
        return "refused" if self.outcome in REFUSED_OUTCOMES else "failed"


def find_losses(
    lines: Iterable[LogLine], late_milliseconds: float
) -> list[Loss]:
    """Return the losses among log lines.

    Of a request that two VMs logged, the loss is counted once.

    Args:
      lines: The lines of all logs.
      late_milliseconds: A statement that took longer counts as late.
    """
    all_lines = [line for line in lines if line.event in LOSS_EVENTS]
    first = [line for line in all_lines if line.event not in SECOND_EVENTS]
    found = [read_loss(line, late_milliseconds) for line in first]
    requests = {
        line.text("request")
        for line, loss in zip(first, found, strict=True)
        if loss is not None
    } - {""}
    for line in all_lines:
        if line.event in SECOND_EVENTS and line.text("request") not in requests:
            found.append(read_loss(line, late_milliseconds))
    return [one for one in found if one is not None]


def read_loss(line: LogLine, late_milliseconds: float) -> Loss | None:
    """Return the loss that a line tells of; None if it tells of none.

    Args:
      line: A line of one of `LOSS_EVENTS`.
      late_milliseconds: A statement that took longer counts as late.
    """
    taken = line.fields.get("ms")
    milliseconds = float(taken) if isinstance(taken, int | float) else None
    outcome = outcome_of(line)
    if outcome == "done":
        if milliseconds is None or milliseconds <= late_milliseconds:
            return None
        outcome = LATE
    return Loss(
        int(line.at),
        outcome,
        reason_of(line),
        line.text("database"),
        line.text("server"),
        milliseconds,
        line.text("account"),
    )


def outcome_of(line: LogLine) -> str:
    """Return the problem that a caller was told; `done` if there was none."""
    if line.event == "key_refused":
        return "busy" if line.text("reason") == "unproven" else "unknown_key"
    return OUTCOME_BY_EVENT.get(line.event) or line.text("outcome")


def reason_of(line: LogLine) -> str:
    """Return why a caller got no answer in time; empty if it is not known."""
    if line.event == "key_refused":
        return f"key {line.text('reason')}"
    return (
        line.text("reason")
        or REASON_BY_EVENT.get(line.event, "")
        or ("silent" if line.fields.get("silent") else "")
    )
