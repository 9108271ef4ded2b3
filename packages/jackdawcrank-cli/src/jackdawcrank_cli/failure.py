"""Failures that end a command with a message and an exit status."""

from typing import Any

from jackdawcrank_cli.exit_codes import ExitCode, code_of_status


class CommandFailed(Exception):
    """A command failed.

    Attributes:
      message: The message for the operator.
      code: The exit status.
    """

    def __init__(self, message: str, code: ExitCode) -> None:
        super().__init__(message)
        self.message = message
        self.code = code


def failure_from(status: int, document: Any) -> CommandFailed:
    """Return the failure for an error answer.

    Args:
      status: The HTTP status.
      document: The decoded JSON body of the answer.
    """
    error = document.get("error", {}) if isinstance(document, dict) else {}
    return CommandFailed(error_text(status, error), code_of_status(status))


def error_text(status: int, error: Any) -> str:
    """Return the message, details and hint of an error as lines of text."""
    lines = [str(error.get("message", f"the proxy answered {status}"))]
    for problem in error.get("problems", ()):
        lines.append(f"  {problem['path']}: {problem['message']}")
    for change in error.get("changed", ()):
        lines.append(f"  {change['path']}: {change['from']} -> {change['to']}")
    if error.get("hint"):
        lines.append(f"What to do: {error['hint']}")
    return "\n".join(lines)
