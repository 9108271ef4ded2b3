"""Log lines with the ids that the time line uses."""

import logging as standard_logging

from absl import logging

from jackdawcrank.logs.formatters import FIELDS_ATTRIBUTE
from jackdawcrank_wire.events import TimelineEvent


def log_event(event: TimelineEvent, level: int = standard_logging.INFO) -> None:
    """Write an event of the time line to the log.

    Args:
      event: The event.
      level: The standard library's log level.
    """
    fields = {
        "vm": event.vm,
        "boot": event.boot,
        "sequence": event.sequence,
        **optional_ids(event),
        **event.detail,
    }
    logging.get_absl_logger().log(
        level, str(event.kind), extra={FIELDS_ATTRIBUTE: fields}
    )


def optional_ids(event: TimelineEvent) -> dict[str, object]:
    """Return those of an event's ids that it has.

    Args:
      event: The event.
    """
    ids: dict[str, object] = {
        "group": event.group,
        "term": event.term,
        "request_id": event.request_id,
    }
    return {name: value for name, value in ids.items() if value}
