"""Inputs of a promotion."""

import enum

import attrs

from jackdawcrank_policy.acknowledgement import Quorum
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.values import Branch, GroupPhase, GroupRow


class PromotionCause(enum.StrEnum):
    """Reasons for claiming a term.

    Attributes:
      BOOTSTRAP: The group has no primary yet.
      FAILURE: The primary is considered failed.
      TAKEOVER: Another coordinator claimed a term and did not open it.
      SWITCH_OVER: An operator or a drain moves the role of primary away from
        a healthy server.
      FORCED: An operator asserts that the unreachable servers are stopped.
    """

    BOOTSTRAP = "bootstrap"
    FAILURE = "failure"
    TAKEOVER = "takeover"
    SWITCH_OVER = "switch_over"
    FORCED = "forced"


@attrs.frozen
class PromotionPlan:
    """Inputs that determine the course of a promotion.

    Attributes:
      group: The group's name.
      vm: The VM that coordinates the promotion.
      cause: The reason for claiming the term.
      expected: The group's row, or None for a group without one.
      servers: The group's backend servers.
      writers: The writers of the new term, by quota.
      target: The server that a switch-over moves to.
      avoid: Servers that rank last among equally advanced ones.
      highest_term: The highest fence term that a server has reported.
      leases_expire_at: The time, in seconds, at which all leases of earlier
        terms have expired, if it is known from an earlier claim; else None.
      removed_writers_expire_at: The time, in seconds, at which the leases of
        removed writers have expired. From then on, the leases of earlier
        terms are closed once every remaining writer has given up its own.
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
    leases_expire_at: float | None = None
    removed_writers_expire_at: float = 0.0

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
        """Return the term of the expected row; 0 without a row."""
        return self.expected.term if self.expected else 0

    @property
    def branch(self) -> Branch:
        """Return the branch of the last open term."""
        return self.expected.branch if self.expected else Branch()

    def claimed_row(self) -> GroupRow:
        """Return the row that claims the next term.

        It keeps the writers of the earlier term: a coordinator that takes
        the promotion over has to close their leases.
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
