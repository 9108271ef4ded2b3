"""The outcome of a statement that did not succeed."""

import enum


class StatementOutcome(enum.StrEnum):
    """The effect of a statement that returned an error."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
