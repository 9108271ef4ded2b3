"""Converts responses of backend servers to statement results."""

from jackdawcrank.backend.answer import (
    ErrorAnswer,
    LostAnswer,
    OkAnswer,
    RowsAnswer,
    ServerAnswer,
)
from jackdawcrank.results.errors import result_error
from jackdawcrank_policy.values import Failed, Unknown
from jackdawcrank_wire.messages import (
    ResultOk,
    ResultRows,
    StatementResult,
)


def result_from_answer(
    answer: ServerAnswer, server: str, term: int
) -> StatementResult:
    """Return the statement result for a backend server's response.

    Args:
      answer: The response of the backend server.
      server: The name of the backend server.
      term: The term in which the server was selected.
    """
    match answer:
        case RowsAnswer():
            return ResultRows(
                answer.columns, answer.rows, server=server, term=term
            )
        case OkAnswer():
            return ResultOk(
                affected_rows=answer.affected_rows,
                last_insert_id=answer.last_insert_id,
                position=answer.position,
                warnings=answer.warnings,
                server=server,
            )
        case ErrorAnswer():
            return result_error(failure_from_answer(answer))
        case LostAnswer():
            return result_error(Unknown(answer.detail))


def failure_from_answer(answer: ErrorAnswer) -> Failed:
    """Return the failure reported by a backend server.

    Args:
      answer: The error response of the server.
    """
    return Failed(answer.code, answer.sqlstate, answer.message)
