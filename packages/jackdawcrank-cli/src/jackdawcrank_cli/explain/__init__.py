"""Finds the cause of a request's outcome in plain log files."""

from jackdawcrank_cli.explain.cause import cause
from jackdawcrank_cli.explain.chain import Chain, find_chain
from jackdawcrank_cli.explain.log_lines import LogLine, read_lines

__all__ = ["Chain", "LogLine", "cause", "find_chain", "read_lines"]
