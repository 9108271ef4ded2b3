"""A peer's evidence about the primary of a group."""

import attrs


@attrs.frozen
class EvidenceAnswer:
    """The response to an `AskEvidence` message.

    Attributes:
      request_number: The number of the request that this message answers.
      group: The name of the database group.
      primary: The server name of the primary known to the responder.
      term: The newest term known to the responder.
      last_ok_age_seconds: The time in seconds since the primary last answered
        the responder; None if it never did.
      suspects: Whether the responder suspects that the primary is unreachable.
      health: The responder's view of the primary, as a health state of the
        coordination code.
      coordinating: Whether the responder coordinates a promotion of the group.
    """

    request_number: int
    group: str
    primary: str = ""
    term: int = 0
    last_ok_age_seconds: float | None = None
    suspects: bool = False
    health: str = ""
    coordinating: bool = False
