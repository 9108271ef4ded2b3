"""Conversion of the timeline to the format of browser trace viewers."""

import collections.abc
import json
import typing

from jackdawcrank_wire.events.timeline_event import TimelineEvent

MICROSECONDS_PER_SECOND = 1_000_000
NO_GROUP_THREAD = "proxy"
PROMOTION_START = "promotion_started"
PROMOTION_ENDS = ("promotion_finished", "promotion_abandoned")

Entry = dict[str, typing.Any]


def to_trace_events(events: collections.abc.Sequence[TimelineEvent]) -> str:
    """Return events as a JSON object in the trace-event format.

    Each VM is represented as a process and each database group on it as a
    thread. Every event is an instant event; a promotion is also a span from
    its start to its end.

    Args:
      events: The events in merged order.
    """
    trace_ids = TraceIds()
    entries: list[Entry] = []
    for event in events:
        entries.append(instant_entry(event, trace_ids))
        entries.extend(span_entries(event, trace_ids))
    return json.dumps({"traceEvents": trace_ids.metadata_entries() + entries})


class TraceIds:
    """Assigns the ids of processes, threads and spans in a trace."""

    def __init__(self) -> None:
        self.open_spans: dict[tuple[str, str], str] = {}
        self.processes: dict[str, int] = {}
        self.threads: dict[tuple[str, str], int] = {}

    def process_and_thread(self, event: TimelineEvent) -> Entry:
        """Return the process id and the thread id of an event.

        Args:
          event: The event.
        """
        pid = self.processes.setdefault(event.vm, len(self.processes) + 1)
        thread = (event.vm, event.group or NO_GROUP_THREAD)
        tid = self.threads.setdefault(thread, len(self.threads) + 1)
        return {"pid": pid, "tid": tid}

    def begin_span(self, event: TimelineEvent) -> str:
        """Open a span on the VM and group of an event and return its id.

        Args:
          event: The event that begins the span.
        """
        span_id = f"{event.group}/{event.term}"
        self.open_spans[event.vm, event.group] = span_id
        return span_id

    def end_span(self, event: TimelineEvent) -> str | None:
        """Close the span that an event ends and return its id.

        Args:
          event: The event that ends the span.

        Returns:
          The id of the span; None if no span is open.
        """
        return self.open_spans.pop((event.vm, event.group), None)

    def metadata_entries(self) -> list[Entry]:
        """Return the metadata entries with process and thread names."""
        processes: list[Entry] = [
            {
                "ph": "M",
                "name": "process_name",
                "pid": pid,
                "args": {"name": vm_name},
            }
            for vm_name, pid in self.processes.items()
        ]
        threads: list[Entry] = [
            {
                "ph": "M",
                "name": "thread_name",
                "pid": self.processes[vm],
                "tid": tid,
                "args": {"name": thread},
            }
            for (vm, thread), tid in self.threads.items()
        ]
        return processes + threads


def instant_entry(event: TimelineEvent, trace_ids: TraceIds) -> Entry:
    """Return the instant entry of an event.

    Args:
      event: The event.
      trace_ids: Assigns process and thread ids.
    """
    return {
        "name": str(event.kind),
        "ph": "i",
        "s": "t",
        "ts": round(event.wall * MICROSECONDS_PER_SECOND),
        **trace_ids.process_and_thread(event),
        "args": {
            "boot": event.boot,
            "sequence": event.sequence,
            "term": event.term,
            "request_id": event.request_id,
            **event.detail,
        },
    }


def span_entries(event: TimelineEvent, trace_ids: TraceIds) -> list[Entry]:
    """Return the entry that begins or ends the span of a promotion.

    Args:
      event: The event.
      trace_ids: Assigns process, thread and span ids.

    Returns:
      A list of one entry; empty if the event neither begins nor ends a span.
    """
    phase, span_id = "", None
    if event.kind == PROMOTION_START:
        phase, span_id = "b", trace_ids.begin_span(event)
    elif event.kind in PROMOTION_ENDS:
        phase, span_id = "e", trace_ids.end_span(event)
    if span_id is None:
        return []
    return [
        {
            "name": "promotion",
            "cat": "promotion",
            "ph": phase,
            "id": span_id,
            "ts": round(event.wall * MICROSECONDS_PER_SECOND),
            **trace_ids.process_and_thread(event),
        }
    ]
