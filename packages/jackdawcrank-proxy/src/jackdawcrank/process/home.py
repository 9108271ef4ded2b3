"""A database group that this VM is a home of."""

import attrs

from jackdawcrank.execution.home_group import HomeGroup
from jackdawcrank.groups import GroupAgent


@attrs.define(eq=False)
class Home:
    """The statement execution and coordination of a group on this VM.

    Attributes:
      group: Executes statements.
      agent: Monitors the servers and runs promotions.
      retiring: Whether this VM is no longer a home of the group; the home
        closes once it is idle.
    """

    group: HomeGroup
    agent: GroupAgent
    retiring: bool = False

    @property
    def idle(self) -> bool:
        """Return whether no statement runs and no transaction is open."""
        return not self.group.in_flight and not self.group.transactions.open
