"""The attempts to run one statement."""

import attrs

from jackdawcrank.seams.replies import Problem
from jackdawcrank_policy.accounts.account_allowance import Admission
from jackdawcrank_policy.values.position import Position

# Exceeds the longest round trip (80 ms) and the wait in a full server's queue.
MIN_ATTEMPT_SECONDS = 0.3
# Leaves half of a statement's time to a second attempt.
MAX_ATTEMPT_SHARE = 0.5
NO_PRIMARY = "no primary"
UNSERVABLE = "no primary, and no store to find one"
SILENT = "silent"
CONNECTION_LOST = "connection lost"
ANSWER_LOST = "answer lost"
DEADLINE_EXCEEDED = "out of time"
ADMISSION_EXPIRED = "waited longer than its admission"
# Reasons for the failure of an attempt that a server received.
RECEIVED = frozenset(
    {
        SILENT,
        CONNECTION_LOST,
        ANSWER_LOST,
        DEADLINE_EXCEEDED,
        Problem.FAILED.value,
        Problem.TIMED_OUT.value,
    }
)


@attrs.define
class Attempts:
    """The attempts to run one statement.

    Attributes:
      deadline: When the statement must be answered, in seconds on the loop's
        clock.
      started_at: When the statement arrived, in seconds on the loop's clock.
      count: Number of attempts.
      excluded: Ids of servers on which the statement has failed.
      failed_on: Id of the server of each attempt at a read that failed, was
        not answered in time or lost its connection. It counts against the
        servers once the read is answered, so that a bad statement does not.
      lagged: Whether the primary lacked the required position.
      reason: Why the latest attempt failed.
      wait_limit_exceeded: Whether the primary's queue could not admit the
        statement in time.
      server: Id of the server of the latest attempt.
      needed: The position that a replica needed in the latest attempt.
      runs: Number of attempts that a server received and did not refuse.
      admission: Admits the operation within its account's limit; None if it is
        not limited.
      priority: The priority of the caller's database in the latest attempt.
      account: The client account in the latest attempt; empty for none.
    """

    deadline: float
    started_at: float
    count: int = 0
    excluded: set[str] = attrs.Factory(set)
    failed_on: list[str] = attrs.Factory(list)
    lagged: bool = False
    reason: str = "no server could be reached"
    wait_limit_exceeded: bool = False
    server: str = ""
    needed: Position | None = None
    runs: int = 0
    admission: Admission | None = None
    priority: int = 0
    account: str = ""
