"""The interface of whoever names a group's primary."""

import enum
import typing


class PromotionResult(enum.Enum):
    """What became of an order to promote."""

    DONE = "done"
    REFUSED = "refused"
    """A higher token was used, or the server does not run."""
    UNAVAILABLE = "unavailable"
    """Refused for now; nothing was done."""
    UNANSWERED = "unanswered"
    """It may have been carried out, or may still be."""


class PromotionService(typing.Protocol):
    """Promotes servers; of two orders it refuses the one of a lower token."""

    async def promote(
        self, group: str, server_id: str, holder: str, token: int
    ) -> PromotionResult:
        """Make a server the primary of the next term.

        Naming the present primary changes nothing, but shuts lower tokens
        out.

        Args:
          group: The group.
          server_id: The server to promote.
          holder: The proxy that claimed the right to do so.
          token: The number of its claim.
        """
