"""The steps that make a connection fit a session."""

import attrs

from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement


@attrs.frozen
class ResetSession:
    """Drops all session values and prepared names of the connection."""


@attrs.frozen
class SetValue:
    """Sets a session value.

    Attributes:
      name: The value's name.
      value: The value.
    """

    name: str
    value: str


@attrs.frozen
class PrepareStatement:
    """Prepares a statement.

    Attributes:
      name: The name on this connection.
      statement: What it stands for.
    """

    name: str
    statement: PreparedStatement


SetupStep = ResetSession | SetValue | PrepareStatement
