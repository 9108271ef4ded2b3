"""What a server connection holds of the sessions that used it."""

import attrs

from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement
from jackdawcrank_policy.sessions.session_context import SessionContext
from jackdawcrank_policy.sessions.setup_step import (
    PrepareStatement,
    ResetSession,
    SetupStep,
    SetValue,
)

# A connection drops its names beyond this many, so that a caller with endless
# distinct shapes does not fill the server's memory.
MAX_PREPARED_PER_CONNECTION = 200


@attrs.define
class ConnectionContext:
    """Session values and prepared names of one server connection.

    Names of different sessions collide, so each distinct statement has a name
    of the connection's own, shared by all sessions that prepared it.

    Attributes:
      values: Session values by name, as set on the connection.
      names: The connection's name of each prepared statement.
    """

    values: dict[str, str] = attrs.Factory(dict)
    names: dict[PreparedStatement, str] = attrs.Factory(dict)

    def plan_setup(
        self, session: SessionContext, statement: PreparedStatement | None
    ) -> list[SetupStep]:
        """Return what must run before a statement; remember it as done.

        Args:
          session: Whose statement is to run.
          statement: The prepared statement that it executes, if any.
        """
        steps: list[SetupStep] = []
        stale = self.values.keys() - session.values.keys()
        if stale or len(self.names) >= MAX_PREPARED_PER_CONNECTION:
            steps.append(ResetSession())
            self.values.clear()
            self.names.clear()
        for name, value in session.values.items():
            if self.values.get(name) != value:
                steps.append(SetValue(name, value))
                self.values[name] = value
        if statement is not None and statement not in self.names:
            self.names[statement] = f"j{len(self.names)}"
            steps.append(PrepareStatement(self.names[statement], statement))
        return steps

    def count_differences(self, session: SessionContext) -> int:
        """Return how many values differ from a session's.

        Args:
          session: The session that looks for a connection.
        """
        if self.values == session.values:
            return 0
        return len(self.values.items() ^ session.values.items())
