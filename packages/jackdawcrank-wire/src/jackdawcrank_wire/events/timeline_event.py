"""An event on the timeline."""

import collections.abc

import attrs

from jackdawcrank_wire.events.event_kind import EventKind


@attrs.frozen
class TimelineEvent:
    """An observation or decision recorded by one VM.

    Attributes:
      vm: The VM that recorded the event.
      boot: The id of the process that recorded the event.
      sequence: The number of the event within the process, starting at 1
        without gaps.
      monotonic: The time on the monotonic clock of the process, in seconds.
      wall: The Unix time in seconds.
      kind: The kind of the event; a string if this version does not know the
        kind.
      group: The database group that the event concerns; empty for none.
      term: The term that the event concerns; 0 for none.
      request_id: The id of the caller's request that the event concerns;
        empty for none.
      detail: Additional information.
    """

    vm: str
    boot: str
    sequence: int
    monotonic: float
    wall: float
    kind: EventKind | str
    group: str = ""
    term: int = 0
    request_id: str = ""
    detail: collections.abc.Mapping[str, str] = attrs.field(factory=dict)
