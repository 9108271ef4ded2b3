"""Rollback of transactions that exceed the idle limit."""

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.directory import Directory
from jackdawcrank.seams.caller_frontend import CallerFrontend
from jackdawcrank.seams.replies import SessionState
from jackdawcrank.timer.subscription import Subscription
from jackdawcrank.timer.timer import Timer

# The limit is several seconds, so this interval delays a rollback only a
# little.
CHECK_SECONDS = 0.5


class IdleTransactions:
    """Rolls back transactions that are idle for longer than allowed.

    An idle transaction holds a connection and locks that other callers wait
    for.

    Attributes:
      directory: Provides the idle limit.
      front: Provides the sessions.
    """

    def __init__(
        self, directory: Directory, front: CallerFrontend, log: DecisionLog
    ) -> None:
        self.directory = directory
        self.front = front
        self.log = log
        self.subscription: Subscription | None = None

    async def start(self, timer: Timer) -> None:
        """Start periodic checks.

        Args:
          timer: Schedules the checks.
        """
        self.subscription = timer.subscribe(
            "idle transactions", CHECK_SECONDS, self.check
        )

    async def check(self, now: float) -> None:
        """Roll back transactions that exceed the idle limit.

        Args:
          now: The timer's time in seconds.
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
                    account=session.account,
                    idle=round(now - session.active_at, 1),
                )
