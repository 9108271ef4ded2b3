"""Callers' statements and the commands that forward them to servers."""

import asyncio
import functools
from collections.abc import Sequence

import attrs

from jackdawcrank.seams.commands import (
    BeginTransaction,
    Command,
    ForwardPrepared,
    ForwardStatement,
)
from jackdawcrank.seams.replies import Reply
from jackdawcrank.seams.server_connection import ServerConnection
from jackdawcrank_policy.sessions import (
    PreparedStatement,
    SessionContext,
    SetupStep,
)
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


def statement_commands(
    connection: ServerConnection,
    context: SessionContext,
    execution: Execution | None,
    needed: Position | None = None,
    opening: BeginTransaction | None = None,
) -> list[Command]:
    """Return the commands that set up a connection and forward a statement.

    Args:
      connection: The connection on which the commands will be sent.
      context: The session's settings and prepared statements.
      execution: The next statement; None to set up the connection only.
      needed: The position that the server must have reached, or None.
      opening: Opens a transaction before the statement, or None.
    """
    prepared = execution.prepared if execution else None
    plan = connection.context.plan_setup(context, prepared)
    commands: list[Command] = [*plan.steps]
    if opening is not None:
        commands.append(opening)
    if execution is None:
        return commands
    if prepared is None:
        commands.append(
            ForwardStatement(execution.request_id, execution.text, needed)
        )
    else:
        commands.append(
            ForwardPrepared(
                execution.request_id,
                plan.prepared_name,
                execution.text,
                needed,
            )
        )
    return commands


def send_commands(
    connection: ServerConnection, commands: Sequence[Command]
) -> list[asyncio.Future[Reply]]:
    """Send commands and record the setup steps that the server confirms.

    Args:
      connection: The connection.
      commands: The commands.

    Returns:
      The futures of the replies, in order.
    """
    futures = connection.send(commands)
    for command, future in zip(commands, futures, strict=True):
        if isinstance(command, SetupStep):
            future.add_done_callback(
                functools.partial(record_step, connection, command)
            )
    return futures


def record_step(
    connection: ServerConnection,
    step: SetupStep,
    future: asyncio.Future[Reply],
) -> None:
    """Record the outcome of a setup step in the connection's context.

    Args:
      connection: The connection.
      step: The step.
      future: The reply to it.
    """
    if (
        future.cancelled()
        or future.exception() is not None
        or future.result().problem is not None
    ):
        connection.context.failed = True
    else:
        connection.context.record(step)
