"""Parses the lines of decision logs."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs


@attrs.frozen
class LogLine:
    """One parsed log line.

    Attributes:
      at: Time of writing in Unix seconds.
      vm: The VM whose process wrote the line.
      event: The event name.
      fields: All other fields of the line.
    """

    at: float
    vm: str
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text; empty if it is missing or null.

        Args:
          name: The field name.
        """
        value = self.fields.get(name)
        return "" if value is None else str(value)


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines that can be parsed.

    Prefixes added by a log collector are ignored. Lines of other programs and
    truncated lines are skipped.

    Args:
      texts: Raw lines of text.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            body = json.loads(text[start:])
            at, vm, event = (
                float(body.pop("at")),
                str(body.pop("vm")),
                str(body.pop("event")),
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        yield LogLine(at, vm, event, body)
