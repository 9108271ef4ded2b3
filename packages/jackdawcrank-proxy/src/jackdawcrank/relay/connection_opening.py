"""Opening of a pool's connections."""

import collections

from jackdawcrank.relay.connection_requests import (
    AccountShares,
    OpenResult,
    Waiter,
)
from jackdawcrank.relay.pool_connections import PoolConnections
from jackdawcrank.seams.server_connection import NotOpened, OpenFailure
from jackdawcrank_policy.accounts.connection_choice import REUSE_SECONDS

# Exceeds two round trips between regions (40 ms each), a handshake that waits
# for slots of a full server (27 ms each) and a delayed packet.
OPEN_TIMEOUT_SECONDS = 1.0
# Delay before the next attempt to connect to a full server, in which other
# proxies may close connections.
FULL_PAUSE_SECONDS = 0.25
# A handshake occupies one of the server's slots (3 to 6) for 12 to 27 ms, and
# many proxies connect at the same time when all of them start.
MAX_OPENING = 1
# Each account needs connections of its own. Two at a time take half of the
# slots of a server that has 4.
MAX_OPENING_FOR_ACCOUNTS = 2


class ConnectionOpening(PoolConnections):
    """Decides when connections are opened, and opens them."""

    def can_open_for(
        self, waiter: Waiter, now: float, shares: AccountShares
    ) -> bool:
        """Return whether a connection may be opened for a request now."""
        if now < self.full_until:
            return False
        if not self.queue.has_accounts():
            # A request with a new connection would only wait for the limiter.
            return self.opening < MAX_OPENING and self.limiter.has_room()
        if self.opening >= MAX_OPENING_FOR_ACCOUNTS:
            return False
        # The limiter may be filled by other accounts for as long as they send
        # statements.
        return self.limiter.has_room() or (
            now - waiter.item.since >= REUSE_SECONDS
            and not shares.holds_slots(waiter.account)
        )

    def start_opening(self, account: str) -> None:
        """Start to open one connection for an account."""
        self.count += 1
        self.opening += 1
        self.opening_for[account] += 1
        task = self.loop.create_task(self.open_one(account))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open_one(self, account: str) -> None:
        """Open one connection for an account and pass it to a waiting request."""
        outcome: OpenResult = NotOpened(
            OpenFailure.REFUSED, "opening was cancelled"
        )
        try:
            outcome = await self.opener.open(
                self.server, OPEN_TIMEOUT_SECONDS, account
            )
        finally:
            self.opening -= 1
            self.opening_for[account] -= 1
            self.opening_for += collections.Counter()
            if isinstance(outcome, NotOpened):
                self.count -= 1
        if isinstance(outcome, NotOpened):
            self.open_failed(outcome)
        else:
            self.close_for_full = False
            self.condition.position_seen(outcome.first_position)
            self.release(outcome)
        # The request that got this connection enters the limiter first.
        self.loop.call_soon(self.open_more)

    def open_failed(self, outcome: NotOpened) -> None:
        """Fail the waiting requests, as no connection could be opened.

        If the server is full and connections are open, the requests continue
        to wait for one of these.

        Args:
          outcome: The reason.
        """
        now = self.loop.time()
        self.log.event(
            "connection_failed",
            server=self.server.server_id,
            group=self.server.group,
            reason=outcome.failure.value,
            detail=outcome.detail,
            held=self.count,
        )
        if outcome.failure is OpenFailure.FULL:
            self.full_until = now + FULL_PAUSE_SECONDS
            self.close_for_full = True
            self.loop.call_later(FULL_PAUSE_SECONDS, self.open_more)
            if self.count:
                return
        else:
            self.condition.failed(now)
        for waiting in self.queue.clear():
            if not waiting.granted.done():
                waiting.granted.set_result(outcome)
