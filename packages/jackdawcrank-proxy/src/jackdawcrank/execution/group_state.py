"""State and connections of a database group on a home proxy."""

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
# Grace period for answers of a replaced primary that are still in transit.
OLD_TERM_GRACE_SECONDS = 0.1
QUIESCE_TIMEOUT_SECONDS = 0.05
CONTROL_CONNECTIONS = 2
LATENCY_WEIGHT = 0.1

DropListener = Callable[[str, str], None]
AnswerListener = Callable[[str, float, float], None]
SilenceListener = Callable[[str], None]


def _ignore(*arguments: object) -> None:
    """Do nothing."""


class GroupState:
    """The servers, term, evidence and connections of a group.

    Attributes:
      vm: The name of this VM.
      spec: The group as declared by the operators.
      leases: The term leases of this VM.
      clock: Returns the monotonic time in seconds.
      rng: The random number generator.
      servers: The declared servers by name.
      row: The newest known row of the group.
      table: The evidence and load of the servers, for routing.
      pools: The connection pools by server.
      controls: The control connections by server.
      connection_budget: The shares of the writers in the connection limit.
      leaving_since: The time since which each leaving server gets no new
        work, in seconds on the monotonic clock.
      term_changed: Notified when the row changes or a lease is given up.
      evidence_changed: Notified when a probe is answered.
      on_answer: Called for each answer with the server, the time of the
        request and the time of the answer.
      on_silence: Called with a server that gave no usable answer.
      quiescing: The number of running `quiesce` calls.
      held_term: The term for which the lease was last held.
      held_until: The end of that lease in seconds on the monotonic clock.
      busy_links: Connections to primaries with a statement or transaction in
        progress, with the term in which it was started.
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
        # Only a predecessor of the same name can have left connections open.
        started_at = clock() if was_writer else -math.inf
        self.connection_budget = ConnectionBudget(self._budget(), started_at)
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
        """The name of the group."""
        return self.spec.name

    @property
    def quorum(self) -> Quorum:
        """The quorum of the group's servers."""
        return Quorum(len(self.servers))

    @property
    def serving(self) -> list[ServerSpec]:
        """The servers that accept work."""
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
        """Apply a changed group declaration.

        Args:
          spec: The new declaration.
        """
        self.spec = spec
        self.connection_budget.limit = self._budget()

    def set_servers(self, servers: Sequence[ServerSpec]) -> list[str]:
        """Apply changed server declarations.

        Args:
          servers: The new declarations.

        Returns:
          The names of the servers that are no longer declared.
        """
        declared = {server.name: server for server in servers}
        gone = [name for name in self.servers if name not in declared]
        self.servers = declared
        for server in servers:
            self._ensure_connections(server)
        for name in gone:
            self.pools[name].drain()
        for server in servers:
            self._update_draining(server)
        latencies = {n: load.latency for n, load in self.table.loads.items()}
        slots = self.spec.slots_per_server
        self.table.set_servers(servers, slots, latencies)
        self.apply_budget()
        return gone

    def set_row(self, row: GroupRow, version: int) -> bool:
        """Apply the group's row; return whether it was newer.

        Args:
          row: The row.
          version: The change log version that wrote the row.
        """
        if version <= self.row_version:
            return False
        self.row = row
        self.row_version = version
        self.connection_budget.apply(row.writers, version, self.clock())
        if row.phase is GroupPhase.ACTIVE:
            self.table.primary = row.primary
            self.table.evidence.begin_term(row.branch)
            self._schedule_close_older_terms(row.term)
        self.hold_term()
        self.apply_budget()
        self.term_changed.notify()
        return True

    def hold_term(self) -> None:
        """Extend the validity of the evidence after a lease renewal."""
        if self.row is None:
            return
        state = self.leases.state(self.name, self.row.term, self.clock())
        if state is LeaseState.HELD:
            until = self.leases.renewed_at + LEASE_SECONDS
            self.table.evidence.hold_term(until)
            self.held_term = self.row.term
            self.held_until = until

    def give_up_lease(self, term: int) -> None:
        """Permanently give up the leases for a term and all earlier terms.

        Args:
          term: The latest term to give up.
        """
        self.leases.give_up(self.name, term)
        evidence = self.table.evidence
        evidence.term_held_until = min(evidence.term_held_until, self.clock())
        self.term_changed.notify()

    def observe(
        self, report: ServerReport, sent_at: float, answered_at: float
    ) -> None:
        """Process the answer to a probe.

        Args:
          report: The state that the server reported.
          sent_at: The time the probe was sent, in seconds on the monotonic
            clock.
          answered_at: The time the answer was received, in seconds on the
            monotonic clock.
        """
        self.table.evidence.observe(report, sent_at, answered_at)
        load = self.table.loads.get(report.server)
        if load is not None:
            elapsed = answered_at - sent_at
            load.latency += LATENCY_WEIGHT * (elapsed - load.latency)
        self.evidence_changed.notify()

    def apply_budget(self) -> None:
        """Set the limit of each server's pool to its share of connections."""
        count = max(1, len(self.servers))
        share = self.connection_budget.server_share(
            self.vm, count, self.clock()
        )
        for name in self.servers:
            pool = self.pools[name]
            pool.limit = share
            pool.warm = min(share, self.spec.slots_per_server)

    def mean_round_trip(self) -> float:
        """Return the mean network round trip to the servers in seconds."""
        latencies = [load.latency for load in self.table.loads.values()]
        return sum(latencies) / len(latencies) if latencies else 0.0

    def connections_share(self) -> int:
        """Return the number of connections that this VM may open."""
        return sum(pool.limit for pool in self.pools.values())

    def has_budget(self) -> bool:
        """Return whether this VM may open connections to the group."""
        return self.connection_budget.share(self.vm, self.clock()) > 0

    def lease_state(self, term: int) -> LeaseState:
        """Return the state of this proxy's lease for a term.

        A proxy that is no longer a writer holds no lease. Unless it gave the
        lease up, the state is LAPSED while the term is open, because
        confirmations of the servers can still prove the term.

        Args:
          term: The term to check.
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
        """Return the lease state that applies to answers of a term's primary.

        While a lease is being given up, no new statement may start. Running
        statements may still be answered, because no later term opens before
        the lease is reported as given up or has expired.

        Args:
          term: The term to check.
        """
        is_last = self.quiescing > 0 and self.held_term == term
        if is_last and self.clock() < self.held_until:
            return LeaseState.HELD
        return self.lease_state(term)

    def primary(self) -> OpenPrimary | None:
        """Return the primary if it accepts statements, otherwise None."""
        row = self.row
        if row is None or row.phase is not GroupPhase.ACTIVE:
            return None
        if self.lease_state(row.term) is LeaseState.CLOSED:
            return None
        if row.primary not in self.pools:
            return None
        return OpenPrimary(row.primary, row.term)

    async def wait_for_primary(self, deadline: float) -> OpenPrimary | NotRun:
        """Return the primary; wait for a promotion to finish if necessary.

        Waits until the deadline, but no longer than FAILOVER_WAIT_SECONDS.

        Args:
          deadline: The caller's deadline in seconds on the monotonic clock.
        """
        primary = self.primary()
        if primary is not None:
            return primary
        if self.failover_waiters >= MAX_FAILOVER_WAITERS:
            return no_primary("too many statements are waiting for a primary")
        self.failover_waiters += 1
        try:
            return await self._await_primary(deadline)
        finally:
            self.failover_waiters -= 1

    async def active_row_above(
        self, term: int, deadline: float
    ) -> GroupRow | None:
        """Wait for an open term later than a closed one.

        Args:
          term: The closed term.
          deadline: The end of the wait in seconds on the monotonic clock.

        Returns:
          The row of the open term, or None at the deadline.
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
        """Return the names of the servers other than the primary."""
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

    def _schedule_close_older_terms(self, term: int) -> None:
        """Schedule the close of busy connections to replaced primaries."""
        if any(started < term for started in self.busy_links.values()):
            loop = asyncio.get_running_loop()
            loop.call_later(
                OLD_TERM_GRACE_SECONDS, self._close_older_terms, term
            )

    def _close_older_terms(self, term: int) -> None:
        for link, started in tuple(self.busy_links.items()):
            if started < term:
                link.close()

    def link_started(self, link: ServerConnection, term: int) -> None:
        """Record that a statement or transaction started on a connection.

        Args:
          link: The connection to a primary.
          term: The term in which the server was selected as primary.
        """
        self.busy_links[link] = term

    def link_finished(self, link: ServerConnection) -> None:
        """Record that a connection has nothing in progress.

        Args:
          link: The connection.
        """
        if self.busy_links.pop(link, None) is not None:
            self.link_freed.notify()

    async def quiesce(self) -> None:
        """Wait up to QUIESCE_TIMEOUT_SECONDS for work on primaries to finish."""
        until = self.clock() + QUIESCE_TIMEOUT_SECONDS
        self.quiescing += 1
        try:
            while self.busy_links and (remaining := until - self.clock()) > 0:
                await self.link_freed.wait(remaining)
        finally:
            self.quiescing -= 1

    def servers_past_drain_timeout(self) -> list[str]:
        """Return the leaving servers whose drain timeout has passed."""
        limit = self.spec.drain_timeout_ms / 1000
        now = self.clock()
        return [
            name
            for name, since in self.leaving_since.items()
            if now - since > limit
        ]

    def _update_draining(self, server: ServerSpec) -> None:
        if server.state is not ServerState.LEAVING:
            self.leaving_since.pop(server.name, None)
            return
        self.leaving_since.setdefault(server.name, self.clock())
        self.pools[server.name].drain()

    def _ensure_connections(self, server: ServerSpec) -> None:
        existing_pool = self.pools.get(server.name)
        if existing_pool is not None and _same_address(
            existing_pool.endpoint, server
        ):
            existing_pool.draining = server.state is ServerState.LEAVING
            return
        if existing_pool is not None:
            existing_pool.drain()
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
    """Return the refusal for a group without an open primary.

    Args:
      detail: A human-readable reason.
    """
    return NotRun(NotRunReason.NO_PRIMARY, detail, NO_PRIMARY_RETRY_MS)


def _same_address(endpoint: Endpoint, server: ServerSpec) -> bool:
    return (endpoint.host, endpoint.port) == (server.host, server.port)
