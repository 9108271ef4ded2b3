"""Succession of the primaries of all groups."""

import random
from collections.abc import Awaitable, Callable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.claim_rows import ClaimRows
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.group_succession import GroupSuccession
from jackdawcrank.relay.indirect_probes import IndirectProbes
from jackdawcrank.seams.promotion_service import PromotionService
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# Statements detect a failure; this interval bounds the delay of the reaction.
CHECK_SECONDS = 0.1


class SuccessionService:
    """Keeps one `GroupSuccession` for each group of the directory.

    Attributes:
      directory: Holds the groups.
      refresh_servers: Reads the table of servers; returns whether the store
        answered.
      indirect_probes: Probes primaries through other proxies.
      successions: The succession of each group by the group's name.
    """

    def __init__(
        self,
        directory: Directory,
        vm: str,
        process: str,
        claims: ClaimRows,
        promotion_service: PromotionService,
        refresh_servers: Callable[[], Awaitable[bool]],
        indirect_probes: IndirectProbes,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.directory = directory
        self.vm = vm
        self.process = process
        self.claims = claims
        self.promotion_service = promotion_service
        self.refresh_servers = refresh_servers
        self.indirect_probes = indirect_probes
        self.log = log
        self.rng = rng
        self.successions: dict[str, GroupSuccession] = {}
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Start the periodic check.

        Args:
          timer: Schedules the check.
        """
        self.subscription = timer.subscribe(
            "succession", CHECK_SECONDS, self.check
        )

    async def close(self) -> None:
        """Stop the periodic check and all successions."""
        if self.subscription:
            self.subscription.close()
        for succession in self.successions.values():
            await succession.close()

    async def check(self, _now: float) -> None:
        """Check the groups of which this proxy is a home.

        Args:
          _now: The timer's time in seconds; not used.
        """
        groups = self.directory.groups
        for name in self.successions.keys() - groups.keys():
            await self.successions.pop(name).close()
        for name, group in groups.items():
            if name not in self.successions:
                self.successions[name] = GroupSuccession(
                    group,
                    self.vm,
                    self.process,
                    self.claims,
                    self.promotion_service,
                    self.refresh_servers,
                    self.indirect_probes,
                    self.log,
                    self.rng,
                )
            if group.homes.is_home(group.group):
                self.successions[name].check()
