"""Ending transactions whose callers rest in them."""

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.directory import Directory
from jackdawcrank.seams.caller_frontend import CallerFrontend
from jackdawcrank.seams.replies import SessionState
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# The bound is seconds; checking it this often adds little to it.
CHECK_SECONDS = 0.5


class IdleTransactions:
    """Rolls back transactions that were idle for longer than allowed.

    They hold a connection and locks, which other callers wait for.

    Attributes:
      directory: Knows the bound.
      front: Knows the sessions.
    """

    def __init__(
        self, directory: Directory, front: CallerFrontend, log: DecisionLog
    ) -> None:
        self.directory = directory
        self.front = front
        self.log = log
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Begin to check.

        Args:
          timer: Calls back.
        """
        self.subscription = timer.subscribe(
            "idle transactions", CHECK_SECONDS, self.check
        )

    async def check(self, now: float) -> None:
        """Roll back what was idle for too long.

        Args:
          now: The timer's time.
        """
        declarations = self.directory.declarations
        if declarations is None:
            return
        oldest = now - declarations.idle_transaction_seconds
        for session in self.front.sessions():
            if (
                session.state is SessionState.IN_TRANSACTION
                and not session.busy
                and session.transaction is not None
                and session.active_at < oldest
            ):
                session.fail_transaction()
                self.log.event(
                    "idle_transaction_ended",
                    database=session.database,
                    idle=round(now - session.active_at, 1),
                )
