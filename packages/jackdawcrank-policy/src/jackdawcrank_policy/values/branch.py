"""The line of terms that a database group's log has followed."""

import attrs

from jackdawcrank_policy.values.position import Position
from jackdawcrank_policy.values.term_start import TermStart


@attrs.frozen
class Branch:
    """The recent terms of a log, oldest first.

    Attributes:
      starts: Where each recent term began; terms and offsets never decrease.
    """

    starts: tuple[TermStart, ...] = ()

    @property
    def term(self) -> int:
        """Return the newest term of the branch; 0 for an empty branch."""
        return self.starts[-1].term if self.starts else 0

    def contains(self, position: Position) -> bool:
        """Return whether the branch holds the entry at a position.

        A position of a term that the branch no longer records is judged by
        the oldest start it still has; a term that it skipped is not kept.

        Args:
          position: The position of the entry in question.
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
        """Return whether a term is one of those on the branch.

        Args:
          term: The term in question.
        """
        return any(start.term == term for start in self.starts)

    def extended(self, start: TermStart, limit: int = 64) -> "Branch":
        """Return the branch with a new term, keeping the newest `limit`.

        Args:
          start: The start of a term above every term of the branch.
          limit: How many term starts to keep.

        Raises:
          ValueError: The term is not above the branch's newest.
        """
        if start.term <= self.term:
            raise ValueError(f"term {start.term} is not above {self.term}")
        return Branch((*self.starts, start)[-limit:])
