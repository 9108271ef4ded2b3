"""Events that a timeline still retains."""

import attrs

from jackdawcrank_wire.events import TimelineEvent


@attrs.frozen
class RetainedEvents:
    """The events above a sequence number.

    Attributes:
      events: The retained events, oldest first.
      dropped: The number of events that are no longer retained.
    """

    events: tuple[TimelineEvent, ...]
    dropped: int
