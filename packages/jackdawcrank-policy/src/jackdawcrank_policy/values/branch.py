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

    def keeps(self, position: Position) -> bool:
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
        if position.term < self.starts[0].term:
            return position.offset <= self.starts[0].offset
        for start, successor in zip(
            self.starts, (*self.starts[1:], None), strict=True
        ):
            if start.term != position.term:
                continue
            return successor is None or position.offset <= successor.offset
        return False

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
