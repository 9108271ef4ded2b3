"""Categories of statements that callers send."""

import enum


class FrontKind(enum.Enum):
    """The category that selects the handler of a statement."""

    READ = enum.auto()
    WRITE = enum.auto()
    IMPLICIT_COMMIT = enum.auto()
    BEGIN = enum.auto()
    COMMIT = enum.auto()
    ROLLBACK = enum.auto()
    SET = enum.auto()
    USE = enum.auto()
    SHOW_REQUEST = enum.auto()
    SHOW_WARNINGS = enum.auto()
    SESSION_TOKEN = enum.auto()
    LAST_INSERT_ID = enum.auto()
    CONNECTION_ID = enum.auto()
    EMPTY = enum.auto()
    MULTIPLE = enum.auto()
    UNSUPPORTED = enum.auto()
