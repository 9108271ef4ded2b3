"""What a caller's session has set up."""

import attrs

from jackdawcrank_policy.sessions.prepared_statement import PreparedStatement


@attrs.define
class SessionContext:
    """Session values and prepared names, as acknowledged to the caller.

    Attributes:
      values: Session values by name.
      statements: Prepared statements by the caller's name.
    """

    values: dict[str, str] = attrs.Factory(dict)
    statements: dict[str, PreparedStatement] = attrs.Factory(dict)
