"""What became of a statement that did not succeed."""

import enum


class StatementOutcome(enum.StrEnum):
    """What an error says of the statement's effect."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
