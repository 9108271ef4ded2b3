"""The sequence of terms in a database group's replication log."""

import attrs

from jackdawcrank_policy.values.position import Position
from jackdawcrank_policy.values.term_start import TermStart


@attrs.frozen
class Branch:
    """The recent terms of a log, oldest first.

    Attributes:
      starts: The start of each recent term; terms and offsets never decrease.
    """

    starts: tuple[TermStart, ...] = ()

    @property
    def term(self) -> int:
        """Return the newest term of the branch; 0 for an empty branch."""
        return self.starts[-1].term if self.starts else 0

    def contains(self, position: Position) -> bool:
        """Return whether the log entry at a position is on the branch.

        A position whose term precedes the oldest recorded term is checked
        against the recorded starts only. A position of a skipped term is not
        on the branch.

        Args:
          position: The position of the log entry.
        """
        if position.offset == 0:
            return True
        if not self.starts or position.term > self.term:
            return False
        oldest = self.starts[0].term
        if position.term >= oldest and not self.has_term(position.term):
            return False
        later = [s.offset for s in self.starts if s.term > position.term]
        return all(position.offset <= offset for offset in later)

    def has_term(self, term: int) -> bool:
        """Return whether a term is one of the recorded terms of the branch.

        Args:
          term: The term number.
        """
        return any(start.term == term for start in self.starts)

    def extended(self, start: TermStart, limit: int = 64) -> "Branch":
        """Return the branch with a new term, keeping the newest `limit` terms.

        Args:
          start: The start of a term above every term of the branch.
          limit: The maximum number of term starts to keep.

        Raises:
          ValueError: The term is not above the newest term of the branch.
        """
        if start.term <= self.term:
            raise ValueError(f"term {start.term} is not above {self.term}")
        return Branch((*self.starts, start)[-limit:])
