"""The time line as JSON lines."""

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
    """Says why a line is no event.

    Attributes:
      detail: What was wrong.
    """

    detail: str


def event_to_dict(event: TimelineEvent) -> dict[str, typing.Any]:
    """Return an event as plain values for JSON.

    Args:
      event: The event.
    """
    return attrs.asdict(event) | {
        "kind": str(event.kind),
        "detail": dict(event.detail),
    }


def event_from_dict(fields: object) -> TimelineEvent | MalformedEvent:
    """Return the event that plain values describe.

    Args:
      fields: What JSON held, of any shape.
    """
    if not isinstance(fields, dict):
        return MalformedEvent("not a JSON object")
    for name, accepted_types in expected_types():
        if type(fields.get(name)) not in accepted_types:
            return MalformedEvent(f"{name} is missing or of a wrong type")
    detail = fields["detail"]
    if not all(isinstance(value, str) for value in detail.values()):
        return MalformedEvent("detail holds a value that is not text")
    field_values = {name: fields[name] for name, _ in expected_types()}
    return TimelineEvent(**field_values | {"kind": parse_kind(fields["kind"])})


def expected_types() -> list[tuple[str, tuple[type, ...]]]:
    """Return each field of an event with the types that it may have."""
    return [
        *((name, (str,)) for name in TEXT_FIELDS),
        *((name, (int,)) for name in INTEGER_FIELDS),
        *((name, (int, float)) for name in TIME_FIELDS),
        ("detail", (dict,)),
    ]


def parse_kind(text: str) -> EventKind | str:
    """Return the kind of a name, or the name of an unknown kind.

    Args:
      text: The kind's name.
    """
    return KINDS_BY_NAME.get(text, text)


def to_json_lines(events: collections.abc.Iterable[TimelineEvent]) -> str:
    """Return events as JSON, one a line.

    Args:
      events: The events, in the order of the lines.
    """
    return "".join(
        json.dumps(event_to_dict(event), separators=(",", ":")) + "\n"
        for event in events
    )


def from_json_line(line: str) -> TimelineEvent | MalformedEvent:
    """Return the event that a line holds.

    Args:
      line: One line of JSON.
    """
    try:
        fields = json.loads(line)
    except (ValueError, RecursionError):
        return MalformedEvent("not JSON")
    return event_from_dict(fields)
