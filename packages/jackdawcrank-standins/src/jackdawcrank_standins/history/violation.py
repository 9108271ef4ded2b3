"""The consistency rules for histories and their violations."""

import enum

import attrs


class Rule(enum.StrEnum):
    """The rules that every history must satisfy.

    Attributes:
      OLD_TERM: A write that is acknowledged under a term after a later term
        was opened is on the final branch.
      APPLIED_TWICE: No write occurs more than once in the log of a server.
      NOT_RUN_RAN: A write whose last reported outcome is `not_run` or
        `failed` is not on the final branch.
      LOST: An acknowledged write of a group that requires confirmations is
        on the final branch.
      TWO_PRIMARIES: Each term is opened only once, and terms are opened in
        increasing order.
    """

    OLD_TERM = "old_term"
    APPLIED_TWICE = "applied_twice"
    NOT_RUN_RAN = "not_run_ran"
    LOST = "lost"
    TWO_PRIMARIES = "two_primaries"


@attrs.frozen
class Violation:
    """A violation of a rule in a history.

    Attributes:
      rule: The violated rule.
      subject: The id of the write or the number of the term.
      detail: A human-readable explanation.
    """

    rule: Rule
    subject: str
    detail: str
