"""Count of one account's operations at its counting VM."""

import collections
import math

import attrs

# A running VM may use granted tokens for this time after its request.
GRANT_SECONDS = 1.0
# How long the counter waits for the report on granted tokens. Allows for a
# report interval and a late message.
REPORT_SECONDS = GRANT_SECONDS + 0.5
# Parts of the allowed excess and slack. The account's rate is raised by 0.2 of
# the excess. A quarter of the slack raises the burst, and a quarter is what a
# new counting VM starts from; two may start within one window. The share of
# isolated VMs uses half of the excess and the last quarter of the slack.
RATE_EXCESS_PART = 0.2
SLACK_PART = 0.25
ISOLATED_EXCESS_PART = 0.5
ISOLATED_SLACK_PART = 0.25
# The shortest time after which a running VM is told to ask again.
MIN_RETRY_SECONDS = 0.01


@attrs.frozen
class AccountLimit:
    """The limit of an account over all VMs.

    Attributes:
      rate: Operations per second.
      burst: Operations beyond the rate.
      window_seconds: The span in which operations are counted.
      excess_share: The share by which the limit may be exceeded in a span.
      slack: The operations by which it may be exceeded besides.
    """

    rate: float
    burst: float
    window_seconds: float
    excess_share: float
    slack: float

    @property
    def counted_rate(self) -> float:
        """The rate at which the bucket is filled."""
        return self.rate * (1 + RATE_EXCESS_PART * self.excess_share)

    @property
    def capacity(self) -> float:
        """The size of the bucket."""
        return self.burst + SLACK_PART * self.slack

    def part(self, share: float) -> "AccountLimit":
        """Return the limit of a part of the fleet.

        Args:
          share: The share of the limit, from 0 to 1.
        """
        return attrs.evolve(
            self,
            rate=self.rate * share,
            burst=self.burst * share,
            slack=self.slack * share,
        )

    def isolated_operations(self, vms: int) -> int:
        """Return what a VM may run in a window without a counting VM.

        The sum over all VMs stays within the excess and slack, since another
        part of the VMs may use the whole limit at the same time.

        Args:
          vms: The number of VMs.
        """
        whole = self.rate * self.window_seconds + self.burst
        spare = (
            ISOLATED_EXCESS_PART * self.excess_share * whole
            + ISOLATED_SLACK_PART * self.slack
        )
        fair = self.rate * self.window_seconds / max(1, vms) + 1
        return math.floor(min(fair, spare / max(1, vms)))


@attrs.frozen
class Granted:
    """The answer to a request for tokens.

    Attributes:
      tokens: The number of tokens.
      retry_seconds: When the next token will be there; 0 if all that was
        needed has been granted.
    """

    tokens: int
    retry_seconds: float


