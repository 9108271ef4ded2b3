"""What a promotion starts from."""

import enum

import attrs

from jackdawcrank_policy.acknowledgement import Quorum
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.values import Branch, GroupPhase, GroupRow


class PromotionCause(enum.StrEnum):
    """Why a term is claimed.

    Attributes:
      BOOTSTRAP: The group has no primary yet.
      FAILURE: The primary is held to have failed.
      TAKEOVER: Another coordinator left its claimed term unopened.
      SWITCH_OVER: An operator or a drain moves a healthy primary.
      FORCED: An operator vouches that the unreachable servers are stopped.
    """

    BOOTSTRAP = "bootstrap"
    FAILURE = "failure"
    TAKEOVER = "takeover"
    SWITCH_OVER = "switch_over"
    FORCED = "forced"


@attrs.frozen
class PromotionPlan:
    """The facts that a promotion is decided on.

    Attributes:
      group: The group's name.
      vm: The VM that coordinates.
      cause: Why the term is claimed.
      expected: The group's row, or None for a group without one.
      servers: The group's backend servers.
      writers: The writers of the new term, by quota.
      target: The server that a planned switch-over moves to.
      avoid: Servers that are chosen only if they are the most advanced.
      highest_term: The highest fence term that a server has reported.
      leases_out_at: When the leases of earlier terms have run out at the
        latest, where that is known from an earlier claim; else None.
      quick_from: The time from which the writers' promises suffice to close
        the leases, since a writer that was removed has run out by then.
    """

    group: str
    vm: str
    cause: PromotionCause
    expected: GroupRow | None
    servers: tuple[str, ...]
    writers: tuple[str, ...]
    target: str | None = None
    avoid: frozenset[str] = frozenset()
    highest_term: int = 0
    leases_out_at: float | None = None
    quick_from: float = 0.0

    @property
    def quorum(self) -> Quorum:
        """Return the quorum of the group's servers."""
        return Quorum(len(self.servers))

    @property
    def old_writers(self) -> tuple[str, ...]:
        """Return the VMs that may hold leases of earlier terms."""
        return writer_names(self.expected.writers if self.expected else ())

    @property
    def old_term(self) -> int:
        """Return the newest term that was claimed before."""
        return self.expected.term if self.expected else 0

    @property
    def branch(self) -> Branch:
        """Return the branch of the last open term."""
        return self.expected.branch if self.expected else Branch()

    def claimed_row(self) -> GroupRow:
        """Return the row that claims the next term.

        It keeps the earlier writers, whose leases a successor has to close.
        """
        return GroupRow(
            group=self.group,
            term=max(self.old_term, self.highest_term) + 1,
            phase=GroupPhase.PREPARING,
            primary=self.expected.primary if self.expected else "",
            coordinator=self.vm,
            writers=self.expected.writers if self.expected else (),
            branch=self.branch,
        )
