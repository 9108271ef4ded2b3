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
PASSING_REASONS = frozenset(
    {
        NotRunReason.NO_PRIMARY,
        NotRunReason.NO_SERVER,
        NotRunReason.STALE_TOKEN,
        NotRunReason.PEER_UNREACHABLE,
        NotRunReason.SHUTTING_DOWN,
    }
)
# Lock wait timeout and deadlock.
PASSING_CODES = frozenset({1205, 1213})


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
    return outcome.reason in PASSING_REASONS


@may_retry.register
def _(outcome: Failed, kind: StatementKind, repeatable: bool) -> bool:
    ran_twice_is_fine = kind is StatementKind.READ and repeatable
    return ran_twice_is_fine and outcome.code in PASSING_CODES


@may_retry.register
def _(outcome: Unknown, kind: StatementKind, repeatable: bool) -> bool:
    return kind is StatementKind.READ and repeatable
