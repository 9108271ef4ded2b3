"""Decides when a primary's answer may be returned to the caller."""

import asyncio
import enum

from jackdawcrank.execution.group_state import GroupState
from jackdawcrank_policy.acknowledgement import (
    AwaitTerm,
    NeedConfirmation,
    acknowledge,
    acknowledge_read,
    resolve_write,
)
from jackdawcrank_policy.values import (
    Done,
    Failed,
    Position,
    ServerReport,
    Unknown,
)

CONFIRM_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5
LOST_WRITE_CODE = 1180
LOST_WRITE_STATE = "HY000"


class ReadVerdict(enum.Enum):
    """Whether a primary's answer to a read may be returned."""

    VALID = enum.auto()
    RETRY = enum.auto()


class Acknowledger:
    """Checks that a primary's answers remain valid across terms.

    Attributes:
      state: The state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self.state = state

    async def write(
        self, position: Position, deadline: float
    ) -> Done | Failed | Unknown:
        """Return whether a committed write is durable.

        A write whose term was closed is checked against the branch of the next
        open term.

        Args:
          position: The position of the commit.
          deadline: The caller's deadline in seconds on the monotonic clock.

        Returns:
          Done if the write is kept, Failed if a change of primary lost it, and
          Unknown if neither is certain before the deadline.
        """
        term = position.term
        replies: dict[str, int | None] = {}
        while True:
            verdict = acknowledge(
                position,
                term,
                self.state.answer_state(term),
                self.state.quorum,
                self.state.spec.confirm_writes,
                self.state.replicas(),
                replies,
            )
            if isinstance(verdict, Done | Unknown):
                return verdict
            if self.state.clock() >= deadline:
                return Unknown("no confirmation received before the deadline")
            if isinstance(verdict, NeedConfirmation):
                replies |= await self._confirm(
                    verdict, position, term, deadline
                )
                continue
            settled = await self._resolve_in_later_term(
                verdict, position, deadline
            )
            if not isinstance(settled, int):
                return settled
            term, replies = settled, {}

    async def read(
        self, server: str, term: int, deadline: float
    ) -> ReadVerdict:
        """Return whether a primary's answer to a read is valid.

        Args:
          server: The name of the primary that answered.
          term: The term in which it was selected as primary.
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        replies: dict[str, int | None] = {}
        while True:
            verdict = acknowledge_read(
                term,
                self.state.answer_state(term),
                self.state.quorum,
                server,
                self.state.replicas(),
                replies,
            )
            if isinstance(verdict, Done):
                return ReadVerdict.VALID
            expired = self.state.clock() >= deadline
            if expired or not isinstance(verdict, NeedConfirmation):
                return ReadVerdict.RETRY
            replies |= await self._probe_terms(verdict.servers)

    async def _resolve_in_later_term(
        self, wait: AwaitTerm, position: Position, deadline: float
    ) -> int | Failed | Unknown:
        row = await self.state.active_row_above(wait.closed_term, deadline)
        if row is None:
            return Unknown(
                f"term {wait.closed_term} is closed and no later term is open"
            )
        if isinstance(resolve_write(position, row.branch), Done):
            return row.term
        detail = f"the write at {position} was lost in a change of primary"
        return Failed(LOST_WRITE_CODE, LOST_WRITE_STATE, detail)

    async def _confirm(
        self,
        need: NeedConfirmation,
        position: Position,
        term: int,
        deadline: float,
    ) -> dict[str, int | None]:
        remaining = max(0.01, deadline - self.state.clock())
        timeout = min(CONFIRM_TIMEOUT_SECONDS, remaining)
        tasks = {
            asyncio.create_task(
                self.state.controls[name].confirm(position, timeout)
            ): name
            for name in need.servers
        }
        replies = await self._collect_replies(tasks, term, need.count)
        # Replies that are no longer needed must not delay the caller.
        return dict.fromkeys(need.servers) | replies

    async def _collect_replies(
        self,
        tasks: "dict[asyncio.Task[int | None], str]",
        term: int,
        count: int,
    ) -> dict[str, int | None]:
        """Collect replies until enough servers have confirmed the term."""
        replies: dict[str, int | None] = {}
        pending = set(tasks)
        try:
            while pending and _confirmed(replies, term) < count:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                replies |= {tasks[task]: task.result() for task in done}
        finally:
            for task in pending:
                task.cancel()
        return replies

    async def _probe_terms(
        self, servers: tuple[str, ...]
    ) -> dict[str, int | None]:
        controls = [self.state.controls[name] for name in servers]
        reports = await asyncio.gather(
            *(control.probe(PROBE_TIMEOUT_SECONDS) for control in controls)
        )
        return {
            name: report.term if isinstance(report, ServerReport) else None
            for name, report in zip(servers, reports, strict=True)
        }


def _confirmed(replies: dict[str, int | None], term: int) -> int:
    return sum(1 for reply in replies.values() if reply == term)
