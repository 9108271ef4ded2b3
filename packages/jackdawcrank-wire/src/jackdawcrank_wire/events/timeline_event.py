"""One event on the time line."""

import collections.abc

import attrs

from jackdawcrank_wire.events.event_kind import EventKind


@attrs.frozen
class TimelineEvent:
    """Something that one VM saw or decided.

    Attributes:
      vm: The VM that recorded it.
      boot: The id of that VM's process.
      sequence: The event's number within the process, from 1 without gaps.
      monotonic: Seconds on the process's monotonic clock.
      wall: Unix time in seconds.
      kind: What happened; plain text where a newer version's kind is not
        known here.
      group: The database group concerned; empty for none.
      term: The term concerned; 0 for none.
      request_id: The caller's request concerned; empty for none.
      detail: Further facts.
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
