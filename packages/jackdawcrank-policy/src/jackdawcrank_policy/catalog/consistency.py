"""Consistency levels of reads."""

import enum


class Consistency(enum.Enum):
    """The consistency level that reads of a database guarantee."""

    PRIMARY = "primary"
    """A read sees every commit acknowledged before it."""
    BOUNDED_AGE = "bounded_age"
    """A read sees every commit older than the database's maximum age."""
    OWN_WRITES = "own_writes"
    """As bounded age, and a read also sees the session's own commits."""
