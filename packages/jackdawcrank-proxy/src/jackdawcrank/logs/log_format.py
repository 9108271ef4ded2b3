"""The choice of a log line's form."""

import enum


class LogFormat(enum.StrEnum):
    """The form of log lines."""

    TEXT = "text"
    JSON = "json"
