"""Quorum sizes for confirming writes and for fencing backend servers."""

import attrs


@attrs.frozen
class Quorum:
    """Sizes of the confirming and the fenced server sets of a group.

    Both sets are a majority of the group's servers, so every fenced set shares
    a server with every confirming set. Therefore the choice of the next
    primary takes every write into account that was confirmed before the term
    closed, and no write of that term can be confirmed afterwards. This also
    holds between two VMs if one of them does not know yet that a single server
    was added or removed.

    Attributes:
      server_count: The number of backend servers of the group.
    """

    server_count: int

    @property
    def confirm_count(self) -> int:
        """Return how many servers, including the primary, confirm a write."""
        return self.server_count // 2 + 1

    @property
    def fence_count(self) -> int:
        """Return how many servers have to be fenced before a term opens."""
        return self.server_count // 2 + 1

    @property
    def replica_count(self) -> int:
        """Return how many replicas confirm a write besides the primary."""
        return self.confirm_count - 1
