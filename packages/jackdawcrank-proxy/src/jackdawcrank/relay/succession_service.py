"""Watching the primaries of all groups."""

import random

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.claim_rows import ClaimRows
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.group_succession import GroupSuccession
from jackdawcrank.seams.promotion_service import PromotionService
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# A loss is noticed by statements; this only bounds when it is acted on.
CHECK_SECONDS = 0.1


class SuccessionService:
    """Keeps one `GroupSuccession` for each group of the directory.

    Attributes:
      directory: The groups.
      watches: The watches by group.
    """

    def __init__(
        self,
        directory: Directory,
        vm: str,
        process: str,
        claims: ClaimRows,
        authority: PromotionService,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.directory = directory
        self.vm = vm
        self.process = process
        self.claims = claims
        self.authority = authority
        self.log = log
        self.rng = rng
        self.watches: dict[str, GroupSuccession] = {}
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Begin to watch.

        Args:
          timer: Calls the service back.
        """
        self.subscription = timer.subscribe(
            "succession", CHECK_SECONDS, self.check
        )

    async def close(self) -> None:
        """Stop watching."""
        if self.subscription:
            self.subscription.close()
        for watch in self.watches.values():
            await watch.close()

    async def check(self, _now: float) -> None:
        """Look at every group.

        Args:
          _now: The timer's time.
        """
        groups = self.directory.groups
        for name in self.watches.keys() - groups.keys():
            await self.watches.pop(name).close()
        for name, group in groups.items():
            if name not in self.watches:
                self.watches[name] = GroupSuccession(
                    group,
                    self.vm,
                    self.process,
                    self.claims,
                    self.authority,
                    self.log,
                    self.rng,
                )
            if group.homes.is_home(group.group):
                self.watches[name].check()
