"""Exit statuses of jackdawcrankctl and their meanings."""

import enum


class ExitCode(enum.IntEnum):
    """The exit statuses of jackdawcrankctl."""

    OK = 0
    DRIFT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNAVAILABLE = 6
    UNAUTHORIZED = 7
    REFUSED = 8
    GONE = 9


MEANINGS = {
    ExitCode.OK: "Done; for diff, the system is as declared.",
    ExitCode.DRIFT: "diff found differences.",
    ExitCode.USAGE: "The command line, its settings or its files are wrong.",
    ExitCode.INVALID: "A resource is not valid; nothing was applied.",
    ExitCode.CONFLICT: "Somebody else changed a resource; it was not applied.",
    ExitCode.NOT_FOUND: "What the command is about does not exist.",
    ExitCode.UNAVAILABLE: "No proxy, or not the store, could be reached.",
    ExitCode.UNAUTHORIZED: "The operator token is missing or wrong.",
    ExitCode.REFUSED: "The system refused; the message says why.",
    ExitCode.GONE: "The change log no longer reaches back that far.",
}

BY_STATUS = {
    400: ExitCode.USAGE,
    401: ExitCode.UNAUTHORIZED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.REFUSED,
    410: ExitCode.GONE,
    412: ExitCode.CONFLICT,
    413: ExitCode.INVALID,
    422: ExitCode.INVALID,
}


def code_of_status(status: int) -> ExitCode:
    """Return the exit status for an HTTP status that is an error."""
    return BY_STATUS.get(status, ExitCode.UNAVAILABLE)


def epilog() -> str:
    """Return the part of the help that explains the exit statuses."""
    lines = [f"{int(code)}  {text}" for code, text in MEANINGS.items()]
    return "Exit statuses:\n\n\b\n" + "\n".join(lines)
