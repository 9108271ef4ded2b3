"""A position in a database group's replication log."""

import attrs


@attrs.frozen(order=True)
class Position:
    """A log position: the term that wrote the entry and the entry's offset.

    Only positions of the same branch can be meaningfully ordered.

    Attributes:
      term: The term in which the entry was written; 0 precedes every term.
      offset: The number of log entries up to and including this one.
    """

    term: int
    offset: int

    def __str__(self) -> str:
        return f"{self.term}:{self.offset}"

    @classmethod
    def parse(cls, text: str) -> "Position":
        """Return the position in a text of the form `term:offset`.

        Args:
          text: The text, for example `3:1024`.

        Raises:
          ValueError: The text is not two non-negative integers.
        """
        term, separator, offset = text.partition(":")
        if not separator or not (term.isdecimal() and offset.isdecimal()):
            raise ValueError(f"not a log position: {text[:40]!r}")
        return cls(int(term), int(offset))


ORIGIN = Position(0, 0)
