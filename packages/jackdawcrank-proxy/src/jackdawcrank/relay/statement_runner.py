"""Running callers' statements on the servers of their groups."""

import asyncio
import typing

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.await_reply import await_reply, await_result
from jackdawcrank.relay.clocks import boot_seconds
from jackdawcrank.relay.execution import (
    Execution,
    forward_command,
    setup_commands,
)
from jackdawcrank.relay.full_server import pause_seconds
from jackdawcrank.relay.group_relay import GroupRelay
from jackdawcrank.relay.open_transaction import (
    OpenTransaction,
    give_back_after,
)
from jackdawcrank.relay.resolver import Resolver
from jackdawcrank.relay.server_lane import Hopeless, ServerLane
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.seams import commands
from jackdawcrank.seams.replies import NOT_RUN, Problem, Reply
from jackdawcrank.seams.server_connection import (
    NotOpened,
    OpenFailure,
    ServerConnection,
)
from jackdawcrank_policy.catalog import Consistency, DatabaseSpec
from jackdawcrank_policy.values.position import Position
from jackdawcrank_policy.waiting import OVERLOAD_WAIT_SHARE, WaitLimits

# An answer this many times later than expected is taken for lost: our users'
# longest work is 12 times the mean.
LATE_ANSWER_FACTOR = 12.0
# Not below the farthest round trip (80 ms) and a full server's queue.
MIN_ATTEMPT_SECONDS = 0.3
# A second attempt needs the other half of a statement's time.
MAX_ATTEMPT_SHARE = 0.5
# A statement is not sent with less time left than this many times what its
# answer should take: a write that is given up is in doubt, and a read that is
# given up has only kept the server from others.
SEND_FACTOR = 3.0
# The age of data counts until the server reads it: a round trip between
# regions (80 ms), twice, and a late timer.
AGE_MARGIN_SECONDS = 0.25
NO_PRIMARY = "no primary"
UNSERVABLE = "no primary, and no store to find one"
SILENT = "silent"
CONNECTION_LOST = "connection lost"
ANSWER_LOST = "answer lost"
OUT_OF_TIME = "out of time"


@attrs.define
class Attempts:
    """The attempts of one statement.

    Attributes:
      deadline: When the statement must have its answer.
      started_at: When it came.
      count: Attempts that were made.
      excluded: Servers that have failed it.
      lagged: Whether a replica lacked the position.
      reason: What went wrong last.
      hopeless: Whether its turn cannot come in time.
      server: The server of the latest attempt.
      needed: The position that a replica had to have in it.
    """

    deadline: float
    started_at: float
    count: int = 0
    excluded: set[str] = attrs.Factory(set)
    lagged: bool = False
    reason: str = "no server could be reached"
    hopeless: bool = False
    server: str = ""
    needed: Position | None = None


