"""What a statement does, as far as the proxy has to know."""

import enum


class StatementKind(enum.StrEnum):
    """How a home proxy treats a statement."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SHOW_REQUEST = "show_request"
    END_SESSION = "end_session"
    POSITION = "position"
