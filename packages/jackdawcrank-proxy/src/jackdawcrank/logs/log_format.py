"""Formats of log lines."""

import enum


class LogFormat(enum.StrEnum):
    """The format of log lines."""

    TEXT = "text"
    JSON = "json"
