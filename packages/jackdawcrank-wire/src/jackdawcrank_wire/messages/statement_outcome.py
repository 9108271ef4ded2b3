"""The outcome of a statement that did not succeed."""

import enum


class StatementOutcome(enum.StrEnum):
    """What is known about the effect of a statement with an error result."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
