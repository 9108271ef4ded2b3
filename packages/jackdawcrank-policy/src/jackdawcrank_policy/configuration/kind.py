"""The kinds of rows that the change log orders."""

import enum


class Kind(enum.StrEnum):
    """What a change is about."""

    DATABASE_GROUP = "DatabaseGroup"
    BACKEND_SERVER = "BackendServer"
    CALLER_CLASS = "CallerClass"
    GROUP_ROW = "GroupRow"


RESOURCE_KINDS = (
    Kind.DATABASE_GROUP,
    Kind.BACKEND_SERVER,
    Kind.CALLER_CLASS,
)
