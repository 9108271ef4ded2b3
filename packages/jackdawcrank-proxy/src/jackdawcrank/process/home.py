"""One database group that this VM is a home of, with its coordination."""

import attrs

from jackdawcrank.execution.home_group import HomeGroup
from jackdawcrank.groups import GroupAgent


@attrs.define(eq=False)
class Home:
    """A group's statements and its coordination on this VM.

    Attributes:
      group: Serves statements.
      agent: Watches the servers and moves the primary.
      retiring: Whether this VM is no home of the group any more.
    """

    group: HomeGroup
    agent: GroupAgent
    retiring: bool = False

    @property
    def idle(self) -> bool:
        """Return whether nothing is in flight."""
        return not self.group.in_flight and not self.group.transactions.open
