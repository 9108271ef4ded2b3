"""Interface of the service that promotes servers to primaries."""

import enum
import typing


class PromotionResult(enum.Enum):
    """Result of a promotion request."""

    DONE = "done"
    REFUSED = "refused"
    """A higher fencing token was used before, or the server is not running."""
    UNAVAILABLE = "unavailable"
    """The service could not act on the request; nothing was changed."""
    UNANSWERED = "unanswered"
    """No answer; the request may have taken effect or may still do so."""


class PromotionService(typing.Protocol):
    """Promotes servers and rejects requests with a lower fencing token."""

    async def promote(
        self, group: str, server_id: str, holder: str, token: int
    ) -> PromotionResult:
        """Promote a server to the primary of the next term.

        Promoting the current primary has no effect except that requests with a
        lower fencing token are rejected from then on.

        Args:
          group: The database group.
          server_id: The server to promote.
          holder: The proxy that holds the claim.
          token: The fencing token, which is the number of the claim.
        """
