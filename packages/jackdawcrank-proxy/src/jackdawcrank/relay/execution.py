"""Callers' statements and the commands that forward them to servers."""

import attrs

from jackdawcrank.seams.commands import (
    Command,
    ForwardPrepared,
    ForwardStatement,
)
from jackdawcrank.seams.server_connection import ServerConnection
from jackdawcrank_policy.sessions import PreparedStatement, SessionContext
from jackdawcrank_policy.values.position import Position


@attrs.frozen
class Execution:
    """A caller's read or write with its request id.

    Attributes:
      request_id: The caller's request id of the statement.
      writes: Whether the statement changes data.
      text: The caller's text, or the arguments of a prepared statement.
      prepared: The prepared statement to execute, or None.
    """

    request_id: str
    writes: bool
    text: str
    prepared: PreparedStatement | None = None


def setup_commands(
    connection: ServerConnection,
    context: SessionContext,
    execution: Execution | None,
) -> list[Command]:
    """Return the commands that set up a connection for a session.

    The connection's context is updated as if the commands had run.

    Args:
      connection: The connection on which the commands will be sent.
      context: The session's settings and prepared statements.
      execution: The next statement, or None.
    """
    prepared = execution.prepared if execution else None
    return [*connection.context.plan_setup(context, prepared)]


def forward_command(
    connection: ServerConnection,
    execution: Execution,
    needed: Position | None = None,
) -> Command:
    """Return the command that forwards a caller's statement.

    Args:
      connection: The connection, already set up for the session.
      execution: The statement.
      needed: The position that the server must have reached, or None.
    """
    if execution.prepared is None:
        return ForwardStatement(execution.request_id, execution.text, needed)
    name = connection.context.names[execution.prepared]
    return ForwardPrepared(execution.request_id, name, execution.text, needed)
