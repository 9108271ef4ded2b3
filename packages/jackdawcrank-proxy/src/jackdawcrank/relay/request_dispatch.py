"""Choice of the request that a connection serves."""

from jackdawcrank.relay.connection_opening import ConnectionOpening
from jackdawcrank.relay.connection_requests import (
    AccountShares,
    Waiter,
    waiting_request,
)
from jackdawcrank_policy.accounts.connection_choice import (
    REUSE_SECONDS,
    WaitingRequest,
    choose_eviction,
    choose_idle,
    choose_waiter,
    may_evict,
)

# Delay before the next attempt to connect to a full server after a connection
# to it has been closed: three round trips between regions (16 ms each), so that
# the server sees the closing first.
FREED_PAUSE_SECONDS = 0.05


class RequestDispatch(ConnectionOpening):
    """Gives connections to waiting requests."""

    def open_more(self) -> None:
        """Serve waiting requests, and open connections that they could use."""
        while self.serve_next():
            pass

    def serve_next(self) -> bool:
        """Give away one idle connection or start to open one.

        Returns:
          Whether more requests may be served now.
        """
        if self.retired or not self.queue.length:
            return False
        now = self.loop.time()
        shares = AccountShares(self)
        waiter = self.next_waiter(now, shares)
        if waiter is None:
            return False
        index = choose_idle(
            self.idle_accounts(), waiter.account, lambda _index: 0
        )
        if index is not None:
            self.grant(waiter, index)
            return False
        can_open = self.can_open_for(waiter, now, shares)
        if can_open and self.count < self.limit:
            self.start_opening(waiter.account)
            return True
        holds_share = shares.holds_connections(waiter.account)
        request = waiting_request(waiter, now)
        if self.serve_own(request, can_open, shares, now):
            return False
        refused = self.close_for_full and now < self.full_until
        if refused and may_evict(request, holds_share):
            self.close_idle_for_full(now)
        if not can_open or not may_evict(request, holds_share):
            self.serve_after_reuse(request)
            return False
        return self.replace_idle(waiter.account)

    def close_idle_for_full(self, now: float) -> None:
        """Close an idle connection, since the server refused a new one as full.

        No request of its account may be served now, and the next request is of
        another account.

        Args:
          now: The current time, in seconds on the loop's clock.
        """
        index = choose_eviction(self.idle_accounts(), self.account_use.counts)
        if index is None:
            return
        self.take(index).close()
        self.count -= 1
        self.close_for_full = False
        until = now + FREED_PAUSE_SECONDS
        if until < self.full_until:
            self.full_until = until
            self.loop.call_at(until, self.open_more)

    def serve_after_reuse(self, request: WaitingRequest) -> None:
        """Serve again once a request has waited for `REUSE_SECONDS`.

        From then on it may get a connection that it may not get now, and
        nothing else need happen in the pool until then.

        Args:
          request: The next request.
        """
        left = REUSE_SECONDS - request.waited_seconds
        if left > 0 and self.queue.has_accounts() and not self.reuse_handle:
            self.reuse_handle = self.loop.call_later(left, self.reuse_ended)

    def reuse_ended(self) -> None:
        """Serve requests that have waited for `REUSE_SECONDS`."""
        self.reuse_handle = None
        self.open_more()

    def replace_idle(self, account: str) -> bool:
        """Close an idle connection and start to open one for an account.

        Returns False if no connection is idle or the pool has too many.

        Args:
          account: The client account; no idle connection is of it.
        """
        index = choose_eviction(self.idle_accounts(), self.account_use.counts)
        if index is None or self.count > self.limit:
            return False
        self.take(index).close()
        self.count -= 1
        self.start_opening(account)
        return True

    def next_waiter(self, now: float, shares: AccountShares) -> Waiter | None:
        """Return the request to serve next, or None.

        It is the first one that an idle connection serves or that no
        connection is being opened for. While all connections are open, requests
        of accounts that hold their share of them come last: they get those that
        their accounts return. Transactions beyond their limits are passed over.
        """
        if not self.queue.has_accounts() and not self.opening:
            return self.queue.head(now)
        opening = self.opening_for.copy()
        idle = set(self.idle_accounts())
        with_share = None
        for waiter in self.queue.in_order(now):
            account = waiter.account
            if not shares.may_serve(waiter.item):
                continue
            if account in idle:
                return waiter
            if opening[account] > 0:
                opening[account] -= 1
            elif self.count < self.limit or not shares.holds_connections(
                account
            ):
                return waiter
            elif with_share is None:
                with_share = waiter
        return with_share

    def grant(self, waiter: Waiter, index: int) -> None:
        """Pass an idle connection to a waiting request of its account."""
        by_account = self.queue.has_accounts()
        if waiter.item.granted.done():
            # The request was cancelled and has not left the queue yet.
            self.queue.cancel(waiter)
            self.loop.call_soon(self.open_more)
            return
        connection = self.take(index)
        if connection.closed:
            self.count -= 1
            self.loop.call_soon(self.open_more)
            return
        self.queue.serve(waiter)
        if waiter.item.transaction:
            self.transactions.add(connection)
        waiter.item.granted.set_result(connection)
        if by_account:
            # The request enters the limiter first.
            self.loop.call_soon(self.open_more)

    def serve_own(
        self,
        first: WaitingRequest,
        can_open: bool,
        shares: AccountShares,
        now: float,
    ) -> bool:
        """Serve a request of an idle connection's account before the first.

        Args:
          first: The next request; no idle connection is of its account.
          can_open: Whether a connection may be opened for it.
          shares: The connections that accounts hold.
          now: The current time, in seconds on the loop's clock.
        """
        holds_share = shares.holds_connections(first.account)
        for index in reversed(range(len(self.idle))):
            own = self.queue.head_of(
                self.idle[index].connection.account, now, shares.may_serve
            )
            request = waiting_request(own, now) if own else None
            chosen = choose_waiter(first, request, can_open, holds_share)
            if own is not None and chosen is not None:
                self.grant(own, index)
                return True
        return False
