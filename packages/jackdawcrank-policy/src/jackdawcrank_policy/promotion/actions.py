"""The actions that a promotion asks of its shell."""

import enum

import attrs

from jackdawcrank_policy.values import GroupRow


class Timer(enum.StrEnum):
    """The timers of a promotion.

    Attributes:
      LEASES: The leases of the earlier terms have run out.
      GRACE: Servers that are slow to be fenced are waited for no more.
      FENCE_RETRY: Servers that could not be fenced are tried again.
      OPEN_RETRY: The opening of the term is tried again.
      QUIESCE: What runs on a primary to be moved is waited for no more.
      CATCH_UP: A planned target is waited for no more.
      PROBE: A planned target is probed again.
      ANNOUNCE_RETRY: The new primary is told again.
      DEADLINE: The promotion gives up where it cannot finish.
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
    """Compare-and-set the group's row to a claimed term.

    Attributes:
      expected: The row that has to stand, or None for no row.
      row: The new row, in the preparing phase.
    """

    expected: GroupRow | None
    row: GroupRow


@attrs.frozen
class OpenTerm:
    """Compare-and-set the claimed row to an open term.

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
    """Ask a writer to give up its leases on every term below the claimed.

    Attributes:
      vm: The writer's VM.
      term: The claimed term.
    """

    vm: str
    term: int


@attrs.frozen
class AnnouncePrimary:
    """Tell a server who leads the open term.

    Attributes:
      server: The server to tell.
      term: The open term.
      offset: Where the term began.
      primary: The primary's name.
    """

    server: str
    term: int
    offset: int
    primary: str


@attrs.frozen
class SetTimer:
    """Deliver `TimerFired` at a time; an earlier setting is replaced.

    Attributes:
      timer: The timer.
      at: When, in seconds.
    """

    timer: Timer
    at: float


@attrs.frozen
class Finished:
    """The promotion is over and the term is open.

    Attributes:
      row: The group's new row.
      announced: Whether the new primary is known to have taken over.
    """

    row: GroupRow
    announced: bool


class AbandonReason(enum.StrEnum):
    """Why a promotion ended without opening its term."""

    SUPERSEDED = "superseded"
    STORE_UNAVAILABLE = "store_unavailable"
    TOO_FEW_SERVERS = "too_few_servers"
    NO_CANDIDATE = "no_candidate"


@attrs.frozen
class Abandoned:
    """The promotion ended without opening its term.

    Attributes:
      reason: Why.
      current: The row that stands in the way, if it is known.
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
