"""The kinds of rows in the change log."""

import enum


class Kind(enum.StrEnum):
    """The kind of row that a change applies to."""

    DATABASE_GROUP = "DatabaseGroup"
    BACKEND_SERVER = "BackendServer"
    CALLER_CLASS = "CallerClass"
    GROUP_ROW = "GroupRow"


RESOURCE_KINDS = (
    Kind.DATABASE_GROUP,
    Kind.BACKEND_SERVER,
    Kind.CALLER_CLASS,
)
