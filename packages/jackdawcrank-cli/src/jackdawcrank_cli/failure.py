"""Ends a command with a message and an exit status."""

from typing import Any

from jackdawcrank_cli.exit_codes import ExitCode, code_of_status


class CommandFailed(Exception):
    """A command can't go on.

    Attributes:
      message: What to tell the operator.
      code: The exit status.
    """

    def __init__(self, message: str, code: ExitCode) -> None:
        super().__init__(message)
        self.message = message
        self.code = code


def failure_from(status: int, document: Any) -> CommandFailed:
    """Return the failure that an error answer stands for.

    Args:
      status: The HTTP status.
      document: The answer's JSON value.
    """
    error = document.get("error", {}) if isinstance(document, dict) else {}
    return CommandFailed(error_text(status, error), code_of_status(status))


def error_text(status: int, error: Any) -> str:
    """Return an error as lines of text that end with what to do."""
    lines = [str(error.get("message", f"the proxy answered {status}"))]
    for problem in error.get("problems", ()):
        lines.append(f"  {problem['path']}: {problem['message']}")
    for change in error.get("changed", ()):
        lines.append(f"  {change['path']}: {change['from']} -> {change['to']}")
    if error.get("hint"):
        lines.append(f"What to do: {error['hint']}")
    return "\n".join(lines)
