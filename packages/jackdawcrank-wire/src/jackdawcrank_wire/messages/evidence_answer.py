"""What a peer has seen of a group's primary."""

import attrs


@attrs.frozen
class EvidenceAnswer:
    """Answers an `AskEvidence`.

    Attributes:
      request_number: The number of the request that it answers.
      group: The database group.
      primary: The primary's server name as the peer knows it.
      term: The newest term that the peer knows.
      last_ok_age_seconds: How long ago the primary last answered the peer;
        None if it never did.
      suspects: Whether the peer takes the primary for unreachable.
      health: How the primary looks to the peer, in the words of coordination.
      coordinating: Whether the peer drives a promotion of the group.
    """

    request_number: int
    group: str
    primary: str = ""
    term: int = 0
    last_ok_age_seconds: float | None = None
    suspects: bool = False
    health: str = ""
    coordinating: bool = False
