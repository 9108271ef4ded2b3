"""Outcomes of an operator's request to move a primary."""

import dataclasses

from jackdawcrank_policy.promotion import AbandonReason
from jackdawcrank_policy.values import GroupRow


@dataclasses.dataclass(frozen=True)
class Moved:
    """A new term was opened.

    Attributes:
      row: The group's new row. It names the previous primary if the target
        did not catch up in time.
    """

    row: GroupRow


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request was refused and nothing was changed.

    Attributes:
      reason: A human-readable explanation.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Incomplete:
    """The term may have been claimed but is not open yet.

    Attributes:
      reason: Why it was abandoned; a coordinator retries it automatically.
    """

    reason: AbandonReason


SwitchOverOutcome = Moved | Refused | Incomplete
