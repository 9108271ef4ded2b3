"""What a process still holds of its events."""

import attrs

from jackdawcrank_wire.events import TimelineEvent


@attrs.frozen
class RetainedEvents:
    """The events above a sequence number.

    Attributes:
      events: Those that are still kept, oldest first.
      dropped: How many no longer are.
    """

    events: tuple[TimelineEvent, ...]
    dropped: int
