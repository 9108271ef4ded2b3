"""The state that a caller has set up in its session."""

import attrs

from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement


@attrs.define
class SessionContext:
    """Session values and prepared statements acknowledged to the caller.

    Attributes:
      values: Session values by name.
      statements: Prepared statements by the names that the caller chose.
    """

    values: dict[str, str] = attrs.Factory(dict)
    statements: dict[str, PreparedStatement] = attrs.Factory(dict)
