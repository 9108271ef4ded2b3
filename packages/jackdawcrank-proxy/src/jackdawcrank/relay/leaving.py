"""Ending the process without cutting anything."""

import asyncio

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.home_server import HomeServer
from jackdawcrank.seams.caller_frontend import CallerFrontend
from jackdawcrank.seams.replies import SessionState

# The balancer looks once a second and takes a VM out after two misses.
BALANCER_SECONDS = 2.3
# Open transactions have half of the grace to end.
TRANSACTION_SHARE = 0.5
# The last moment to roll back and answer before the process is killed.
RESERVE_SECONDS = 0.8
POLL_SECONDS = 0.05


class Leaving:
    """Sends new callers elsewhere, serves on, then lets sessions go.

    Attributes:
      front: Accepts callers.
      home_server: Runs what other proxies forward.
      grace_seconds: From the signal to the kill.
      begun: Whether the process is leaving.
    """

    def __init__(
        self,
        front: CallerFrontend,
        home_server: HomeServer,
        grace_seconds: float,
        log: DecisionLog,
    ) -> None:
        self.front = front
        self.home_server = home_server
        self.grace_seconds = grace_seconds
        self.log = log
        self.begun = False

    async def leave(self) -> None:
        """Return when every session has ended or the grace is used up."""
        self.begun = True
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.home_server.leave()
        self.log.event("leaving", sessions=len(self.front.sessions()))
        await asyncio.sleep(
            min(BALANCER_SECONDS, self.grace_seconds * TRANSACTION_SHARE)
        )
        give_up_at = start + self.grace_seconds - RESERVE_SECONDS
        while loop.time() < give_up_at:
            self.front.close_idle()
            if not self.front.sessions() and not self.home_server.busy():
                break
            await asyncio.sleep(POLL_SECONDS)
        open_transactions = sum(
            one.state is not SessionState.IDLE for one in self.front.sessions()
        )
        self.log.event(
            "left",
            cut_transactions=open_transactions,
            seconds=round(loop.time() - start, 2),
        )
