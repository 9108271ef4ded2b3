"""Graceful shutdown of the process."""

import asyncio

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.home_server import HomeServer
from jackdawcrank.seams.caller_frontend import CallerFrontend
from jackdawcrank.seams.replies import SessionState

# The load balancer checks a VM once a second and removes it after two failed
# checks.
LOAD_BALANCER_SECONDS = 2.3
# Share of the grace period that open transactions have to end. New work is
# refused after it.
TRANSACTION_GRACE_SHARE = 0.5
# Time kept to roll back and answer before the process is killed.
ROLLBACK_RESERVE_SECONDS = 0.8
POLL_SECONDS = 0.05


class GracefulShutdown:
    """Sheds new callers, keeps serving, then ends sessions.

    Sessions end between two requests. Statements that still run at the end of
    the grace period get their final answer before the process stops.

    Attributes:
      front: Accepts callers.
      home_server: Runs statements that other proxies forward.
      grace_seconds: The time from the stop signal to the kill.
      begun: Whether the shutdown has begun.
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

    async def drain(self) -> None:
        """Wait until all sessions end or the grace period is nearly over."""
        self.begun = True
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.home_server.leave()
        self.log.event("leaving", sessions=len(self.front.sessions()))
        transaction_grace = self.grace_seconds * TRANSACTION_GRACE_SHARE
        await asyncio.sleep(min(LOAD_BALANCER_SECONDS, transaction_grace))
        self.front.close_after_answers()
        deadline = start + self.grace_seconds - ROLLBACK_RESERVE_SECONDS
        while loop.time() < deadline:
            if loop.time() >= start + transaction_grace:
                self.front.refuse_new_work()
            if not self.front.close_idle() and not self.home_server.busy():
                break
            await asyncio.sleep(POLL_SECONDS)
        await self.front.give_up()
        open_transactions = sum(
            one.state is not SessionState.IDLE for one in self.front.sessions()
        )
        self.log.event(
            "left",
            cut_transactions=open_transactions,
            seconds=round(loop.time() - start, 2),
        )
