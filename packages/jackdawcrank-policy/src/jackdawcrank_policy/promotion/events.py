"""Events that a promotion reacts to."""

import attrs

from jackdawcrank_policy.values import GroupRow, ServerReport


@attrs.frozen
class Claimed:
    """The store contains the claim of the term.

    Attributes:
      row: The row as stored, in the preparing phase.
    """

    row: GroupRow


@attrs.frozen
class ClaimConflict:
    """Another VM changed the group's row before the claim.

    Attributes:
      current: The row in the store, if there is one.
    """

    current: GroupRow | None


@attrs.frozen
class Opened:
    """The store contains the open term.

    Attributes:
      row: The row as stored, in the active phase.
    """

    row: GroupRow


@attrs.frozen
class OpenConflict:
    """The row in the store is not the one that this promotion claimed.

    Attributes:
      current: The row in the store, if there is one.
    """

    current: GroupRow | None


@attrs.frozen
class StoreLost:
    """The store gave no usable answer; the write may or may not be stored."""


@attrs.frozen
class Fenced:
    """A server accepted the fence and reported its state afterwards.

    Attributes:
      report: The report from after the fence.
    """

    report: ServerReport


@attrs.frozen
class FenceRefused:
    """A server refused the fence.

    Attributes:
      server: The server's name.
      detail: The error message of the server.
    """

    server: str
    detail: str = ""


@attrs.frozen
class Unreachable:
    """A server did not answer a fence or probe request in time.

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
    """A writer confirmed that it gave up its leases on earlier terms.

    Attributes:
      vm: The writer's VM.
    """

    vm: str


@attrs.frozen
class Announced:
    """A server accepted the announcement of the new primary.

    Attributes:
      server: The server's name.
    """

    server: str


@attrs.frozen
class AnnounceFailed:
    """A server refused the announcement or did not answer it.

    Attributes:
      server: The server's name.
    """

    server: str


@attrs.frozen
class TimerFired:
    """A timer that the promotion scheduled has fired.

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
