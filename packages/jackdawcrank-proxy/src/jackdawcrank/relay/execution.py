"""A statement of a caller, ready to be sent."""

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
    """A read or write and how it is named.

    Attributes:
      request_id: The caller's id of the statement.
      writes: Whether it changes data.
      text: The caller's text, or the arguments of a prepared statement.
      prepared: The prepared statement that it executes, or None.
    """

    request_id: str
    writes: bool
    text: str
    prepared: PreparedStatement | None = None


def setup_commands(
    link: ServerConnection, memory: SessionContext, execution: Execution | None
) -> list[Command]:
    """Return what makes a link fit a session, and note it as done.

    Args:
      link: The link that the commands will be sent on.
      memory: What the session has set up.
      execution: What is to run next, if anything.
    """
    prepared = execution.prepared if execution else None
    return [*link.memory.plan_setup(memory, prepared)]


def forward_command(
    link: ServerConnection, execution: Execution, needed: Position | None = None
) -> Command:
    """Return the command that carries a caller's statement.

    Args:
      link: The link, set up for the session.
      execution: The statement.
      needed: The position that the server must have, or None.
    """
    if execution.prepared is None:
        return ForwardStatement(execution.request_id, execution.text, needed)
    name = link.memory.names[execution.prepared]
    return ForwardPrepared(execution.request_id, name, execution.text, needed)
