"""Turns a backend server's answer into a result."""

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
    """Return the result that an answer stands for.

    Args:
      answer: The backend server's answer.
      server: The server's name.
      term: The term under which the server was chosen.
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
            return result_error(failed(answer))
        case LostAnswer():
            return result_error(Unknown(answer.detail))


def failed(answer: ErrorAnswer) -> Failed:
    """Return the failure that a backend server reported.

    Args:
      answer: The server's error.
    """
    return Failed(answer.code, answer.sqlstate, answer.message)
