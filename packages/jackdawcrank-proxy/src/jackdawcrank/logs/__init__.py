"""Structured logs."""

from jackdawcrank.logs.configure import configure_logging
from jackdawcrank.logs.formatters import JsonFormatter, TextFormatter
from jackdawcrank.logs.log_event import log_event
from jackdawcrank.logs.log_format import LogFormat

__all__ = [
    "JsonFormatter",
    "LogFormat",
    "TextFormatter",
    "configure_logging",
    "log_event",
]
