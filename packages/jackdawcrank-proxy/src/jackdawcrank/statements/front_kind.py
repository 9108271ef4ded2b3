"""What the caller front does with a statement."""

import enum


class FrontKind(enum.Enum):
    """How the front handles a statement."""

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
