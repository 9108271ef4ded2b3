"""Formatters of log lines."""

import datetime
import json
import logging
import typing

FIELDS_ATTRIBUTE = "fields"


def record_fields(record: logging.LogRecord) -> dict[str, typing.Any]:
    """Return the fields of a log record in output order.

    Args:
      record: The log record.
    """
    instant = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    fields = {
        "time": instant.isoformat(timespec="milliseconds"),
        "level": record.levelname.lower(),
        "message": record.getMessage(),
        "source": f"{record.filename}:{record.lineno}",
    }
    fields.update(getattr(record, FIELDS_ATTRIBUTE, {}))
    if record.exc_info and record.exc_info[0]:
        formatter = logging.Formatter()
        fields["exception"] = formatter.formatException(record.exc_info)
    return fields


class TextFormatter(logging.Formatter):
    """Writes a line as key=value pairs, values quoted where needed."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of text.

        Args:
          record: The log record.
        """
        pairs = record_fields(record).items()
        return " ".join(f"{key}={quote(value)}" for key, value in pairs)


class JsonFormatter(logging.Formatter):
    """Writes a line as a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON.

        Args:
          record: The log record.
        """
        return json.dumps(record_fields(record), default=str)


def quote(value: object) -> str:
    """Return a value as text, quoted as JSON unless it is a single word.

    Args:
      value: The value.
    """
    text = str(value)
    plain = text and not any(char in text for char in ' ="\\\n\r\t')
    return text if plain else json.dumps(text)
