"""What became of an operator's request to move a primary."""

import dataclasses

from jackdawcrank_policy.promotion import AbandonReason
from jackdawcrank_policy.values import GroupRow


@dataclasses.dataclass(frozen=True)
class Moved:
    """The term changed.

    Attributes:
      row: The group's new row. Its primary is the old one again if the
        target did not catch up in time.
    """

    row: GroupRow


@dataclasses.dataclass(frozen=True)
class Refused:
    """Nothing was changed.

    Attributes:
      reason: A sentence for people.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Incomplete:
    """The term was claimed or may have been, but is not open yet.

    Attributes:
      reason: Why it was abandoned; a coordinator tries again by itself.
    """

    reason: AbandonReason


SwitchOverOutcome = Moved | Refused | Incomplete
