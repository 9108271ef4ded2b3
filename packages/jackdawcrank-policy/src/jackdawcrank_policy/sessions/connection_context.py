"""The session state that is set on a server connection."""

import attrs

from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement
from jackdawcrank_policy.sessions.session_context import SessionContext
from jackdawcrank_policy.sessions.setup_step import (
    PrepareStatement,
    ResetSession,
    SetupPlan,
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
      failed: Whether a step was refused or not answered, so that what the
        server holds is not known and the connection must be closed.
    """

    values: dict[str, str] = attrs.Factory(dict)
    names: dict[PreparedStatement, str] = attrs.Factory(dict)
    failed: bool = False

    def plan_setup(
        self, session: SessionContext, statement: PreparedStatement | None
    ) -> SetupPlan:
        """Return the setup steps for a statement.

        The context does not change until the steps are recorded.

        Args:
          session: The session whose statement is to run.
          statement: The prepared statement to execute, if any.
        """
        steps: list[SetupStep] = []
        values, names = self.values, self.names
        stale = values.keys() - session.values.keys()
        if stale or len(names) >= MAX_PREPARED_PER_CONNECTION:
            steps.append(ResetSession())
            values, names = {}, {}
        for name, value in session.values.items():
            if values.get(name) != value:
                steps.append(SetValue(name, value))
        if statement is None:
            return SetupPlan(tuple(steps), "")
        name = names.get(statement, f"j{len(names)}")
        if statement not in names:
            steps.append(PrepareStatement(name, statement))
        return SetupPlan(tuple(steps), name)

    def record(self, step: SetupStep) -> None:
        """Record that the server has carried out a step.

        Args:
          step: The step.
        """
        if isinstance(step, ResetSession):
            self.values.clear()
            self.names.clear()
        elif isinstance(step, SetValue):
            self.values[step.name] = step.value
        else:
            self.names[step.statement] = step.name

    def count_differences(self, session: SessionContext) -> int:
        """Return the number of name-value pairs set on only one side.

        A name with different values on the two sides counts twice.

        Args:
          session: The session that needs a connection.
        """
        if self.values == session.values:
            return 0
        return len(self.values.items() ^ session.values.items())
