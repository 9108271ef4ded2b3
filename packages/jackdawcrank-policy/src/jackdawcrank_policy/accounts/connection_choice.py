"""Choice of server connections where each belongs to one client account."""

import collections
import math
from collections.abc import Callable, Mapping, Sequence

import attrs

# While the next statement has waited for less than this, a returned connection
# serves a statement of its own account instead of being closed: a new
# connection costs 12 ms of one of the server's 4 slots, as much as two short
# statements, and the objectives are 251 ms and more.
REUSE_SECONDS = 0.05
# Share of a pool's connections that transactions leave to single statements,
# which hold one for 6 to 30 ms; a transaction also holds it while its caller
# pauses.
SINGLE_STATEMENT_SHARE = 0.25
# Half-life of the use of an account: as long as a load burst (4 to 6 s).
USE_HALF_LIFE_SECONDS = 5.0
# Accounts with less use than this are forgotten, about 50 s after their last
# statement.
MIN_USE = 0.001


@attrs.frozen
class WaitingRequest:
    """A request that waits for a connection.

    Attributes:
      account: The client account; empty for none.
      priority: Lower values are served first.
      waited_seconds: For how long it has waited.
    """

    account: str
    priority: int
    waited_seconds: float


@attrs.define
class AccountUse:
    """Recent use of connections by account, as decaying counts.

    Attributes:
      counts: The count of each account as of `counted_at`.
      counted_at: The time of the counts, in seconds on a monotonic clock.
    """

    counts: dict[str, float] = attrs.Factory(dict)
    counted_at: float = 0.0

    def record(self, account: str, now: float) -> None:
        """Record that an account got a connection.

        Args:
          account: The client account.
          now: The current time in seconds.
        """
        self.decay(now)
        self.counts[account] = self.counts.get(account, 0.0) + 1.0

    def decay(self, now: float) -> None:
        """Let the counts decay, at most once a second.

        Args:
          now: The current time in seconds.
        """
        elapsed = now - self.counted_at
        if elapsed < 1.0:
            return
        factor = 0.5 ** (elapsed / USE_HALF_LIFE_SECONDS)
        self.counts = {
            account: count * factor
            for account, count in self.counts.items()
            if count * factor >= MIN_USE
        }
        self.counted_at = now


def choose_idle(
    accounts: Sequence[str], account: str, differences: Callable[[int], int]
) -> int | None:
    """Return the index of the idle connection to use for an account, or None.

    It is the one that needs the least setup, and of these the most recently
    used one.

    Args:
      accounts: The accounts of the idle connections, the most recently used
        last.
      account: The account that needs a connection.
      differences: Returns how much setup the connection at an index needs.
    """
    return min(
        (index for index, one in enumerate(accounts) if one == account),
        key=lambda index: (differences(index), -index),
        default=None,
    )


def choose_eviction(
    accounts: Sequence[str], use: Mapping[str, float]
) -> int | None:
    """Return the index of the idle connection to close, or None.

    Those of accounts with the least use for each of their idle connections
    are closed first, and of these the least recently used.

    Args:
      accounts: The accounts of the idle connections, the least recently used
        first.
      use: The recent use of each account; 0 if missing.
    """
    idle_counts = collections.Counter(accounts)
    return min(
        range(len(accounts)),
        key=lambda index: (
            use.get(accounts[index], 0.0) / idle_counts[accounts[index]],
            index,
        ),
        default=None,
    )


def choose_control(accounts: Sequence[str]) -> int | None:
    """Return the index of the idle connection for a control command, or None.

    The most recently used one without an account is preferred, then the least
    recently used of the others.

    Args:
      accounts: The accounts of the idle connections, the most recently used
        last.
    """
    without_account = [
        index for index, account in enumerate(accounts) if not account
    ]
    if without_account:
        return without_account[-1]
    return 0 if accounts else None


def choose_waiter(
    first: WaitingRequest,
    own: WaitingRequest | None,
    can_open: bool,
    holds_share: bool,
) -> WaitingRequest | None:
    """Return the request that a returned connection serves.

    Args:
      first: The next request; no idle connection is of its account.
      own: The next request of the connection's account, if one waits.
      can_open: Whether a connection may be opened now for the first one.
      holds_share: Whether the account of the first one holds its share of the
        connections, so that it waits only for those.

    Returns:
      The request of the connection's account, or None if the connection may be
      closed in favour of the first one.
    """
    if own is None or not can_open or holds_share:
        return own
    if own.priority != first.priority:
        return None
    return own if first.waited_seconds < REUSE_SECONDS else None


def may_evict(first: WaitingRequest, holds_share: bool) -> bool:
    """Return whether an idle connection may be closed for a request.

    An account that holds its share of the connections usually gets one of them
    back sooner than a new one.

    Args:
      first: The next request; no idle connection is of its account.
      holds_share: Whether its account holds its share of the connections.
    """
    return not holds_share or first.waited_seconds >= REUSE_SECONDS


def may_hold_transaction(
    limit: int, held: int, own: int, accounts: int, others_wait: bool
) -> bool:
    """Return whether another transaction may hold a connection.

    Addresses transactions whose callers pause: without a limit, those of one
    account hold all connections of a pool while other accounts wait.

    Args:
      limit: The pool's limit of connections.
      held: The number of connections that transactions hold.
      own: Their number of the transaction's account.
      accounts: The number of accounts that hold connections or wait for one.
      others_wait: Whether requests of other accounts, of the same or a higher
        priority, have waited for `REUSE_SECONDS`.
    """
    left = math.ceil(limit * SINGLE_STATEMENT_SHARE) if limit > 1 else 0
    if held >= limit - left:
        return False
    return not others_wait or own < fair_share(limit, accounts)


def fair_share(total: float, accounts: int) -> int:
    """Return how many of `total` each of several accounts may have at least.

    Args:
      total: The number to share.
      accounts: The number of accounts, at least 1.
    """
    return max(1, math.floor(total / accounts))
