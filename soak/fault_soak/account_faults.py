"""Faults of client accounts: withdrawn keys and one that sends too much."""

import asyncio
import itertools
import random

from fault_soak.accounts import CALLER_ACCOUNTS, HOT_ACCOUNT, SoakAccounts
from fault_soak.callers import Caller, CallHistory
from fault_soak.world import SoakEnvironment

HOT_CALLERS = 8
# Longer than half a window, so that a limit kept only by each VM shows.
HOT_SECONDS = (3.0, 6.0)
CALM_SECONDS = (0.2, 1.5)


class AccountFaults:
    """Injects faults of client accounts, beside those of `RandomFaults`.

    It draws from a random generator of its own, so that a seed decides the same
    other faults with and without accounts.

    Attributes:
      environment: Environment of the run.
      history: Answers recorded by all callers.
      accounts: Client accounts of the run.
      injected: Names of the injected faults, in order.
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        history: CallHistory,
        accounts: SoakAccounts,
        rng: random.Random,
    ) -> None:
        self.rng = rng
        self.injected: list[str] = []
        self.environment = environment
        self.history = history
        self.accounts = accounts
        self.numbers = itertools.count()

    async def run(self) -> None:
        """Withdraw keys and exceed the limit in turn until cancelled."""
        for fault in itertools.cycle((self.revoke, self.hot_account)):
            await asyncio.sleep(self.rng.uniform(*CALM_SECONDS))
            self.injected.append(fault.__name__)
            await fault()

    async def revoke(self) -> None:
        """Withdraw the key of a random account; another one takes its place."""
        account = self.rng.choice(CALLER_ACCOUNTS)
        self.accounts.replace_key(account, self.environment.platform)

    async def hot_account(self) -> None:
        """Send much more than the limit of one account through all proxies."""
        callers = [
            Caller(
                f"h{next(self.numbers)}",
                self.environment,
                self.history,
                random.Random(self.rng.random()),
                self.accounts,
                HOT_ACCOUNT,
            )
            for _ in range(HOT_CALLERS)
        ]
        for caller in callers:
            caller.pause_seconds = 0.0
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        try:
            await asyncio.sleep(self.rng.uniform(*HOT_SECONDS))
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for caller in callers:
                caller.drop()
