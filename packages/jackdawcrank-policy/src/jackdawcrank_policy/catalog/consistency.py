"""How fresh the reads of a database must be."""

import enum


class Consistency(enum.Enum):
    """The promise that reads of a database keep."""

    PRIMARY = "primary"
    """A read sees every commit acknowledged before it."""
    BOUNDED_AGE = "bounded_age"
    """A read sees every commit older than the database's greatest age."""
    OWN_WRITES = "own_writes"
    """As bounded age, and it sees the session's own commits."""
