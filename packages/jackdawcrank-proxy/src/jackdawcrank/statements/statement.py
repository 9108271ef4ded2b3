"""The classification of a caller's statement."""

import attrs

from jackdawcrank.statements.front_kind import FrontKind


@attrs.frozen
class Statement:
    """A classified statement.

    Attributes:
      kind: The category of the statement.
      stateful: Whether the statement may leave session state on the backend
        connection.
      argument: The request id of SHOW REQUEST or the database of USE.
    """

    kind: FrontKind
    stateful: bool = False
    argument: str = ""
