"""The end of a stream of frames."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """Says why no further frame can be read.

    Attributes:
      detail: A short description.
      clean: Whether the peer closed the stream between two frames.
    """

    detail: str
    clean: bool = False
