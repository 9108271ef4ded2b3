"""How many backend servers confirm a write and how many are fenced."""

import attrs


@attrs.frozen
class Quorum:
    """The sizes of the confirming and the fenced sets of a group.

    Both are a majority of the group's servers, so a fenced set always shares
    a server with every confirming set: a write that was confirmed before a
    term closed is seen by the choice of the next primary, and none can be
    confirmed afterwards. The same holds between two VMs of which one does not
    know yet that a single server was added or removed.

    Attributes:
      server_count: The backend servers of the group.
    """

    server_count: int

    @property
    def confirm_count(self) -> int:
        """Return how many servers, the primary included, confirm a write."""
        return self.server_count // 2 + 1

    @property
    def fence_count(self) -> int:
        """Return how many servers are fenced before a term opens."""
        return self.server_count // 2 + 1

    @property
    def replica_count(self) -> int:
        """Return how many replicas confirm a write beside the primary."""
        return self.confirm_count - 1
