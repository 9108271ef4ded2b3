"""The events that drive a promotion."""

import attrs

from jackdawcrank_policy.values import GroupRow, ServerReport


@attrs.frozen
class Claimed:
    """The claim of the term is in the store.

    Attributes:
      row: The row as stored, in the preparing phase.
    """

    row: GroupRow


@attrs.frozen
class ClaimConflict:
    """Another VM changed the group's row before the claim.

    Attributes:
      current: The row that stands, if there is one.
    """

    current: GroupRow | None


@attrs.frozen
class Opened:
    """The open term is in the store.

    Attributes:
      row: The row as stored, in the active phase.
    """

    row: GroupRow


@attrs.frozen
class OpenConflict:
    """The row in the store is not the one that this promotion claimed.

    Attributes:
      current: The row that stands, if there is one.
    """

    current: GroupRow | None


@attrs.frozen
class StoreLost:
    """The store gave no usable answer; the write may have taken effect."""


@attrs.frozen
class Fenced:
    """A server accepted the fence and then reported.

    Attributes:
      report: Its report from after the fence.
    """

    report: ServerReport


@attrs.frozen
class FenceRefused:
    """A server answered and refused the fence.

    Attributes:
      server: The server's name.
      detail: The server's message.
    """

    server: str
    detail: str = ""


@attrs.frozen
class Unreachable:
    """A server could not be fenced or probed in time.

    Attributes:
      server: The server's name.
    """

    server: str


@attrs.frozen
class Probed:
    """A server reported its position.

    Attributes:
      report: The report.
    """

    report: ServerReport


@attrs.frozen
class LeaseGivenUp:
    """A writer promised to act no more for the earlier terms.

    Attributes:
      vm: The writer's VM.
    """

    vm: str


@attrs.frozen
class Announced:
    """A server accepted the primary of the new term.

    Attributes:
      server: The server's name.
    """

    server: str


@attrs.frozen
class AnnounceFailed:
    """A server refused the new primary or did not answer.

    Attributes:
      server: The server's name.
    """

    server: str


@attrs.frozen
class TimerFired:
    """A timer that the promotion set has run out.

    Attributes:
      timer: The timer.
    """

    timer: str


Event = (
    Claimed
    | ClaimConflict
    | Opened
    | OpenConflict
    | StoreLost
    | Fenced
    | FenceRefused
    | Unreachable
    | Probed
    | LeaseGivenUp
    | Announced
    | AnnounceFailed
    | TimerFired
)
