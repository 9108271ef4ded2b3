"""Tokens for one account's operations at a VM that runs them."""

import collections
import math

import attrs

from jackdawcrank_policy.accounts.account_counter import (
    GRANT_SECONDS,
    AccountLimit,
)

# Reports that were not sent for this time are dropped: the counting VM counts
# these tokens as used by then.
MAX_REPORT_AGE_SECONDS = 0.45
# Tokens are asked for ahead for the operations expected in this time.
AHEAD_SECONDS = 0.5
# Unused tokens are returned when this time of their validity is left.
RETURN_SECONDS = 0.4
# Operations are counted in steps of this length, which bounds the memory.
STEP_SECONDS = 0.05
MAX_RETRY_SECONDS = 5.0
# After this time without a refusal, the queue of refused callers is empty.
QUEUE_SECONDS = 0.5


@attrs.frozen
class Holder:
    """A counting VM.

    Attributes:
      vm: The VM.
      term: When its counter of the account began. Tokens of an earlier counter
        are unknown to the present one.
    """

    vm: str
    term: float


@attrs.define
class Lot:
    """Tokens of one grant.

    Attributes:
      holder: The counting VM that granted them.
      expires_at: When they become invalid.
      count: The number of unused tokens.
    """

    holder: Holder
    expires_at: float
    count: int


@attrs.define(eq=False)
class Admission:
    """An admitted operation.

    Attributes:
      account: The account.
      holder: The counting VM whose token it uses; None without a token.
      expires_at: When it may no longer be sent to a server.
      at: When it was admitted, or last sent to a server.
      sent: Whether it was sent and the server may have run it.
    """

    account: str
    holder: Holder | None = None
    expires_at: float = 0.0
    at: float = 0.0
    sent: bool = False


@attrs.define
class Report:
    """What a counting VM is told, since the last report to it.

    Attributes:
      began_at: When the first of these tokens was used or returned.
      spent: Tokens of this counting VM that were used.
      returned: Tokens that will not be used.
    """

    began_at: float
    spent: int = 0
    returned: int = 0


