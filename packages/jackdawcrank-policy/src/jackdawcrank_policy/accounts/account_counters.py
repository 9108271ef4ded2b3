"""All accounts that a VM counts."""

from collections.abc import Callable, Sequence

import attrs

from jackdawcrank_policy.accounts.account_counter import (
    AccountCounter,
    AccountLimit,
)
from jackdawcrank_policy.accounts.counting_contacts import CountingContacts


@attrs.frozen
class TokenRequest:
    """A running VM's request and report about one account.

    Attributes:
      account: The account.
      wanted: Tokens for operations that wait.
      ahead: Tokens for operations that are expected.
      used: The VM's operations in the last window.
      unpaid: Operations that ran without a token since the last report.
      term: The term of the counter that granted the tokens reported here.
      spent: Tokens used since the last report.
      returned: Tokens that will not be used.
    """

    account: str
    wanted: int
    ahead: int
    used: int
    unpaid: int
    term: float
    spent: int
    returned: int


@attrs.frozen
class TokenGrant:
    """The answer about one account.

    Attributes:
      account: The account.
      tokens: The number of tokens.
      retry_seconds: When the next token will be there; 0 if none is missing.
      term: The term of the counter; 0 if this VM does not count the account.
    """

    account: str
    tokens: int
    retry_seconds: float
    term: float


class AccountCounters:
    """Counts the accounts for which this VM is the counting VM.

    Times are in seconds since boot.

    Attributes:
      contacts: Decide which accounts this VM counts, and for which share.
      counters: The counters by account.
      on_counting: Called with a new counter and its account after its first
        request.
    """

    def __init__(self, contacts: CountingContacts) -> None:
        self.contacts = contacts
        self.counters: dict[str, AccountCounter] = {}
        self.on_counting: Callable[[str, AccountCounter], None] = (
            lambda _account, _counter: None
        )

    def counter(
        self,
        account: str,
        limit: AccountLimit,
        ranked: Sequence[str],
        now: float,
    ) -> AccountCounter | None:
        """Return the counter of an account, or None if another VM counts it.

        Args:
          account: The account.
          limit: Its limit.
          ranked: The candidates in the order in which they count it.
          now: The current time.
        """
        since = self.contacts.counting_since(ranked, now)
        counter = self.counters.get(account)
        if since is None:
            self.counters.pop(account, None)
            return None
        limit = limit.part(self.contacts.share(ranked, now))
        if counter is None or since > counter.confirmed_at:
            # Another VM may have counted the account in the meantime.
            counter = AccountCounter(limit, since, now)
            self.counters[account] = counter
        counter.confirmed_at = now
        counter.apply_limit(limit, now)
        return counter

    def serve(
        self,
        vm: str,
        request: TokenRequest,
        limit: AccountLimit | None,
        ranked: Sequence[str],
        now: float,
    ) -> TokenGrant:
        """Answer a request.

        Args:
          vm: The VM that asks.
          request: The request.
          limit: The account's limit; None if it is not declared here.
          ranked: The candidates in the order in which they count it.
          now: The current time.
        """
        known = self.counters.get(request.account)
        counter = limit and self.counter(request.account, limit, ranked, now)
        if not counter:
            return TokenGrant(request.account, 0, 0.0, 0.0)
        counter.report(vm, request.term, request.spent, request.returned, now)
        counter.report_use(vm, request.unpaid, request.used, now)
        if counter is not known:
            self.on_counting(request.account, counter)
        granted = counter.grant(vm, request.wanted, request.ahead, now)
        return TokenGrant(
            request.account, granted.tokens, granted.retry_seconds, counter.term
        )

    def maintain(
        self,
        limit_of: Callable[[str], AccountLimit | None],
        ranked_of: Callable[[str], Sequence[str]],
        now: float,
    ) -> None:
        """Drop the counters of accounts that are unused or not declared.

        Args:
          limit_of: Returns the limit of a declared account.
          ranked_of: Returns the candidates in the order for an account.
          now: The current time.
        """
        for account in list(self.counters):
            limit = limit_of(account)
            counter = limit and self.counter(
                account, limit, ranked_of(account), now
            )
            # A counter that began now is announced with its first request.
            if not counter or counter.term == now or counter.idle(now):
                self.counters.pop(account, None)
