"""A request to a peer that got no answer."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerUnreachable:
    """Says that a request got no answer.

    Attributes:
      vm: The VM that was asked.
      sent: Whether the request may have reached a handler. False only if no
        byte of it was handed to a connection or the peer said that no
        handler saw it.
      detail: What went wrong.
    """

    vm: str
    sent: bool
    detail: str = ""
