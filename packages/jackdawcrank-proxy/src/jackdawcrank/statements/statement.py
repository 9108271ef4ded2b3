"""A caller's statement after the cheap look at its text."""

import attrs

from jackdawcrank.statements.front_kind import FrontKind


@attrs.frozen
class Statement:
    """A classified statement.

    Attributes:
      kind: What the front does with it.
      stateful: Whether it may leave session state on the connection.
      argument: The request id of SHOW REQUEST or the database of USE.
    """

    kind: FrontKind
    stateful: bool = False
    argument: str = ""
