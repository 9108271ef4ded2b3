"""The end of a stream of frames."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """The reason why no further frame can be read.

    Attributes:
      detail: A short description of the reason.
      clean: Whether the peer closed the stream at a frame boundary.
    """

    detail: str
    clean: bool = False
