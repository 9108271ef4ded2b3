"""Conversion of timeline events to and from JSON lines."""

import collections.abc
import dataclasses
import json
import typing

import attrs

from jackdawcrank_wire.events.event_kind import EventKind
from jackdawcrank_wire.events.timeline_event import TimelineEvent

TEXT_FIELDS = ("vm", "boot", "kind", "group", "request_id")
INTEGER_FIELDS = ("sequence", "term")
TIME_FIELDS = ("monotonic", "wall")
KINDS_BY_NAME: dict[str, EventKind] = {str(kind): kind for kind in EventKind}


@dataclasses.dataclass(frozen=True)
class MalformedEvent:
    """The reason why a value is not a valid event.

    Attributes:
      detail: A description of the error.
    """

    detail: str


def event_to_dict(event: TimelineEvent) -> dict[str, typing.Any]:
    """Return an event as a dictionary that can be encoded as JSON.

    Args:
      event: The event to convert.
    """
    return attrs.asdict(event) | {
        "kind": str(event.kind),
        "detail": dict(event.detail),
    }


def event_from_dict(fields: object) -> TimelineEvent | MalformedEvent:
    """Return the event in a decoded JSON value, or why it is not valid.

    Args:
      fields: The decoded JSON value, of any type.
    """
    if not isinstance(fields, dict):
        return MalformedEvent("not a JSON object")
    for name, accepted_types in expected_types():
        if type(fields.get(name)) not in accepted_types:
            return MalformedEvent(f"{name} is missing or has a wrong type")
    detail = fields["detail"]
    if not all(isinstance(value, str) for value in detail.values()):
        return MalformedEvent("detail contains a value that is not a string")
    field_values = {name: fields[name] for name, _ in expected_types()}
    return TimelineEvent(**field_values | {"kind": parse_kind(fields["kind"])})


def expected_types() -> list[tuple[str, tuple[type, ...]]]:
    """Return the name and the accepted types of each field of an event."""
    return [
        *((name, (str,)) for name in TEXT_FIELDS),
        *((name, (int,)) for name in INTEGER_FIELDS),
        *((name, (int, float)) for name in TIME_FIELDS),
        ("detail", (dict,)),
    ]


def parse_kind(text: str) -> EventKind | str:
    """Return the event kind with a name, or the name if it is unknown.

    Args:
      text: The name of the kind.
    """
    return KINDS_BY_NAME.get(text, text)


def to_json_lines(events: collections.abc.Iterable[TimelineEvent]) -> str:
    """Return events as JSON lines, one event per line.

    Args:
      events: The events, in output order.
    """
    return "".join(
        json.dumps(event_to_dict(event), separators=(",", ":")) + "\n"
        for event in events
    )


def from_json_line(line: str) -> TimelineEvent | MalformedEvent:
    """Return the event in a line, or why the line is not valid.

    Args:
      line: One line of JSON.
    """
    try:
        fields = json.loads(line)
    except (ValueError, RecursionError):
        return MalformedEvent("not JSON")
    return event_from_dict(fields)
