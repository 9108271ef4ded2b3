"""The durable record of who leads a database group."""

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
      term: The newest term that was claimed.
      phase: Whether the term is being prepared or is open.
      primary: The primary's server name; that of the last open term while a
        new one is being prepared; empty before the first.
      coordinator: The VM that claimed the term or has taken the group over.
      writers: The VMs whose proxies may hold the term lease.
      branch: The terms that were opened and where each began.
    """

    group: str
    term: int
    phase: GroupPhase
    primary: str
    coordinator: str
    writers: tuple[str, ...] = ()
    branch: Branch = Branch()