class AccountCounter:
    """A token bucket from which running VMs get tokens.

    Tokens that were granted and not yet reported as used count towards the
    size of the bucket. So the operations in any span are bounded as if each had
    taken its token when it ran.

    Times are in seconds since boot.

    Attributes:
      limit: The account's limit.
      term: When this counter began; identifies its tokens.
      level: The tokens in the bucket; negative after operations that ran
        without a token.
      filled_at: When the level was last computed.
      outstanding: The times and numbers of tokens granted to each VM and not
        reported as used.
      used: The operations in the last window, as last reported by each VM.
      requested_at: When the last request arrived.
      confirmed_at: When this VM was last known to count the account.
    """

    def __init__(
        self, limit: AccountLimit, counting_since: float, now: float
    ) -> None:
        self.limit = limit
        self.term = now
        # Operations before this VM began to count are not known for certain:
        # the VMs that ran them may be lost. The bucket is therefore empty then.
        self.level = min(
            limit.capacity,
            SLACK_PART * limit.slack
            + limit.counted_rate * (now - counting_since),
        )
        self.filled_at = now
        self.outstanding: dict[str, collections.deque[tuple[float, int]]] = {}
        self.used: dict[str, int] = {}
        self.requested_at = now
        self.confirmed_at = now

    def apply_limit(self, limit: AccountLimit, now: float) -> None:
        """Apply a changed limit.

        Args:
          limit: The limit that is in force now.
          now: The current time.
        """
        if limit != self.limit:
            self.fill(now)
            self.limit = limit
            self.fill(now)

    def outstanding_tokens(self) -> int:
        """Return the number of tokens that may still be used."""
        return sum(
            count for lots in self.outstanding.values() for _, count in lots
        )

    def fill(self, now: float) -> None:
        """Add the tokens of the time since the last call.

        Args:
          now: The current time.
        """
        for vm in list(self.outstanding):
            lots = self.outstanding[vm]
            while lots and now - lots[0][0] > REPORT_SECONDS:
                lots.popleft()
            if not lots:
                del self.outstanding[vm]
        added = max(0.0, now - self.filled_at) * self.limit.counted_rate
        self.filled_at = max(now, self.filled_at)
        self.level = min(
            self.level + added,
            self.limit.capacity - self.outstanding_tokens(),
        )

    def report(
        self, vm: str, term: float, spent: int, returned: int, now: float
    ) -> None:
        """Record what became of granted tokens since a VM's last report.

        Args:
          vm: The VM.
          term: The term of the counter that granted the tokens.
          spent: The number of this counter's tokens that it used.
          returned: The number of tokens that it will not use.
          now: The current time.
        """
        if term != self.term:
            # These tokens were taken from the bucket of an earlier counter.
            return
        self.fill(now)
        lots = self.outstanding.setdefault(vm, collections.deque())
        self.take(lots, spent)
        # Tokens whose time for reports has passed are counted as used.
        self.level += self.take(lots, returned)

    def report_use(self, vm: str, unpaid: int, used: int, now: float) -> None:
        """Record what a VM has run.

        Args:
          vm: The VM.
          unpaid: The number of operations that ran without a token.
          used: Its operations in the last window.
          now: The current time.
        """
        self.fill(now)
        self.requested_at = now
        self.level -= max(0, unpaid)
        if used or vm in self.used:
            self.used[vm] = used

    def take(
        self, lots: collections.deque[tuple[float, int]], count: int
    ) -> int:
        """Remove the oldest tokens; return how many there were."""
        taken = 0
        while lots and taken < count:
            granted_at, tokens = lots.popleft()
            part = min(tokens, count - taken)
            taken += part
            if part < tokens:
                lots.appendleft((granted_at, tokens - part))
        return taken

    def grant(self, vm: str, wanted: int, ahead: int, now: float) -> Granted:
        """Grant tokens to a VM.

        Args:
          vm: The VM.
          wanted: The number of tokens for operations that wait.
          ahead: The number of tokens for operations that are expected. They
            are taken from the upper half of the bucket only, so that they are
            not missing elsewhere.
          now: The current time.
        """
        self.fill(now)
        self.requested_at = now
        needed = max(0, min(wanted, math.floor(self.level)))
        spare = self.level - needed - self.limit.capacity / 2
        tokens = needed + max(0, min(ahead, math.floor(spare)))
        if tokens:
            self.level -= tokens
            lots = self.outstanding.setdefault(vm, collections.deque())
            lots.append((now, tokens))
        if needed >= wanted:
            return Granted(tokens, 0.0)
        return Granted(tokens, self.retry_seconds())

    def retry_seconds(self) -> float:
        """Return the time until the bucket holds a token."""
        window = self.limit.window_seconds
        if self.limit.counted_rate <= 0:
            return window
        seconds = (1 - self.level) / self.limit.counted_rate
        return min(window, max(MIN_RETRY_SECONDS, seconds))

    def idle(self, now: float) -> bool:
        """Return whether the account is unused and its bucket is full.

        Args:
          now: The current time.
        """
        self.fill(now)
        return (
            self.level >= self.limit.capacity
            and now - self.requested_at > 2 * self.limit.window_seconds
        )
