"""Requests for connections, and the connections that accounts hold."""

import asyncio
import collections
import functools
import typing

import attrs

from jackdawcrank.seams.server_connection import NotOpened, ServerConnection
from jackdawcrank_policy.accounts.connection_choice import (
    REUSE_SECONDS,
    WaitingRequest,
    fair_share,
    may_hold_transaction,
)
from jackdawcrank_policy.waiting.fair_wait_queue import FairWaitEntry

if typing.TYPE_CHECKING:
    from jackdawcrank.relay.pool_connections import PoolConnections

OpenResult = ServerConnection | NotOpened


@attrs.frozen
class WaitLimitExceeded:
    """The wait limit passed, or would pass before the statement is sent."""


@attrs.frozen
class ConnectionRequest:
    """A request that waits for a connection.

    Attributes:
      account: The client account that needs the connection; empty for none.
      priority: Lower values are served first.
      since: When it began to wait, in seconds on the loop's clock.
      granted: Receives the connection, or why none was opened.
      transaction: Whether a transaction will hold the connection.
    """

    account: str
    priority: int
    since: float
    granted: asyncio.Future[OpenResult]
    transaction: bool = False


Waiter = FairWaitEntry[ConnectionRequest]


def waiting_request(waiter: Waiter, now: float) -> WaitingRequest:
    """Return a waiting request as the choices of policy see it.

    Args:
      waiter: Its entry in the queue.
      now: The current time, in seconds on the loop's clock.
    """
    return WaitingRequest(
        waiter.account, waiter.priority, now - waiter.item.since
    )


class AccountShares:
    """The connections that accounts hold and their shares, at one moment.

    Attributes:
      pool: The pool.
    """

    def __init__(self, pool: "PoolConnections") -> None:
        self.pool = pool

    @functools.cached_property
    def held(self) -> collections.Counter[str]:
        """The number of connections in use and being opened, by account."""
        held = collections.Counter(one.account for one in self.pool.in_use)
        held.update(self.pool.opening_for)
        return held

    @functools.cached_property
    def in_transactions(self) -> collections.Counter[str]:
        """The number of connections that transactions hold, by account."""
        return collections.Counter(
            one.account for one in self.pool.transactions
        )

    def may_serve(self, request: ConnectionRequest) -> bool:
        """Return whether a request may get a connection now.

        Only transactions of client accounts are limited.
        """
        if not request.transaction or not request.account:
            return True
        return may_hold_transaction(
            self.pool.limit,
            self.in_transactions.total(),
            self.in_transactions[request.account],
            self.active,
            self.others_wait(request),
        )

    def others_wait(self, request: ConnectionRequest) -> bool:
        """Return whether requests of other accounts wait for too long.

        Only those of the same or a higher priority count. A request that has
        waited for less than `REUSE_SECONDS` may yet get a connection that its
        account returns.
        """
        latest = self.pool.loop.time() - REUSE_SECONDS
        return any(
            one.item.since <= latest and one.account != request.account
            for one in self.pool.queue.entries(request.priority)
        )

    @functools.cached_property
    def active(self) -> int:
        """The number of accounts that hold connections or wait for one."""
        waiting = self.pool.queue.waiting_accounts()
        return max(1, len(waiting | self.held.keys()))

    def holds_connections(self, account: str) -> bool:
        """Return whether an account holds its share of the connections."""
        share = fair_share(self.pool.limit, self.active)
        return self.held[account] >= share

    def holds_slots(self, account: str) -> bool:
        """Return whether an account can fill its share of the limiter."""
        share = fair_share(self.pool.limiter.window.size, self.active)
        return self.held[account] >= share
