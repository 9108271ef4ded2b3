"""The session state that is set on a server connection."""

import attrs

from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement
from jackdawcrank_policy.sessions.session_context import SessionContext
from jackdawcrank_policy.sessions.setup_step import (
    PrepareStatement,
    ResetSession,
    SetupStep,
    SetValue,
)

# A connection with this many prepared statements is reset before its next
# statement. Otherwise a caller with an unbounded number of distinct statements
# would fill the server's memory.
MAX_PREPARED_PER_CONNECTION = 200


@attrs.define
class ConnectionContext:
    """Session values and prepared statements set on a server connection.

    Different sessions may use the same name for different statements. The
    connection therefore assigns its own name to each distinct statement, which
    is shared by all sessions that prepared it.

    Attributes:
      values: Session values by name, as set on the connection.
      names: The connection's name of each prepared statement.
    """

    values: dict[str, str] = attrs.Factory(dict)
    names: dict[PreparedStatement, str] = attrs.Factory(dict)

    def plan_setup(
        self, session: SessionContext, statement: PreparedStatement | None
    ) -> list[SetupStep]:
        """Return the setup steps for a statement and record them as applied.

        Args:
          session: The session whose statement is to run.
          statement: The prepared statement to execute, if any.
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
        """Return the number of name-value pairs set on only one side.

        A name with different values on the two sides counts twice.

        Args:
          session: The session that needs a connection.
        """
        if self.values == session.values:
            return 0
        return len(self.values.items() ^ session.values.items())
