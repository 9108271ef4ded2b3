"""A rule that a history breaks."""

import enum

import attrs


class Rule(enum.StrEnum):
    """The rules that every history has to keep.

    Attributes:
      OLD_TERM: A write acknowledged under a term after a later one had
        opened is on the final branch.
      APPLIED_TWICE: No write is in a server's log twice.
      NOT_RUN_RAN: A write that was last reported as not run or failed is not
        on the final branch.
      LOST: An acknowledged write of a group that requires confirmations is
        on the final branch.
      TWO_PRIMARIES: Each term is opened once, later terms later.
    """

    OLD_TERM = "old_term"
    APPLIED_TWICE = "applied_twice"
    NOT_RUN_RAN = "not_run_ran"
    LOST = "lost"
    TWO_PRIMARIES = "two_primaries"


@attrs.frozen
class Violation:
    """One place where a history breaks a rule.

    Attributes:
      rule: The rule.
      subject: The write or term concerned.
      detail: A sentence for people.
    """

    rule: Rule
    subject: str
    detail: str
