"""The operations of this process that the operator API uses."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs

from jackdawcrank.config import ConfigurationFollower
from jackdawcrank.groups import Incomplete, Moved
from jackdawcrank.operators.ports import (
    ActionDone,
    ActionOutcome,
    ActionRefused,
    TargetNotFound,
)
from jackdawcrank.process.entry_router import EntryRouter
from jackdawcrank.process.home import Home
from jackdawcrank.process.home_registry import HomeRegistry
from jackdawcrank.store import ChangeLog, StoreClient
from jackdawcrank.timeline import Timeline
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.membership import MembershipView
from jackdawcrank_policy.values import ServerReport
from jackdawcrank_wire.events import EventKind
from jackdawcrank_wire.messages import (
    ResultRows,
    StatementKind,
    StatementRequest,
)

REQUEST_LOOKUP_DEADLINE_MS = 5_000
PROMOTION_RETRY_AFTER_MS = 1_000


class OperatorService:
    """Implements the operator API's status queries and actions.

    Attributes:
      vm: This VM's name.
      store: The client of the store.
      change_log: Writes changes of the configuration.
      follower: Maintains the configuration in force.
      timeline: The events of this process.
      registry: The homes on this VM.
      router: Routes statements.
      is_ready: Returns whether callers should be sent to this VM.
      drain: Begins the graceful shutdown.
    """

    def __init__(
        self,
        vm: str,
        store: StoreClient,
        change_log: ChangeLog,
        follower: ConfigurationFollower,
        timeline: Timeline,
        registry: HomeRegistry,
        router: EntryRouter,
        is_ready: Callable[[], bool],
        drain: Callable[[str], Awaitable[None]],
    ) -> None:
        self.vm = vm
        self.store = store
        self.change_log = change_log
        self.follower = follower
        self.timeline = timeline
        self.registry = registry
        self.router = router
        self.is_ready = is_ready
        self.drain = drain

    def ready(self) -> bool:
        """Return whether callers should be sent to this VM."""
        return self.is_ready()

    def members(self) -> MembershipView:
        """Return this VM's view of the membership."""
        return self.registry.view

    def status(self) -> Mapping[str, Any]:
        """Return the state of the process as JSON values."""
        view = self.registry.view
        return {
            "live": list(view.live),
            "leaving": list(view.leaving),
            "homes": {
                name: self._home_status(home)
                for name, home in sorted(self.registry.homes.items())
            },
        }

    def resource_status(self, kind: str, name: str) -> Mapping[str, Any]:
        """Return the status of a resource as JSON values; empty if unknown.

        Args:
          kind: The resource's kind.
          name: The resource's name.
        """
        if kind == "DatabaseGroup":
            return self._group_status(name)
        if kind == "BackendServer":
            return self._server_status(name)
        return {}

    async def promote(
        self, group: str, server: str | None, actor: str, force: bool = False
    ) -> ActionOutcome:
        """Promote a server of a group to primary.

        Args:
          group: The database group.
          server: The new primary; None to have one selected automatically.
          actor: The operator who requested it.
          force: Whether to promote even if too few servers are reachable.
        """
        home = self.registry.active(group)
        if home is None:
            return self._not_active_home(group)
        self.timeline.record(
            EventKind.PROMOTION_REQUESTED,
            group=group,
            server=server or "",
            actor=actor,
            force=force,
        )
        agent = home.agent
        promotion_method = agent.force_promote if force else agent.switch_over
        outcome = await promotion_method(server)
        if isinstance(outcome, Moved):
            row = outcome.row
            return ActionDone({"primary": row.primary, "term": row.term})
        if isinstance(outcome, Incomplete):
            return ActionRefused(str(outcome.reason), PROMOTION_RETRY_AFTER_MS)
        return ActionRefused(outcome.reason)

    async def drain_self(self, actor: str) -> ActionOutcome:
        """Begin the graceful shutdown of this VM.

        Args:
          actor: The operator who requested it.
        """
        await self.drain(actor)
        return ActionDone({"vm": self.vm})

    async def request_outcome(
        self, group: str, request_id: str
    ) -> Mapping[str, Any] | None:
        """Return the recorded outcome of a request; None if unknown.

        Args:
          group: The database group.
          request_id: The request id that the caller set.
        """
        request = StatementRequest(
            group,
            b"",
            request_id=request_id,
            deadline_ms=REQUEST_LOOKUP_DEADLINE_MS,
            kind=StatementKind.SHOW_REQUEST,
        )
        result = await self.router.execute(request)
        if not isinstance(result, ResultRows) or not result.rows:
            return None
        names = [column.name for column in result.columns]
        values = [(value or b"").decode() for value in result.rows[0]]
        return dict(zip(names, values, strict=True))

    def _not_active_home(self, group: str) -> ActionOutcome:
        if group not in self.registry.configuration.groups:
            return TargetNotFound(f"no database group {group!r} is declared")
        row = self.registry.configuration.group_rows.get(group)
        homes = ", ".join(writer_names(row.writers)) if row else "none yet"
        return ActionRefused(
            f"{self.vm} is not a home of {group}; its homes are: {homes}"
        )

    def _home_status(self, home: Home) -> Mapping[str, Any]:
        state = home.group.state
        return {
            "retiring": home.retiring,
            "in_flight": home.group.in_flight,
            "transactions": len(home.group.transactions.open),
            "connections": {
                name: {"open": pool.open_count, "limit": pool.limit}
                for name, pool in sorted(state.pools.items())
            },
            "counters": attrs.asdict(home.group.counters),
        }

    def _group_status(self, name: str) -> Mapping[str, Any]:
        row = self.registry.configuration.group_rows.get(name)
        if row is None:
            return {"phase": "no primary yet"}
        status: dict[str, Any] = {
            "term": row.term,
            "phase": row.phase.value,
            "primary": row.primary,
            "coordinator": row.coordinator,
            "homes": list(writer_names(row.writers)),
        }
        home = self.registry.homes.get(name)
        if home is not None:
            agent = home.agent.status()
            status["health"] = agent.health.value
            status["promoting"] = agent.promoting
            status["blocked"] = agent.blocked
            status["divergentEntries"] = dict(agent.divergent_entries)
            status["counters"] = attrs.asdict(home.group.counters)
        return status

    def _server_status(self, name: str) -> Mapping[str, Any]:
        server = self.registry.configuration.servers.get(name)
        home = self.registry.homes.get(server.group) if server else None
        if home is None:
            return {}
        report = home.agent.probes.reports().get(name)
        pool = home.group.state.pools.get(name)
        age = home.group.state.table.evidence.age(
            name, home.group.state.clock()
        )
        status: dict[str, Any] = {"reachable": report is not None}
        if isinstance(report, ServerReport):
            status["role"] = report.role.value
            status["term"] = report.term
            status["position"] = str(report.position)
        if age is not None:
            status["ageMs"] = round(age * 1000)
        if pool is not None:
            status["connections"] = pool.open_count
            status["running"] = pool.in_use
            status["draining"] = pool.draining
        return status
