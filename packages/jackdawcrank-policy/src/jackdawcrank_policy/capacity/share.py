"""Validity of a home's share of a server's permits.

Load: bursts during which the capacity holder fails or is out of reach. A share
must end at the home without a message.
"""

import attrs

# Time from the request until a grant ends, on the requester's clock. Exceeds
# the time after which another holder is asked (0.3 s) and its answer.
GRANT_SECONDS = 1.0
# The home's own window begins at this many statements per slot of the server,
# divided by the homes.
OWN_PER_SLOT = 2.0


@attrs.frozen
class Share:
    """A granted share.

    Attributes:
      asked_at: When the report was sent that the grant answers, in seconds.
      places: The permits.
    """

    asked_at: float
    places: int

    def is_valid(self, now: float) -> bool:
        """Return whether the grant is in force.

        Args:
          now: The current time in seconds.
        """
        return now - self.asked_at < GRANT_SECONDS

    def own_window(self, slots: int, homes: int) -> float:
        """Return the size of the home's own window after the grant.

        Args:
          slots: The server's slots.
          homes: The number of homes of the group.
        """
        return max(1.0, min(self.places, OWN_PER_SLOT * slots / homes))