class AccountAllowance:
    """The tokens and the recent operations of an account.

    Times are in seconds since boot.

    Attributes:
      account: The account's name.
      started_at: When this process began.
      lots: The unused tokens, oldest first.
      held: The admitted operations that are not being run. Their tokens count
        as unused, so that operations that wait for a server and then run
        together do not exceed the limit.
      steps: The numbers of operations in the window, by step.
      isolated_steps: Those of them that used the share of an isolated VM.
      arrivals: The numbers of operations that asked, by step.
      reports: What has not yet been reported to each counting VM.
      unpaid: Unreported operations that ran without a token.
      refused_until: The counting VM has no token before this time.
      refused: The operations refused since the last grant.
      refused_at: When the last operation was refused.
      asked_at: When the last operation asked.
    """

    def __init__(self, account: str, started_at: float, now: float) -> None:
        self.account = account
        self.started_at = started_at
        self.lots: list[Lot] = []
        self.held: set[Admission] = set()
        self.steps: collections.Counter[int] = collections.Counter()
        self.isolated_steps: collections.Counter[int] = collections.Counter()
        self.arrivals: collections.Counter[int] = collections.Counter()
        self.reports: dict[Holder, Report] = {}
        self.unpaid = 0
        self.refused_until = 0.0
        self.refused = 0
        self.refused_at = -math.inf
        self.asked_at = now

    def arrived(self, now: float) -> None:
        """Count an operation that asks for a token.

        Args:
          now: The current time.
        """
        self.asked_at = now
        self.arrivals[step(now)] += 1
        drop_old(self.arrivals, now, 2 * AHEAD_SECONDS)

    def spend(self, now: float) -> Admission | None:
        """Use a token for an operation; return None if there is none.

        Args:
          now: The current time.
        """
        self.drop_expired(now)
        if not self.lots:
            return None
        lot = self.lots[0]
        lot.count -= 1
        if not lot.count:
            del self.lots[0]
        return self.hold(lot.holder, lot.expires_at, now)

    def hold(
        self, holder: Holder | None, expires_at: float, now: float
    ) -> Admission:
        """Return an admission for an operation that is not run yet."""
        admission = Admission(self.account, holder, expires_at, now)
        self.held.add(admission)
        return admission

    def spend_isolated(
        self, limit: AccountLimit, vms: int, now: float
    ) -> Admission | None:
        """Use the share that this VM has without a counting VM.

        A process that began less than a window ago has no share, since it does
        not know what its predecessor used.

        Args:
          limit: The account's limit.
          vms: The number of VMs.
          now: The current time.
        """
        if now - self.started_at <= limit.window_seconds:
            return None
        drop_old(self.isolated_steps, now, limit.window_seconds)
        used = self.isolated_steps.total()
        if used + 1 > limit.isolated_operations(vms):
            return None
        self.isolated_steps[step(now)] += 1
        return self.hold(None, now + GRANT_SECONDS, now)

    def may_run(self, admission: Admission, now: float) -> bool:
        """Return whether an operation may still be sent to a server.

        Args:
          admission: The operation.
          now: The current time.
        """
        return admission in self.held and now < admission.expires_at

    def begin_run(self, admission: Admission, now: float) -> bool:
        """Record that an operation is sent to a server now.

        Args:
          admission: The operation.
          now: The current time.

        Returns:
          Whether it may be sent.
        """
        if not self.may_run(admission, now):
            return False
        self.held.discard(admission)
        admission.sent = True
        self.steps[step(now)] += 1
        if admission.holder is None:
            remove_one(self.isolated_steps, step(admission.at))
            self.isolated_steps[step(now)] += 1
        admission.at = now
        return True

    def ran(self, admission: Admission, now: float) -> None:
        """Record that the server has received an operation.

        Args:
          admission: The operation.
          now: The current time.
        """
        # The counting VM takes tokens that are not reported in time for used.
        if admission.holder and now < admission.expires_at:
            self.report_to(admission.holder, now).spent += 1

    def not_run(self, admission: Admission) -> None:
        """Record that the server has not run an operation.

        It may be sent again. Does nothing if it was not sent.

        Args:
          admission: The operation.
        """
        if admission.sent:
            admission.sent = False
            remove_one(self.steps, step(admission.at))
            self.held.add(admission)

    def give_back(self, admission: Admission, now: float) -> None:
        """Take back the token of an operation that no server has run.

        A token that is no longer valid is not returned: its counting VM takes
        it for used, and has filled its bucket since.

        Args:
          admission: The operation; ignored unless it is held.
          now: The current time.
        """
        if admission not in self.held:
            return
        self.held.discard(admission)
        left = admission.expires_at - now
        if admission.holder is None:
            remove_one(self.isolated_steps, step(admission.at))
        elif left > RETURN_SECONDS:
            lot = Lot(admission.holder, admission.expires_at, 1)
            self.lots.insert(0, lot)
        elif left > 0:
            self.report_to(admission.holder, now).returned += 1

    def return_held(self, now: float) -> None:
        """Take back the tokens of operations that wait for too long.

        These operations must be admitted again before they may run.

        Args:
          now: The current time.
        """
        for admission in list(self.held):
            if admission.expires_at - now <= RETURN_SECONDS:
                self.give_back(admission, now)

    def ran_again(self, now: float) -> None:
        """Count a second run of an operation, which needs no token.

        Args:
          now: The current time.
        """
        self.steps[step(now)] += 1
        self.unpaid += 1

    def granted(
        self, holder: Holder, tokens: int, requested_at: float, now: float
    ) -> None:
        """Add granted tokens.

        Args:
          holder: The counting VM that granted them.
          tokens: The number of tokens.
          requested_at: When they were requested, so that a delayed grant is
            not used late.
          now: The current time.
        """
        expires_at = requested_at + GRANT_SECONDS
        if tokens > 0:
            self.refused = 0
            if expires_at > now:
                self.lots.append(Lot(holder, expires_at, tokens))

    def refuse(self, retry_seconds: float, rate: float, now: float) -> float:
        """Count a refusal; return when a token may be there for its caller.

        Args:
          retry_seconds: The time until the counting VM has a token.
          rate: The account's rate.
          now: The current time.
        """
        if now - self.refused_at > QUEUE_SECONDS:
            self.refused = 0
        self.refused_at = now
        queue = self.refused / rate if rate > 0 else MAX_RETRY_SECONDS
        self.refused += 1
        return min(MAX_RETRY_SECONDS, retry_seconds + queue)

    def ahead(self, now: float) -> int:
        """Return the number of tokens that are missing for expected demand.

        Args:
          now: The current time.
        """
        self.drop_expired(now)
        held = sum(one.count for one in self.lots)
        return max(0, self.expected(now) - held)

    def expected(self, now: float) -> int:
        """Return the number of operations expected in `AHEAD_SECONDS`.

        Args:
          now: The current time.
        """
        drop_old(self.arrivals, now, 2 * AHEAD_SECONDS)
        return math.ceil(self.arrivals.total() / 2)

    def drop_expired(self, now: float) -> None:
        """Return tokens that would expire soon, and drop expired ones.

        Args:
          now: The current time.
        """
        kept = []
        for lot in self.lots:
            left = lot.expires_at - now
            if left > RETURN_SECONDS:
                kept.append(lot)
            elif left > 0:
                self.report_to(lot.holder, now).returned += lot.count
        self.lots = kept

    def operations(self, window_seconds: float, now: float) -> int:
        """Return the number of operations in the last window.

        Args:
          window_seconds: The window.
          now: The current time.
        """
        drop_old(self.steps, now, window_seconds)
        return self.steps.total()

    def report_to(self, holder: Holder, now: float) -> Report:
        """Return what a counting VM has not been told yet."""
        return self.reports.setdefault(holder, Report(now))

    def take_report(self, holder: Holder, now: float) -> Report:
        """Return what a counting VM is to be told, as reported now.

        Args:
          holder: The counting VM.
          now: The current time.
        """
        self.reports = {
            key: one
            for key, one in self.reports.items()
            if now - one.began_at <= MAX_REPORT_AGE_SECONDS
        }
        return self.reports.pop(holder, Report(now))

    def take_unpaid(self) -> int:
        """Return the unreported operations without a token, as reported now."""
        unpaid, self.unpaid = self.unpaid, 0
        return unpaid

    def idle(self, window_seconds: float, now: float) -> bool:
        """Return whether the account had no operation for two windows.

        Args:
          window_seconds: The window.
          now: The current time.
        """
        return now - self.asked_at > 2 * window_seconds


def step(now: float) -> int:
    """Return the number of the step that a time belongs to."""
    return math.floor(now / STEP_SECONDS)


def drop_old(
    steps: collections.Counter[int], now: float, span_seconds: float
) -> None:
    """Remove the steps that lie wholly before a span that ends now."""
    oldest = step(now - span_seconds)
    for one in [key for key in steps if key < oldest]:
        del steps[one]


def remove_one(steps: collections.Counter[int], key: int) -> None:
    """Remove one operation from a step, if it is still counted."""
    if steps[key] > 1:
        steps[key] -= 1
    else:
        del steps[key]
