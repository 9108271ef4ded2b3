"""Client accounts of a run, and the checks of their guarantees."""

import collections
import itertools
import random
import time
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from jackdawcrank_standins.users_platform import Run, StandinPlatform

REVOCATION_SECONDS = 5.0
WINDOW_SECONDS = 5.0
EXCESS_SHARE = 0.1
SLACK_OPERATIONS = 20
BOUNDS = [
    "strictRevoke = true",
    f"revokeMs = {REVOCATION_SECONDS * 1_000:.0f}",
    f"quotaWindowS = {WINDOW_SECONDS}",
    f"quotaExcess = {EXCESS_SHARE}",
    f"quotaSlack = {SLACK_OPERATIONS}",
]
# The callers of a run send about 250 operations/s in all, and so never reach
# the limit of their account.
CALLER_ACCOUNTS = ("account0", "account1", "account2")
CALLER_LIMIT = (300.0, 300.0)
HOT_ACCOUNT = "hot"
# Eight callers without pauses send about ten times as much.
HOT_LIMIT = (20.0, 20.0)
# How often a caller connects with a key that has been withdrawn.
OLD_KEY_SHARE = 0.2


@attrs.frozen
class SentStatement:
    """A statement that a caller sent.

    Attributes:
      account: Client account of the caller.
      key: Key that the caller connected with.
      at: Time of sending on the monotonic clock, in seconds.
    """

    account: str
    key: str
    at: float


class SoakAccounts:
    """The declared accounts and the keys that they had.

    Attributes:
      limits: Rate and burst by account.
      keys: Keys by account, in the order of their declaration; only the last
        one is declared.
      withdrawn_at: When the store acknowledged a configuration without a key,
        on the monotonic clock, by key.
    """

    def __init__(self) -> None:
        self.numbers = itertools.count()
        self.limits = dict.fromkeys(CALLER_ACCOUNTS, CALLER_LIMIT)
        self.limits[HOT_ACCOUNT] = HOT_LIMIT
        self.keys = {name: [self.next_key(name)] for name in self.limits}
        self.withdrawn_at: dict[str, float] = {}

    def next_key(self, account: str) -> str:
        """Return a key that was never declared."""
        return f"key-{account}-{next(self.numbers)}"

    def account_of_caller(self, number: int) -> str:
        """Return the account of a caller by its number."""
        return CALLER_ACCOUNTS[number % len(CALLER_ACCOUNTS)]

    def declare(self, platform: StandinPlatform) -> None:
        """Put the accounts into the next configuration of the platform."""
        platform.account_bounds = BOUNDS
        platform.accounts = [
            {
                "name": name,
                "apiKeys": [self.keys[name][-1]],
                "ratePerS": rate,
                "burst": burst,
            }
            for name, (rate, burst) in self.limits.items()
        ]

    def replace_key(self, account: str, platform: StandinPlatform) -> None:
        """Withdraw the key of an account and declare another one.

        Args:
          account: Account.
          platform: Platform whose configuration is written.
        """
        withdrawn = self.keys[account][-1]
        self.keys[account].append(self.next_key(account))
        self.declare(platform)
        platform.configure()
        self.withdrawn_at[withdrawn] = time.monotonic()

    def choose_key(self, account: str, rng: random.Random) -> str:
        """Return the key for a new connection, sometimes a withdrawn one."""
        keys = self.keys[account]
        if len(keys) > 1 and rng.random() < OLD_KEY_SHARE:
            return rng.choice(keys[:-1])
        return keys[-1]


def check_accounts(
    accounts: SoakAccounts,
    sent: Mapping[tuple[str, str], SentStatement],
    runs: Mapping[str, Sequence[Run]],
) -> list[str]:
    """Return descriptions of violated guarantees.

    Args:
      accounts: Accounts of the run.
      sent: Statements of callers by request id and text.
      runs: Runs by server.
    """
    return [
        *check_statements(accounts, sent, itertools.chain(*runs.values())),
        *check_limits(accounts, runs),
    ]


def check_statements(
    accounts: SoakAccounts,
    sent: Mapping[tuple[str, str], SentStatement],
    runs: Iterable[Run],
) -> Iterator[str]:
    """Yield violations of single statements."""
    for run in runs:
        statement = sent.get((run.request_id, run.text))
        name = f"{run.request_id} {run.text}"
        if statement is None:
            yield f"ACCOUNT: {name} ran, but no caller sent it"
            continue
        if run.account != statement.account:
            yield (
                f"ACCOUNT: {name} of {statement.account} ran under "
                f"{run.account!r}"
            )
        withdrawn_at = accounts.withdrawn_at.get(statement.key)
        if withdrawn_at is None:
            continue
        seconds = statement.at - withdrawn_at
        if seconds > REVOCATION_SECONDS:
            yield (
                f"REVOKED: {name} ran, sent {seconds:.2f} s after its key was "
                "withdrawn"
            )


def check_limits(
    accounts: SoakAccounts, runs: Mapping[str, Sequence[Run]]
) -> Iterator[str]:
    """Yield accounts with more operations than allowed in some window."""
    for account, times in operation_times(runs).items():
        if account not in accounts.limits:
            continue
        rate, burst = accounts.limits[account]
        allowed = (rate * WINDOW_SECONDS + burst) * (1 + EXCESS_SHARE)
        allowed += SLACK_OPERATIONS
        most = most_in_window(times)
        if most > allowed:
            yield (
                f"LIMIT: {most} operations of {account} ran within "
                f"{WINDOW_SECONDS} s; {allowed:.0f} are allowed"
            )


def operation_times(
    runs: Mapping[str, Sequence[Run]],
) -> dict[str, list[float]]:
    """Return the times of operations by account, in order.

    A transaction is one operation at the time of its first run.
    """
    times: dict[str, list[float]] = collections.defaultdict(list)
    transactions: set[tuple[str, int, int]] = set()
    for server, server_runs in runs.items():
        for run in server_runs:
            transaction = (server, run.connection, run.transaction)
            if run.transaction and transaction in transactions:
                continue
            transactions.add(transaction)
            times[run.account].append(run.at)
    return {account: sorted(found) for account, found in times.items()}


def most_in_window(times: Sequence[float]) -> int:
    """Return the most operations in any window.

    Args:
      times: Times of operations, in order.
    """
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most
