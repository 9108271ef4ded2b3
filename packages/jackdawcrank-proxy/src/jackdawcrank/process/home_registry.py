"""The registry of the homes on this VM."""

import asyncio
import random
from collections.abc import Callable, Iterable

from jackdawcrank.execution.home_group import HomeGroup
from jackdawcrank.execution.signal import Signal
from jackdawcrank.groups import GroupAgent, GroupPeers, GroupStore
from jackdawcrank.process.home import Home
from jackdawcrank.tasks import cancel_and_wait
from jackdawcrank.timeline import Timeline
from jackdawcrank.timer import Timer
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.configuration import Change, Configuration, Kind
from jackdawcrank_policy.homes import HomeIndex
from jackdawcrank_policy.lease import LeaseTable
from jackdawcrank_policy.membership import MembershipView
from jackdawcrank_policy.values import (
    GroupRow,
    GroupSpec,
    ServerSpec,
    ServerState,
)
from jackdawcrank_wire.events import EventKind

RETIRE_TIMEOUT_SECONDS = 60.0


class HomeRegistry:
    """Opens and closes homes as configuration and membership change.

    Attributes:
      vm: This VM's name.
      index: The VMs selected as homes of each group.
      on_row: Called with each group row that this VM wrote and its version.
      homes: The homes by group, including retiring homes.
      configuration: The configuration in force.
      view: This VM's view of the membership.
      leases: The term leases of this VM.
      initial_rows: The group rows of the first configuration that was
        applied; None before that.
      tasks: The running background tasks.
      changed: Notified when the membership changes, a home retires, work
        finishes or a peer is lost.
    """

    def __init__(
        self,
        vm: str,
        homes_per_group: int,
        user: str,
        password: str,
        store: GroupStore,
        peers: GroupPeers,
        timer: Timer,
        timeline: Timeline,
        rng: random.Random,
        on_row: Callable[[GroupRow, int], None],
    ) -> None:
        self.vm = vm
        self.index = HomeIndex(homes_per_group)
        self.user = user
        self.password = password
        self.store = store
        self.peers = peers
        self.timer = timer
        self.timeline = timeline
        self.rng = rng
        self.on_row = on_row
        self.homes: dict[str, Home] = {}
        self.configuration = Configuration()
        self.view = MembershipView()
        self.leases = LeaseTable(vm)
        self.initial_rows: dict[str, GroupRow] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.changed = Signal()

    async def close(self) -> None:
        """Close every home."""
        await cancel_and_wait(self.tasks)
        for home in self.homes.values():
            await home.agent.close()
            await home.group.close()
        self.homes.clear()

    def active(self, group: str) -> Home | None:
        """Return the home of a group if it accepts new statements.

        Args:
          group: The group's name.
        """
        home = self.homes.get(group)
        if home is None or home.retiring:
            return None
        return home if home.group.state.has_budget() else None

    def configuration_changed(
        self, configuration: Configuration, changes: tuple[Change, ...]
    ) -> None:
        """Apply changes of the configuration.

        Args:
          configuration: The configuration in force.
          changes: The changes; empty if anything may have changed.
        """
        if self.initial_rows is None:
            self.initial_rows = dict(configuration.group_rows)
        earlier = self.configuration
        self.configuration = configuration
        for group in self._affected_groups(earlier, configuration, changes):
            self._reconcile(group)

    def view_changed(self, view: MembershipView) -> None:
        """Apply a change of the membership.

        Args:
          view: This VM's view of the membership.
        """
        self.view = view
        self.changed.notify()
        changed = self.index.update(
            {vm: self._data_center(vm) for vm in view.live}
        )
        for group in {*changed, *self.homes}:
            self._reconcile(group)

    def head_read(self, sent_at: float, version: int) -> None:
        """Renew the term leases after a read of the change log's head.

        Args:
          sent_at: When the read was sent, in seconds on the monotonic clock.
          version: The version that the read returned.
        """
        self.leases.renew(sent_at, version)
        for home in self.homes.values():
            home.group.state.hold_term()

    def peer_lost(self, vm: str) -> None:
        """Close the transactions of an unreachable entry proxy's sessions.

        Args:
          vm: The VM.
        """
        for home in self.homes.values():
            home.group.transactions.end_sessions_of(f"{vm}:")
        self.changed.notify()

    def holds_sessions_of(self, vm: str) -> bool:
        """Return whether an entry proxy has open transactions on this VM.

        Args:
          vm: The VM.
        """
        prefix = f"{vm}:"
        return any(
            transaction.session_id.startswith(prefix)
            for home in self.homes.values()
            for transaction in home.group.transactions.open.values()
        )

    async def wait_until_handed_over(self, timeout_seconds: float) -> bool:
        """Wait until all homes are handed over; return whether they are.

        A home is handed over once it is retiring and idle. If no live VM can
        take over, an idle home is sufficient.

        Args:
          timeout_seconds: The timeout in seconds.
        """
        deadline = self.timer.now() + timeout_seconds
        while not self._is_handed_over():
            remaining_seconds = deadline - self.timer.now()
            if remaining_seconds <= 0:
                return False
            await self.changed.wait(remaining_seconds)
        return True

    def _is_handed_over(self) -> bool:
        no_live_members = not self.view.live
        homes = self.homes.values()
        return all(h.idle and (h.retiring or no_live_members) for h in homes)

    async def tick(self, now: float) -> None:
        """Run the periodic work of all homes.

        Args:
          now: The time in seconds on the monotonic clock.
        """
        for name, home in self.homes.items():
            if home.group.expiry.is_due(now) and home.agent.context.is_acting:
                self._spawn(home.group.expiry.run())
            for transaction_id in home.group.tick(now):
                self.timeline.record(
                    EventKind.TRANSACTION_ROLLED_BACK,
                    group=name,
                    transaction=transaction_id,
                    reason="open for too long",
                )

    def _affected_groups(
        self,
        earlier: Configuration,
        configuration: Configuration,
        changes: tuple[Change, ...],
    ) -> Iterable[str]:
        if not changes:
            return {*earlier.groups, *configuration.groups, *self.homes}
        affected: set[str] = set()
        for change in changes:
            if change.kind == Kind.CALLER_CLASS:
                affected |= set(self.homes)
            else:
                affected |= _groups_of(change, earlier, configuration)
        return affected

    def _reconcile(self, name: str) -> None:
        spec = self.configuration.groups.get(name)
        home = self.homes.get(name)
        if spec is None:
            self.index.remove_group(name)
            if home is not None:
                self._retire(name, home)
            return
        chosen = self.index.homes(name)
        row = self.configuration.group_rows.get(name)
        writers = writer_names(row.writers) if row else ()
        if self.vm not in chosen and self.vm not in writers:
            if home is not None:
                self._retire(name, home)
            return
        if home is None:
            home = self._open(spec, chosen)
        self._update(home, spec, chosen, row)

    def _was_writer(self, group: str) -> bool:
        """Return whether an earlier process of this VM was a writer."""
        row = (self.initial_rows or {}).get(group)
        return row is not None and self.vm in row.writers

    def _data_center(self, name: str) -> str:
        vm = self.view.vms.get(name)
        return vm.data_center if vm else ""

    def _open(self, spec: GroupSpec, chosen: tuple[str, ...]) -> Home:
        servers = self.configuration.servers_of(spec.name)
        group = HomeGroup(
            self.vm,
            spec,
            self.leases,
            self.timer.now,
            self.rng,
            self.user,
            self.password,
            self._connection_dropped,
            self._was_writer(spec.name),
        )
        group.start(servers)
        agent = GroupAgent(
            self.vm,
            spec,
            group.state.controls,
            self.store,
            self.peers,
            self.leases,
            self.timeline.record,
            self.timer,
            chosen,
            on_row=self._row_written,
            on_report=group.observe,
            rng=self.rng,
        )
        agent.context.quiesce = group.state.quiesce
        group.state.on_answer = agent.observe_answer
        group.state.on_silence = agent.observe_silence
        group.on_work_finished = self.changed.notify
        home = Home(group, agent)
        self.homes[spec.name] = home
        self._spawn(agent.start())
        return home

    def _update(
        self,
        home: Home,
        spec: GroupSpec,
        chosen: tuple[str, ...],
        row: GroupRow | None,
    ) -> None:
        home.retiring = False
        servers = self.configuration.servers_of(spec.name)
        home.group.classes = self.configuration.caller_classes
        home.group.set_spec(spec)
        home.group.set_servers(servers)
        self._update_agent_servers(home, servers)
        avoid = frozenset(
            server.name
            for server in servers
            if server.state is not ServerState.SERVING
        )
        home.agent.spec_changed(spec, avoid)
        home.agent.homes_changed(chosen, frozenset(self.view.live))
        if row is not None:
            entry = self.configuration.entries[(Kind.GROUP_ROW, spec.name)]
            self._apply_row(home, row, entry.version)

    def _update_agent_servers(
        self, home: Home, servers: tuple[ServerSpec, ...]
    ) -> None:
        declared = {server.name for server in servers}
        controls = home.group.state.controls
        for name in tuple(home.agent.context.servers):
            if name not in declared:
                self._spawn(home.agent.server_left(name))
        for name in declared:
            known = home.agent.context.servers.get(name)
            if known is not controls[name]:
                home.agent.server_joined(controls[name])

    def _apply_row(self, home: Home, row: GroupRow, version: int) -> None:
        held = self.leases.holds(row.group, row.term, self.timer.now())
        home.agent.row_changed(row, version)
        home.group.set_row(row, version)
        holds = self.leases.holds(row.group, row.term, self.timer.now())
        if holds and not held:
            self.timeline.record(
                EventKind.LEASE_GAINED, group=row.group, term=row.term
            )

    def _row_written(self, row: GroupRow, version: int) -> None:
        home = self.homes.get(row.group)
        if home is not None:
            home.group.set_row(row, version)
        self.on_row(row, version)

    def _retire(self, name: str, home: Home) -> None:
        if not home.retiring:
            home.retiring = True
            self.changed.notify()
            self._spawn(self._close_when_idle(name, home))

    async def _close_when_idle(self, name: str, home: Home) -> None:
        deadline = self.timer.now() + RETIRE_TIMEOUT_SECONDS
        while (
            not home.idle
            and (remaining_seconds := deadline - self.timer.now()) > 0
        ):
            await self.changed.wait(remaining_seconds)
            if not home.retiring:
                return
        if self.homes.get(name) is home:
            del self.homes[name]
            self.leases.forget(name)
        await home.agent.close()
        await home.group.close()

    def _connection_dropped(self, server: str, reason: str) -> None:
        self.timeline.record(
            EventKind.CONNECTION_DROPPED, server=server, reason=reason
        )

    def _spawn(self, awaitable: "asyncio.Future[None] | object") -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(awaitable)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _groups_of(
    change: Change, earlier: Configuration, configuration: Configuration
) -> set[str]:
    """Return the groups that a change affects."""
    if change.kind in (Kind.DATABASE_GROUP, Kind.GROUP_ROW):
        return {change.name}
    servers = (
        earlier.servers.get(change.name),
        configuration.servers.get(change.name),
    )
    return {server.group for server in servers if server is not None}
