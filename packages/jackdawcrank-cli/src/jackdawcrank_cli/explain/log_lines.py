"""Lines of decision logs."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs


@attrs.frozen
class LogLine:
    """One line.

    Attributes:
      at: When it was written, Unix seconds.
      vm: The process that wrote it.
      event: What happened.
      fields: The rest of the line.
    """

    at: float
    vm: str
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text, empty where there is none.

        Args:
          name: The field.
        """
        value = self.fields.get(name)
        return "" if value is None else str(value)


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines of logs that can be read.

    What a collector puts before a line is passed over, and so are lines of
    other programs and lines that were cut.

    Args:
      texts: Lines of text.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            body = json.loads(text[start:])
            at, vm, event = body.pop("at"), body.pop("vm"), body.pop("event")
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        yield LogLine(float(at), str(vm), str(event), body)
