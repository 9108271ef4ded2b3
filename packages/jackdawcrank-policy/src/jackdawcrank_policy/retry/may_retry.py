"""The rule for whether a statement may be retried."""

import enum
import functools

from jackdawcrank_policy.values import (
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)


class StatementKind(enum.StrEnum):
    """Whether a statement can change data."""

    READ = "read"
    WRITE = "write"


# Reasons for which a retry on another server or after a delay may succeed.
TRANSIENT_REASONS = frozenset(
    {
        NotRunReason.NO_PRIMARY,
        NotRunReason.NO_SERVER,
        NotRunReason.STALE_TOKEN,
        NotRunReason.PEER_UNREACHABLE,
        NotRunReason.SHUTTING_DOWN,
    }
)
# ER_LOCK_WAIT_TIMEOUT and ER_LOCK_DEADLOCK.
TRANSIENT_ERROR_CODES = frozenset({1205, 1213})


@functools.singledispatch
def may_retry(outcome: Outcome, kind: StatementKind, repeatable: bool) -> bool:
    """Return whether a statement outside a transaction may be retried.

    A statement that is known not to have run may be retried, whether it is a
    read or a write. A statement that ran or may have run may be retried only
    if it is a repeatable read. A refusal because of overload is never retried
    here; it is returned to the caller with its retry delay.

    Args:
      outcome: The outcome of the attempt.
      kind: Whether the statement can change data.
      repeatable: Whether the caller allows the statement to run twice.
    """
    return False


@may_retry.register
def _(outcome: NotRun, kind: StatementKind, repeatable: bool) -> bool:
    return outcome.reason in TRANSIENT_REASONS


@may_retry.register
def _(outcome: Failed, kind: StatementKind, repeatable: bool) -> bool:
    repeat_allowed = kind is StatementKind.READ and repeatable
    return repeat_allowed and outcome.code in TRANSIENT_ERROR_CODES


@may_retry.register
def _(outcome: Unknown, kind: StatementKind, repeatable: bool) -> bool:
    return kind is StatementKind.READ and repeatable
