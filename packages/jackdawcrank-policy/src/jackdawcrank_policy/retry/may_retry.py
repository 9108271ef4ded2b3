"""Whether a statement may be sent a second time."""

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


# Reasons that another server or a moment's wait may cure.
TRANSIENT_REASONS = frozenset(
    {
        NotRunReason.NO_PRIMARY,
        NotRunReason.NO_SERVER,
        NotRunReason.STALE_TOKEN,
        NotRunReason.PEER_UNREACHABLE,
        NotRunReason.SHUTTING_DOWN,
    }
)
# Lock wait timeout and deadlock.
TRANSIENT_ERROR_CODES = frozenset({1205, 1213})


@functools.singledispatch
def may_retry(outcome: Outcome, kind: StatementKind, repeatable: bool) -> bool:
    """Return whether a statement outside a transaction may be sent again.

    A statement that certainly did not run may be, whatever it is. One that
    ran or may have run may be only if it is a read. A refusal for overload
    is never retried here: it goes to the caller with the time to come back.

    Args:
      outcome: What became of the attempt.
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
