"""The durable record of a database group's leadership."""

import enum

import attrs

from jackdawcrank_policy.values.branch import Branch


class GroupPhase(enum.StrEnum):
    """Whether a group's term is open for writes."""

    PREPARING = "preparing"
    ACTIVE = "active"


@attrs.frozen
class GroupRow:
    """A database group's row in the platform's table service.

    Attributes:
      group: The group's name.
      term: The newest claimed term.
      phase: Whether the term is being prepared or is open.
      primary: The server name of the primary. While a new term is being
        prepared, the primary of the last open term; empty before the first.
      coordinator: The VM that claimed the term or took over the group.
      writers: The VMs whose proxies may hold the term lease.
      branch: The opened terms and the start of each.
    """

    group: str
    term: int
    phase: GroupPhase
    primary: str
    coordinator: str
    writers: tuple[str, ...] = ()
    branch: Branch = Branch()
