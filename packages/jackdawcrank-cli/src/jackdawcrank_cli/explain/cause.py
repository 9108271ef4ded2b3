"""Describes the cause of a request's outcome in one sentence."""

from jackdawcrank_cli.explain.chain import Chain
from jackdawcrank_cli.explain.log_lines import LogLine

BY_REASON = {
    "full": "all connections that the proxy may hold to {server} were in use",
    "busy": "server {server} had no free slot and its queue was full",
    "silent": "server {server} did not answer in time",
    "refused": "server {server} refused connections",
    "connection lost": "the connection to {server} ended before the answer",
    "wrong_server": "another server now listens where {server} was",
    "answer lost": "the answer of {server} was lost on its way",
    "out of time": "too little time was left when {server} was asked",
    "lacks_position": "no replica had the log position {needed}",
    "not_primary": "server {server} no longer led its group",
}


def cause(chain: Chain) -> str:
    """Return a sentence that explains the outcome of a request.

    Args:
      chain: The log lines that concern the request.
    """
    if not chain.request_lines:
        return (
            "No line names this request: its line was dropped under load, the "
            "process died first, or the logs do not cover it."
        )
    last = chain.request_lines[-1]
    outcome = last.text("outcome")
    if outcome == "done":
        return f"It was answered in {last.text('ms')} ms."
    if last.event == "idle_transaction_ended":
        return "Its caller rested in a transaction for too long."
    refusal = account_refusal(chain)
    if refusal is not None:
        return explain_account_refusal(refusal)
    if last.event in ("commit_in_doubt", "transaction_lost"):
        return explain_transaction_failure(chain, last)
    if outcome == "in_doubt":
        return explain_doubtful_write(chain, last)
    return explain_refusal(chain, last)


def account_refusal(chain: Chain) -> LogLine | None:
    """Return the last refusal for the sake of the client account, if any.

    A statement that was sent afterwards has a cause of its own.
    """
    for line in reversed(chain.request_lines):
        if line.event in ("account_limited", "key_refused"):
            return line
        if line.text("server"):
            return None
    return None


def explain_account_refusal(line: LogLine) -> str:
    """Return why an operation was refused for the sake of its account."""
    account = line.text("account") or "-"
    if line.event == "account_limited":
        return (
            "It was refused, and nothing ran: over the account's limit "
            f"({account}: {line.text('rate')} operations/s, burst "
            f"{line.text('burst')}; counted by {line.text('holder') or '-'}; "
            f"room after {line.text('retry_after_ms')} ms)."
        )
    if line.text("reason") == "unproven":
        return (
            "It was refused, and nothing is kept: the age of the keys could "
            f"not be proven ({line.vm}: {line.text('age') or '-'} s)."
        )
    return (
        "It was refused, and nothing is kept: the account's key is unknown or "
        f"withdrawn (account {account}, key {line.text('key')}, "
        f"{line.text('reason')})."
    )


def explain_transaction_failure(chain: Chain, last: LogLine) -> str:
    """Return why a statement in a transaction received no answer."""
    how = (
        f"gave no answer for {last.text('waited')} s"
        if last.fields.get("silent")
        else "ended the connection"
    )
    what = (
        "The commit may stand or not"
        if last.event == "commit_in_doubt"
        else "The transaction was rolled back"
    )
    return (
        f"{what}: server {last.text('server')} {how}{failover_clause(chain)}."
    )


def explain_doubtful_write(chain: Chain, last: LogLine) -> str:
    """Return why the outcome of a write is unknown."""
    return (
        f"The write may stand or not: server {last.text('server')} gave no "
        f"answer ({last.text('reason')}){failover_clause(chain)}."
    )


def explain_refusal(chain: Chain, last: LogLine) -> str:
    """Return why a statement was refused."""
    reason = last.text("reason")
    if reason.startswith("no primary"):
        return explain_missing_primary(chain)
    text = BY_REASON.get(reason, reason or last.text("outcome"))
    text = text.format(
        server=last.text("server") or "of the group",
        needed=last.text("needed"),
    )
    return (
        f"It was refused, and nothing is kept: {text}{failover_clause(chain)}."
    )


def explain_missing_primary(chain: Chain) -> str:
    """Return why no primary was available for a statement."""
    contact = [
        line.event
        for line in chain.context_lines
        if line.event in ("store_lost", "store_regained")
    ]
    if contact and contact[-1] == "store_lost":
        return (
            "It was refused at once: the proxy reached neither a primary nor "
            f"the store{failover_clause(chain)}."
        )
    return (
        "It was refused after its time: the group had no primary"
        f"{failover_clause(chain)}."
    )


def failover_clause(chain: Chain) -> str:
    """Return a clause on the failover before the request ended, if any."""
    for line in reversed(chain.context_lines):
        if line.event == "replacing_primary":
            old = line.text("old") or "of the group"
            return (
                f", while {line.vm} replaced primary {old} "
                f"({line.text('reason')})"
            )
        if line.event == "no_successor":
            return ", and no replica could be promoted without risk"
    return ""
