"""The kinds of statements that the proxy distinguishes."""

import enum


class StatementKind(enum.StrEnum):
    """The kind of a statement, which determines how a proxy runs it."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SHOW_REQUEST = "show_request"
    END_SESSION = "end_session"
    POSITION = "position"
