"""Errors that the proxy itself gives, with standard codes."""

import functools

from jackdawcrank_policy.values import (
    Done,
    Failed,
    NotRun,
    NotRunReason,
    Unknown,
)
from jackdawcrank_wire.messages import ResultError, StatementOutcome

GENERAL_SQLSTATE = "HY000"
UNKNOWN_OUTCOME_SQLSTATE = "08007"
GENERAL_CODE = 1105
ROLLED_BACK_CODE = 1213
ROLLED_BACK_SQLSTATE = "40001"

# The MySQL code and SQLSTATE of each refusal.
_REFUSALS: dict[NotRunReason, tuple[int, str]] = {
    NotRunReason.BAD_OPTION: (1210, GENERAL_SQLSTATE),
    NotRunReason.UNKNOWN_GROUP: (1049, "42000"),
    NotRunReason.OVERLOADED: (1040, "08004"),
    NotRunReason.LIMITED: (1226, "42000"),
    NotRunReason.DEADLINE: (3024, GENERAL_SQLSTATE),
    NotRunReason.NO_PRIMARY: (1290, GENERAL_SQLSTATE),
    NotRunReason.NO_SERVER: (1290, GENERAL_SQLSTATE),
    NotRunReason.STALE_TOKEN: (GENERAL_CODE, GENERAL_SQLSTATE),
    NotRunReason.WRITE_LOST: (GENERAL_CODE, GENERAL_SQLSTATE),
    NotRunReason.TOO_LARGE: (1153, "08S01"),
    NotRunReason.SHUTTING_DOWN: (1053, "08S01"),
    NotRunReason.PEER_UNREACHABLE: (GENERAL_CODE, GENERAL_SQLSTATE),
    NotRunReason.NOT_SUPPORTED: (1235, "42000"),
}


@functools.singledispatch
def result_error(outcome: object) -> ResultError:
    """Return an outcome other than success as an error result.

    Args:
      outcome: A `NotRun`, `Failed` or `Unknown`.
    """
    raise TypeError(f"not a failure: {outcome!r}")


@result_error.register
def _(outcome: NotRun) -> ResultError:
    code, sqlstate = _REFUSALS[outcome.reason]
    return ResultError(
        outcome=StatementOutcome.NOT_RUN,
        reason=outcome.reason.value,
        code=code,
        sqlstate=sqlstate,
        message=outcome.detail,
        retry_after_ms=outcome.retry_after_ms,
    )


@result_error.register
def _(outcome: Failed) -> ResultError:
    return ResultError(
        outcome=StatementOutcome.FAILED,
        reason="server_error",
        code=outcome.code,
        sqlstate=outcome.sqlstate,
        message=outcome.message,
    )


@result_error.register
def _(outcome: Unknown) -> ResultError:
    return ResultError(
        outcome=StatementOutcome.UNKNOWN,
        reason="in_doubt",
        code=GENERAL_CODE,
        sqlstate=UNKNOWN_OUTCOME_SQLSTATE,
        message=outcome.detail,
    )


@result_error.register
def _(outcome: Done) -> ResultError:
    raise TypeError("a success is not an error")


def not_run(
    reason: str,
    message: str,
    code: int = GENERAL_CODE,
    sqlstate: str = GENERAL_SQLSTATE,
) -> ResultError:
    """Return a refusal.

    Args:
      reason: A short machine-readable reason.
      message: A sentence for people.
      code: The MySQL error code.
      sqlstate: The SQLSTATE.
    """
    return ResultError(
        StatementOutcome.NOT_RUN, reason, code, sqlstate, message
    )


def not_supported(feature: str) -> ResultError:
    """Return the refusal of something that the proxy does not offer.

    Args:
      feature: The statement or command.
    """
    detail = f"{feature} is not supported"
    return result_error(NotRun(NotRunReason.NOT_SUPPORTED, detail))


def shutting_down() -> ResultError:
    """Return the refusal of a proxy that is leaving."""
    detail = "this proxy is leaving; connect again"
    return result_error(NotRun(NotRunReason.SHUTTING_DOWN, detail, 0))


def rolled_back_error(detail: str) -> ResultError:
    """Return the error of a transaction that was rolled back.

    Args:
      detail: A sentence for people.
    """
    message = f"the transaction was rolled back: {detail}"
    return result_error(Failed(ROLLED_BACK_CODE, ROLLED_BACK_SQLSTATE, message))
