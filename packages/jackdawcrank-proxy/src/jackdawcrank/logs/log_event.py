"""Log lines for timeline events."""

import logging as standard_logging

from absl import logging

from jackdawcrank.logs.formatters import FIELDS_ATTRIBUTE
from jackdawcrank_wire.events import TimelineEvent


def log_event(event: TimelineEvent, level: int = standard_logging.INFO) -> None:
    """Write a timeline event to the log.

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
    """Return the optional ids that are set on an event.

    Args:
      event: The event.
    """
    ids: dict[str, object] = {
        "group": event.group,
        "term": event.term,
        "request_id": event.request_id,
    }
    return {name: value for name, value in ids.items() if value}
