"""The failure of a request to a peer that got no answer."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerUnreachable:
    """Reports that a request got no answer.

    Attributes:
      vm: The VM that the request was for.
      sent: Whether the request may have reached a handler. False only if none
        of it was written to a connection, or if the peer reported that it
        was not passed to a handler.
      detail: What went wrong.
    """

    vm: str
    sent: bool
    detail: str = ""
