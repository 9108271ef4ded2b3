"""Actions that a promotion returns for its caller to execute."""

import enum

import attrs

from jackdawcrank_policy.values import GroupRow


class Timer(enum.StrEnum):
    """The timers of a promotion.

    Attributes:
      LEASES: No lease of an earlier term can be held any more.
      GRACE: The grace period for servers that are not fenced yet has ended.
      FENCE_RETRY: The next attempt to fence the failed servers is due.
      OPEN_RETRY: The next attempt to open the term is due.
      QUIESCE: The wait for work in progress on the old primary of a
        switch-over has timed out.
      CATCH_UP: The wait for the target of a switch-over has timed out.
      PROBE: The next probe of the target of a switch-over is due.
      ANNOUNCE_RETRY: The next announcement to the new primary is due.
      DEADLINE: The promotion has timed out. It is abandoned unless it is
        already opening its term.
    """

    LEASES = "leases"
    GRACE = "grace"
    FENCE_RETRY = "fence_retry"
    OPEN_RETRY = "open_retry"
    QUIESCE = "quiesce"
    CATCH_UP = "catch_up"
    PROBE = "probe"
    ANNOUNCE_RETRY = "announce_retry"
    DEADLINE = "deadline"


@attrs.frozen
class ClaimTerm:
    """Claim a term by a compare-and-set of the group's row.

    Attributes:
      expected: The row that the store has to contain, or None for no row.
      row: The new row, in the preparing phase.
    """

    expected: GroupRow | None
    row: GroupRow


@attrs.frozen
class OpenTerm:
    """Open the claimed term by a compare-and-set of the group's row.

    Attributes:
      expected: The claimed row.
      row: The new row, in the active phase.
    """

    expected: GroupRow
    row: GroupRow


@attrs.frozen
class FenceServer:
    """Fence a server, then probe it.

    Attributes:
      server: The server's name.
      term: The claimed term.
    """

    server: str
    term: int


@attrs.frozen
class ProbeServer:
    """Probe a server.

    Attributes:
      server: The server's name.
    """

    server: str


@attrs.frozen
class AskGiveUp:
    """Ask a writer to give up its leases on all terms below the claimed one.

    Attributes:
      vm: The writer's VM.
      term: The claimed term.
    """

    vm: str
    term: int


@attrs.frozen
class AnnouncePrimary:
    """Announce the primary of the open term to a server.

    Attributes:
      server: The server that receives the announcement.
      term: The open term.
      offset: The log offset at which the term begins.
      primary: The primary's name.
    """

    server: str
    term: int
    offset: int
    primary: str


@attrs.frozen
class SetTimer:
    """Schedule a `TimerFired` event, replacing an earlier schedule.

    Attributes:
      timer: The timer.
      at: The time at which it fires, in seconds.
    """

    timer: Timer
    at: float


@attrs.frozen
class Finished:
    """The promotion has ended with an open term.

    Attributes:
      row: The group's new row.
      announced: Whether the new primary accepted the announcement.
    """

    row: GroupRow
    announced: bool


class AbandonReason(enum.StrEnum):
    """Reasons for which a promotion ends without opening its term."""

    SUPERSEDED = "superseded"
    STORE_UNAVAILABLE = "store_unavailable"
    TOO_FEW_SERVERS = "too_few_servers"
    NO_CANDIDATE = "no_candidate"


@attrs.frozen
class Abandoned:
    """The promotion has ended without opening its term.

    Attributes:
      reason: The reason.
      current: The conflicting row in the store, or the row that this
        promotion claimed, if there is one.
    """

    reason: AbandonReason
    current: GroupRow | None = None


Action = (
    ClaimTerm
    | OpenTerm
    | FenceServer
    | ProbeServer
    | AskGiveUp
    | AnnouncePrimary
    | SetTimer
    | Finished
    | Abandoned
)
