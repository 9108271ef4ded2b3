"""The steps that prepare a server connection for a session."""

import attrs

from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement


@attrs.frozen
class ResetSession:
    """Drops all session values and prepared statements of the connection."""


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
      name: The statement's name on this connection.
      statement: The statement to prepare.
    """

    name: str
    statement: PreparedStatement


SetupStep = ResetSession | SetValue | PrepareStatement


@attrs.frozen
class SetupPlan:
    """The steps before a statement.

    Attributes:
      steps: The steps, in order.
      prepared_name: The connection's name of the statement to execute; empty
        if it is not a prepared one.
    """

    steps: tuple[SetupStep, ...]
    prepared_name: str
