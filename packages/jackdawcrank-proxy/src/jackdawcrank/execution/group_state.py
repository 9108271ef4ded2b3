"""What a home proxy knows and holds of one database group."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence

from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank.backend.mysql_control import MysqlControl
from jackdawcrank.backend.server_connection import ServerConnection
from jackdawcrank.backend.server_pool import ServerPool
from jackdawcrank.execution.open_primary import OpenPrimary
from jackdawcrank.execution.signal import Signal
from jackdawcrank_policy.acknowledgement import Quorum
from jackdawcrank_policy.budget import QUOTA_COUNT, ConnectionBudget
from jackdawcrank_policy.lease import LEASE_SECONDS, LeaseState, LeaseTable
from jackdawcrank_policy.routing import RoutingTable
from jackdawcrank_policy.values import (
    GroupPhase,
    GroupRow,
    GroupSpec,
    NotRun,
    NotRunReason,
    ServerReport,
    ServerSpec,
    ServerState,
)

FAILOVER_WAIT_SECONDS = 3.0
MAX_FAILOVER_WAITERS = 256
NO_PRIMARY_RETRY_MS = 500
# Answers of a replaced primary that are under way may still come.
OLD_TERM_GRACE_SECONDS = 0.1
QUIESCE_SECONDS = 0.05
CONTROL_CONNECTIONS = 2
LATENCY_WEIGHT = 0.1

DropListener = Callable[[str, str], None]
AnswerListener = Callable[[str, float, float], None]
SilenceListener = Callable[[str], None]


def _ignore(*arguments: object) -> None:
    """Take no notice."""


class GroupState:
    """One group's servers, term, evidence and connections.

    Attributes:
      vm: This VM's name.
      spec: What operators declare of the group.
      leases: The term leases of this VM.
      clock: The monotonic clock.
      rng: The source of randomness.
      servers: The declared servers by name.
      row: The group's newest row.
      table: Evidence and load, for routing.
      pools: The connections to each server.
      controls: The control connections to each server.
      leaving_since: Since when each leaving server gets no new work.
      term_changed: Notified when the row or a lease changes.
      evidence_changed: Notified when a probe was answered.
      on_answer: Told of each answer: server, when asked, when answered.
      on_silence: Told of a server that gave no usable answer.
      quiescing: How many promises wait for what is under way.
      held_term: The term that the lease was last held for.
      held_until: Until when it was held at that time.
      busy_links: Connections to primaries that run a statement, with the
        term under which it was sent.
    """

    def __init__(
        self,
        vm: str,
        spec: GroupSpec,
        leases: LeaseTable,
        clock: Callable[[], float],
        rng: random.Random,
        user: str,
        password: str,
        on_drop: DropListener,
        was_writer: bool = False,
    ) -> None:
        self.vm = vm
        self.spec = spec
        self.leases = leases
        self.clock = clock
        self.rng = rng
        self.user = user
        self.password = password
        self.on_drop = on_drop
        self.servers: dict[str, ServerSpec] = {}
        self.row: GroupRow | None = None
        self.row_version = -1
        self.table = RoutingTable()
        self.pools: dict[str, ServerPool] = {}
        self.controls: dict[str, MysqlControl] = {}
        # Only a predecessor of the same name can have left connections.
        started_at = clock() if was_writer else -math.inf
        self.ledger = ConnectionBudget(self._budget(), started_at)
        self.term_changed = Signal()
        self.evidence_changed = Signal()
        self.failover_waiters = 0
        self.leaving_since: dict[str, float] = {}
        self.on_answer: AnswerListener = _ignore
        self.on_silence: SilenceListener = _ignore
        self.busy_links: dict[ServerConnection, int] = {}
        self.link_freed = Signal()
        self.quiescing = 0
        self.held_term = 0
        self.held_until = -math.inf

    @property
    def name(self) -> str:
        """Return the group's name."""
        return self.spec.name

    @property
    def quorum(self) -> Quorum:
        """Return the quorum of the group's servers."""
        return Quorum(len(self.servers))

    @property
    def serving(self) -> list[ServerSpec]:
        """Return the servers that may get work."""
        return [
            server
            for server in self.servers.values()
            if server.state is ServerState.SERVING
        ]

    def start(self, servers: Sequence[ServerSpec]) -> None:
        """Open connections to the servers.

        Args:
          servers: The declared servers.
        """
        self.set_servers(servers)

    async def close(self) -> None:
        """Close every connection."""
        for pool in self.pools.values():
            await pool.close()
        for control in self.controls.values():
            await control.close()

    def set_spec(self, spec: GroupSpec) -> None:
        """Follow a change of the declared group.

        Args:
          spec: The new declaration.
        """
        self.spec = spec
        self.ledger.limit = self._budget()

    def set_servers(self, servers: Sequence[ServerSpec]) -> list[str]:
        """Follow a change of the declared servers; return those that left.

        Args:
          servers: The new declarations.
        """
        declared = {server.name: server for server in servers}
        gone = [name for name in self.servers if name not in declared]
        self.servers = declared
        for server in servers:
            self._ensure_connections(server)
        for name in gone:
            self.pools[name].drain()
        for server in servers:
            self._follow_leaving(server)
        latencies = {n: load.latency for n, load in self.table.loads.items()}
        slots = self.spec.slots_per_server
        self.table.set_servers(servers, slots, latencies)
        self.apply_budget()
        return gone

    def set_row(self, row: GroupRow, version: int) -> bool:
        """Take the group's row; return whether it was newer.

        Args:
          row: The row.
          version: The change log's version that wrote it.
        """
        if version <= self.row_version:
            return False
        self.row = row
        self.row_version = version
        self.ledger.apply(row.writers, version, self.clock())
        if row.phase is GroupPhase.ACTIVE:
            self.table.primary = row.primary
            self.table.evidence.begin_term(row.branch)
            self._abandon_older_terms(row.term)
        self.hold_term()
        self.apply_budget()
        self.term_changed.notify()
        return True

    def hold_term(self) -> None:
        """Extend the evidence by a lease that was renewed."""
        if self.row is None:
            return
        state = self.leases.state(self.name, self.row.term, self.clock())
        if state is LeaseState.HELD:
            until = self.leases.renewed_at + LEASE_SECONDS
            self.table.evidence.hold_term(until)
            self.held_term = self.row.term
            self.held_until = until

    def give_up_lease(self, term: int) -> None:
        """Promise never again to act for a term or an earlier one.

        Args:
          term: The term.
        """
        self.leases.give_up(self.name, term)
        evidence = self.table.evidence
        evidence.term_held_until = min(evidence.term_held_until, self.clock())
        self.term_changed.notify()

    def observe(
        self, report: ServerReport, sent_at: float, answered_at: float
    ) -> None:
        """Take in the answer to a probe.

        Args:
          report: What the server answered.
          sent_at: When the probe was sent.
          answered_at: When the answer came.
        """
        self.table.evidence.observe(report, sent_at, answered_at)
        load = self.table.loads.get(report.server)
        if load is not None:
            elapsed = answered_at - sent_at
            load.latency += LATENCY_WEIGHT * (elapsed - load.latency)
        self.evidence_changed.notify()

    def apply_budget(self) -> None:
        """Give each server's pool its share of the group's connections."""
        count = max(1, len(self.servers))
        share = self.ledger.server_share(self.vm, count, self.clock())
        for name in self.servers:
            pool = self.pools[name]
            pool.limit = share
            pool.warm = min(share, self.spec.slots_per_server)

    def mean_round_trip(self) -> float:
        """Return the mean network round trip to the servers in seconds."""
        latencies = [load.latency for load in self.table.loads.values()]
        return sum(latencies) / len(latencies) if latencies else 0.0

    def connections_share(self) -> int:
        """Return how many connections this VM may hold to the group."""
        return sum(pool.limit for pool in self.pools.values())

    def has_budget(self) -> bool:
        """Return whether this VM may hold connections to the group."""
        return self.ledger.share(self.vm, self.clock()) > 0

    def lease_state(self, term: int) -> LeaseState:
        """Return whether this proxy may act for a term at this moment.

        A proxy that is merely no writer any more holds no lease, but may
        still prove the term by confirmations.

        Args:
          term: The term.
        """
        state = self.leases.state(self.name, term, self.clock())
        if state is not LeaseState.CLOSED or self.row is None:
            return state
        given_up = self.leases.given_up.get(self.name, 0) >= term
        open_term = self.row.phase is GroupPhase.ACTIVE
        if self.row.term == term and open_term and not given_up:
            return LeaseState.LAPSED
        return state

    def answer_state(self, term: int) -> LeaseState:
        """Return whether an answer of a term's primary may be given now.

        While a lease is being given up nothing new may start, but no later
        term opens before the promise is sent or the lease has run out, so
        what is under way may still be answered.

        Args:
          term: The term.
        """
        is_last = self.quiescing > 0 and self.held_term == term
        if is_last and self.clock() < self.held_until:
            return LeaseState.HELD
        return self.lease_state(term)

    def primary(self) -> OpenPrimary | None:
        """Return the primary, if it may get statements now."""
        row = self.row
        if row is None or row.phase is not GroupPhase.ACTIVE:
            return None
        if self.lease_state(row.term) is LeaseState.CLOSED:
            return None
        if row.primary not in self.pools:
            return None
        return OpenPrimary(row.primary, row.term)

    async def wait_for_primary(self, deadline: float) -> OpenPrimary | NotRun:
        """Return the primary, waiting a while for a promotion to finish.

        Args:
          deadline: When the caller gives up, on the monotonic clock.
        """
        primary = self.primary()
        if primary is not None:
            return primary
        if self.failover_waiters >= MAX_FAILOVER_WAITERS:
            return no_primary("too many statements wait for a primary")
        self.failover_waiters += 1
        try:
            return await self._await_primary(deadline)
        finally:
            self.failover_waiters -= 1

    async def active_row_above(
        self, term: int, deadline: float
    ) -> GroupRow | None:
        """Return the row of an open term above one, or None at the deadline.

        Args:
          term: The closed term.
          deadline: When to give up, on the monotonic clock.
        """
        while True:
            row = self.row
            active = row is not None and row.phase is GroupPhase.ACTIVE
            if row is not None and active and row.term > term:
                return row
            remaining = deadline - self.clock()
            if remaining <= 0:
                return None
            await self.term_changed.wait(remaining)

    def replicas(self) -> tuple[str, ...]:
        """Return the servers other than the primary."""
        primary = self.row.primary if self.row else ""
        return tuple(name for name in self.servers if name != primary)

    async def _await_primary(self, deadline: float) -> OpenPrimary | NotRun:
        until = min(deadline, self.clock() + FAILOVER_WAIT_SECONDS)
        while True:
            remaining = until - self.clock()
            if remaining <= 0:
                return no_primary("no primary is open for writes")
            await self.term_changed.wait(remaining)
            primary = self.primary()
            if primary is not None:
                return primary

    def _abandon_older_terms(self, term: int) -> None:
        """Close connections on which a replaced primary owes an answer."""
        if any(started < term for started in self.busy_links.values()):
            loop = asyncio.get_running_loop()
            loop.call_later(OLD_TERM_GRACE_SECONDS, self._close_older, term)

    def _close_older(self, term: int) -> None:
        for link, started in tuple(self.busy_links.items()):
            if started < term:
                link.close()

    def link_started(self, link: ServerConnection, term: int) -> None:
        """Note that a primary owes an answer, or a transaction's end.

        Args:
          link: The connection.
          term: The term under which it was chosen.
        """
        self.busy_links[link] = term

    def link_finished(self, link: ServerConnection) -> None:
        """Note that nothing is under way on a connection any more.

        Args:
          link: The connection.
        """
        if self.busy_links.pop(link, None) is not None:
            self.link_freed.notify()

    async def quiesce(self) -> None:
        """Wait a moment for what is under way on the primary."""
        until = self.clock() + QUIESCE_SECONDS
        self.quiescing += 1
        try:
            while self.busy_links and (left := until - self.clock()) > 0:
                await self.link_freed.wait(left)
        finally:
            self.quiescing -= 1

    def drained_out(self) -> list[str]:
        """Return the leaving servers whose transactions had their time."""
        limit = self.spec.drain_timeout_ms / 1000
        now = self.clock()
        return [
            name
            for name, since in self.leaving_since.items()
            if now - since > limit
        ]

    def _follow_leaving(self, server: ServerSpec) -> None:
        if server.state is not ServerState.LEAVING:
            self.leaving_since.pop(server.name, None)
            return
        self.leaving_since.setdefault(server.name, self.clock())
        self.pools[server.name].drain()

    def _ensure_connections(self, server: ServerSpec) -> None:
        known = self.pools.get(server.name)
        if known is not None and _same_address(known.endpoint, server):
            known.draining = server.state is ServerState.LEAVING
            return
        if known is not None:
            known.drain()
        endpoint = Endpoint(
            server.name,
            server.host,
            server.port,
            self.name,
            self.user,
            self.password,
        )
        pool = ServerPool(endpoint, limit=0, warm=0, on_drop=self.on_drop)
        pool.start()
        self.pools[server.name] = pool
        self.controls[server.name] = MysqlControl(endpoint)

    def _budget(self) -> int:
        control = CONTROL_CONNECTIONS * QUOTA_COUNT * max(1, len(self.servers))
        return max(QUOTA_COUNT, self.spec.connection_limit - control)


def no_primary(detail: str) -> NotRun:
    """Return the refusal for want of a primary.

    Args:
      detail: A sentence for people.
    """
    return NotRun(NotRunReason.NO_PRIMARY, detail, NO_PRIMARY_RETRY_MS)


def _same_address(endpoint: Endpoint, server: ServerSpec) -> bool:
    return (endpoint.host, endpoint.port) == (server.host, server.port)