class StatementRunner:
    """Places statements, sends them and repeats what may be repeated.

    Attributes:
      directory: Finds databases.
      log: Where decisions are told.
    """

    def __init__(self, directory: Resolver, log: DecisionLog) -> None:
        self.directory = directory
        self.log = log
        self.loop = asyncio.get_running_loop()

    async def run_single(
        self, session: SessionView, execution: Execution
    ) -> Reply:
        """Run a statement outside a transaction.

        Args:
          session: Whose it is; its database is resolved.
          execution: The statement.
        """
        spec, group = resolved(session)
        now = self.loop.time()
        attempts = Attempts(now + spec.statement_timeout_seconds, now)
        while self.may_try(group, attempts):
            attempts.count += 1
            if execution.writes:
                reply = await self.try_write(session, execution, attempts)
            else:
                reply = await self.try_read(session, execution, attempts)
            if reply is not None:
                self.note(session, execution, attempts, reply)
                return reply
            await self.pause(attempts)
        reply = Reply(problem=Problem.BUSY, detail=attempts.reason)
        self.note(session, execution, attempts, reply)
        return reply

    def may_try(self, group: GroupRelay, attempts: Attempts) -> bool:
        """Return whether another attempt can be of use."""
        if attempts.hopeless or self.loop.time() >= attempts.deadline:
            return False
        if attempts.reason == UNSERVABLE:
            return group.usable_primary() is not None
        return True

    def note(
        self,
        session: SessionView,
        execution: Execution,
        attempts: Attempts,
        reply: Reply,
    ) -> None:
        """Log what became of a statement."""
        spec, group = resolved(session)
        seconds = self.loop.time() - attempts.started_at
        outcome = reply.problem.value if reply.problem else "done"
        self.log.measurements.answered(session.database, outcome, seconds)
        plain = reply.problem is None and attempts.count == 1
        write = self.log.routine if plain else self.log.event
        write(
            "statement",
            request=execution.request_id,
            database=session.database,
            writes=execution.writes,
            server=attempts.server,
            needed=str(attempts.needed) if attempts.needed else None,
            attempts=attempts.count,
            ms=round(seconds * 1000),
            outcome=outcome,
            reason="" if plain else attempts.reason,
            version=group.declared_version,
        )

    async def pause(self, attempts: Attempts) -> None:
        """Wait a little before the next attempt."""
        left = attempts.deadline - self.loop.time()
        if attempts.count > 1 and left > 0:
            delay = pause_seconds(min(attempts.count - 2, 8))
            await asyncio.sleep(min(delay, left))

    async def try_write(
        self,
        session: SessionView,
        execution: Execution,
        attempts: Attempts,
    ) -> Reply | None:
        """Make one attempt to write; None if it did not run."""
        spec, group = resolved(session)
        leased = await self.lease_primary(session, attempts)
        if leased is None:
            return None
        lane, link = leased
        batch = setup_commands(link, session.memory, execution)
        batch.append(forward_command(link, execution))
        start = self.loop.time()
        sent_at = boot_seconds()
        future = link.send(batch)[-1]
        reply = await await_result(future, attempts.deadline)
        if reply is None:
            silent = not link.closed
            group.note_lost(lane, silent, start, wrote=True)
            self.give_back(lane, link, broken=True)
            attempts.reason = SILENT if silent else CONNECTION_LOST
            return Reply(
                problem=Problem.IN_DOUBT,
                detail="the server did not answer the write",
            )
        lane.condition.position_seen(reply.position)
        broken = reply.problem is Problem.UNKNOWN_NAME
        self.give_back(lane, link, broken)
        if reply.problem in NOT_RUN:
            self.note_refusal(group, lane, reply, attempts)
            return None
        if reply.problem is None:
            session.saw(reply.position)
            group.doubt.commit_acknowledged()
            if reply.position:
                group.watermarks.add(sent_at, reply.position)
        return reply

    async def try_read(
        self,
        session: SessionView,
        execution: Execution,
        attempts: Attempts,
    ) -> Reply | None:
        """Make one attempt to read; None if there is no answer."""
        spec, group = resolved(session)
        needed = await self.needed_position(session, attempts)
        attempts.needed = needed
        lane = None
        if needed is not None:
            lane = group.read_lane(self.loop.time(), needed, attempts.excluded)
        if lane is None:
            return await self.read_from_primary(session, execution, attempts)
        link = await self.lease(lane, session, attempts)
        if link is None:
            return None
        batch = setup_commands(link, session.memory, execution)
        batch.append(forward_command(link, execution, needed))
        reply = await self.read_reply(
            group, lane, link, link.send(batch)[-1], attempts
        )
        if reply is None:
            self.give_back(lane, link, broken=True)
            return None
        lane.condition.position_seen(reply.position)
        broken = reply.problem is Problem.UNKNOWN_NAME
        self.give_back(lane, link, broken)
        return self.judge_read(group, lane, reply, attempts)

    def judge_read(
        self,
        group: GroupRelay,
        lane: ServerLane,
        reply: Reply,
        attempts: Attempts,
    ) -> Reply | None:
        """Return an answer to a read that may be given, or None."""
        if reply.problem is None:
            lane.condition.caught_up()
            if lane is not group.primary_lane():
                group.relief.replica_answered(self.loop.time())
            return reply
        if reply.problem in NOT_RUN:
            self.note_refusal(group, lane, reply, attempts)
            return None
        if reply.problem in (Problem.FAILED, Problem.TIMED_OUT):
            attempts.excluded.add(lane.server.server_id)
            attempts.reason = reply.problem.value
            return None
        return reply

    async def read_reply(
        self,
        group: GroupRelay,
        lane: ServerLane,
        link: ServerConnection,
        future: asyncio.Future[Reply],
        attempts: Attempts,
    ) -> Reply | None:
        """Wait for the answer to a read as long as it is worth it."""
        start = self.loop.time()
        limit = self.attempt_seconds(lane, attempts, start)
        reply = await await_result(
            future, min(attempts.deadline, start + limit)
        )
        now = self.loop.time()
        if reply is None:
            self.note_no_answer(group, lane, link, attempts, start, limit)
            return None
        if reply.problem is None:
            lane.condition.answered(now - start, now)
        if lane is group.primary_lane():
            group.doubt.answered()
        return reply

    def note_no_answer(
        self,
        group: GroupRelay,
        lane: ServerLane,
        link: ServerConnection,
        attempts: Attempts,
        start: float,
        limit: float,
    ) -> None:
        """Take in that the answer to a statement did not come.

        Args:
          group: The statement's group.
          lane: Where it was sent.
          link: The connection that it was sent on.
          attempts: Its attempts.
          start: When it was sent, in seconds on the loop's clock.
          limit: How long an answer was waited for, unless time ran out.
        """
        now = self.loop.time()
        if not link.closed and now - start < limit:
            # This says nothing about the server.
            late = now >= attempts.deadline
            attempts.reason = OUT_OF_TIME if late else ANSWER_LOST
            return
        attempts.reason = CONNECTION_LOST if link.closed else SILENT
        attempts.excluded.add(lane.server.server_id)
        lane.condition.failed(now)
        if not link.closed:
            lane.condition.timed_out(now - start)
        group.note_lost(lane, not link.closed, start)

    def attempt_seconds(
        self, lane: ServerLane, attempts: Attempts, now: float
    ) -> float:
        """Return how long an answer to a read is waited for."""
        expected = lane.condition.expected_seconds(now, MIN_ATTEMPT_SECONDS)
        most = (attempts.deadline - attempts.started_at) * MAX_ATTEMPT_SHARE
        return min(
            most, max(MIN_ATTEMPT_SECONDS, expected * LATE_ANSWER_FACTOR)
        )

    async def needed_position(
        self, session: SessionView, attempts: Attempts
    ) -> Position | None:
        """Return the position that a replica must have, or None."""
        spec, group = resolved(session)
        if spec.consistency is Consistency.PRIMARY or attempts.lagged:
            return None
        floor = await group.floor(spec.max_age_seconds - AGE_MARGIN_SECONDS)
        if floor is None:
            return None
        own = session.last_position
        if spec.consistency is Consistency.OWN_WRITES and own:
            return max(floor, own)
        return floor

    async def read_from_primary(
        self,
        session: SessionView,
        execution: Execution,
        attempts: Attempts,
    ) -> Reply | None:
        """Read where every commit is, and prove that the server led.

        A server that has just lost the lead still answers a bare read, but
        refuses the statements of a transaction that may write.
        """
        spec, group = resolved(session)
        leased = await self.lease_primary(session, attempts)
        if leased is None:
            return None
        lane, link = leased
        batch = setup_commands(link, session.memory, execution)
        opening = len(batch)
        batch.append(commands.BeginTransaction(read_only=False))
        batch.append(forward_command(link, execution))
        batch.append(commands.RollbackTransaction())
        sent_at = boot_seconds()
        futures = link.send(batch)
        reply = await self.read_reply(group, lane, link, futures[-2], attempts)
        if reply is None:
            self.give_back(lane, link, broken=True)
            return None
        opened = futures[opening].result()
        lane.condition.position_seen(reply.position)
        if reply.problem is Problem.UNKNOWN_NAME:
            self.give_back(lane, link, broken=True)
        else:
            give_back_after(lane, link, futures[-1])
        if opened.problem is not None:
            self.note_refusal(group, lane, opened, attempts)
            return None
        if reply.problem is None and reply.position:
            group.watermarks.add(sent_at, reply.position)
        return self.judge_read(group, lane, reply, attempts)

    def note_refusal(
        self,
        group: GroupRelay,
        lane: ServerLane,
        reply: Reply,
        attempts: Attempts,
    ) -> None:
        """Take in an answer that says that nothing ran."""
        problem = typing.cast(Problem, reply.problem)
        attempts.reason = problem.value
        now = self.loop.time()
        if problem is Problem.NOT_PRIMARY:
            group.disown(lane)
        elif problem is Problem.LACKS_POSITION:
            lane.condition.lagged(now)
            if lane is group.primary_lane():
                attempts.lagged = True
            else:
                attempts.excluded.add(lane.server.server_id)
        elif problem is Problem.BUSY:
            lane.gate.refused()
            lane.condition.failed(now)

    async def begin(
        self, session: SessionView, execution: Execution | None
    ) -> OpenTransaction | Reply:
        """Open a transaction on the server that fits it.

        Args:
          session: Whose it is; its database is resolved.
          execution: Its first statement, if there is one.
        """
        spec, group = resolved(session)
        now = self.loop.time()
        attempts = Attempts(now + spec.statement_timeout_seconds, now)
        while self.may_try(group, attempts):
            attempts.count += 1
            opened = await self.try_begin(session, execution, attempts)
            if opened is not None:
                return opened
            await self.pause(attempts)
        request_id = execution.request_id if execution else ""
        self.log.event(
            "transaction_refused",
            request=request_id,
            database=session.database,
            attempts=attempts.count,
            reason=attempts.reason,
        )
        return Reply(problem=Problem.BUSY, detail=attempts.reason)

    async def try_begin(
        self,
        session: SessionView,
        execution: Execution | None,
        attempts: Attempts,
    ) -> OpenTransaction | None:
        """Make one attempt to open a transaction."""
        spec, group = resolved(session)
        needed = None
        lane = None
        if session.read_only:
            needed = await self.needed_position(session, attempts)
        if needed is not None:
            lane = group.read_lane(self.loop.time(), needed, attempts.excluded)
        on_primary = lane is None
        if lane is None:
            leased = await self.lease_primary(session, attempts)
            if leased is None:
                return None
            lane, link = leased
        else:
            found = await self.lease(lane, session, attempts)
            if found is None:
                return None
            link = found
        batch = setup_commands(link, session.memory, execution)
        batch.append(
            commands.BeginTransaction(read_only=not on_primary, needed=needed)
        )
        start = self.loop.time()
        limit = self.attempt_seconds(lane, attempts, start)
        future = link.send(batch)[-1]
        reply = await await_reply(future, min(attempts.deadline, start + limit))
        if reply is None:
            self.note_no_answer(group, lane, link, attempts, start, limit)
            self.give_back(lane, link, broken=True)
            return None
        lane.condition.position_seen(reply.position)
        if reply.problem is not None:
            self.give_back(lane, link, broken=False)
            self.note_refusal(group, lane, reply, attempts)
            return None
        lane.rest(link)
        return OpenTransaction(
            group, lane, link, on_primary, spec.statement_timeout_seconds
        )

    async def lease_primary(
        self, session: SessionView, attempts: Attempts
    ) -> tuple[ServerLane, ServerConnection] | None:
        """Return a connection to the primary, or None."""
        _, group = resolved(session)
        lane = await group.wait_for_primary(attempts.deadline)
        if lane is None:
            lost = group.contact.lost
            attempts.reason = UNSERVABLE if lost else NO_PRIMARY
            return None
        link = await self.lease(lane, session, attempts)
        return (lane, link) if link else None

    async def lease(
        self, lane: ServerLane, session: SessionView, attempts: Attempts
    ) -> ServerConnection | None:
        """Return a connection of a lane, or None."""
        spec, group = resolved(session)
        attempts.server = lane.server.server_id
        granted = await lane.acquire(
            session.memory, self.wait_limits(spec, lane, attempts)
        )
        if isinstance(granted, Hopeless):
            attempts.reason = OpenFailure.FULL.value
            attempts.hopeless = lane is group.primary_lane()
            attempts.excluded.add(lane.server.server_id)
            return None
        if isinstance(granted, NotOpened):
            attempts.reason = granted.failure.value
            if granted.failure is not OpenFailure.FULL:
                attempts.excluded.add(lane.server.server_id)
                group.note_unreachable(lane, granted.failure)
            return None
        return granted

    def wait_limits(
        self, spec: DatabaseSpec, lane: ServerLane, attempts: Attempts
    ) -> WaitLimits:
        """Return how a statement may wait for a connection of a lane."""
        now = self.loop.time()
        seconds = attempts.deadline - attempts.started_at
        expected = lane.condition.expected_seconds(now, MIN_ATTEMPT_SECONDS)
        needed = max(MIN_ATTEMPT_SECONDS, SEND_FACTOR * expected)
        latest = attempts.deadline - min(seconds * MAX_ATTEMPT_SHARE, needed)
        early = attempts.started_at + seconds * OVERLOAD_WAIT_SHARE
        return WaitLimits(spec.priority, latest, min(latest, early))

    def give_back(
        self, lane: ServerLane, link: ServerConnection, broken: bool
    ) -> None:
        """Give a connection back after a statement."""
        if broken:
            lane.discard(link)
        else:
            lane.release(link)


def resolved(session: SessionView) -> tuple[DatabaseSpec, GroupRelay]:
    """Return a session's database and group as it found them.

    Args:
      session: The session.
    """
    if session.spec is None or session.group is None:
        raise RuntimeError("the session's database is not resolved")
    return session.spec, session.group
