"""The declarations in force and the listed backend servers."""

import asyncio
import math

import attrs

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.group_relay import GroupRelay, ProxyLocation
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.store_health import StoreHealth
from jackdawcrank.seams.declaration_decoder import DeclarationDecoder
from jackdawcrank.seams.metadata_store import (
    StoredRow,
    TableChanges,
    TableSnapshot,
)
from jackdawcrank.seams.server_connection import ConnectionOpener
from jackdawcrank_policy.catalog import (
    DatabaseSpec,
    Declarations,
    ListedServer,
)
from jackdawcrank_policy.succession import ENTRY_RETURN_SECONDS


class Directory:
    """Finds the group of a database and keeps all groups up to date.

    Attributes:
      declarations: The version in force, or None before the first.
      servers: The servers by the key of their report.
      removal_timers: Pending removals by the key of the missing report.
      restored_reports: Pending reports of a restored store by their key. They
        may be older than what is known, so the servers may replace them first.
      epoch: The store's epoch to which the reports belong.
      revision_offset: Added to the revisions of this epoch, so that they exceed
        those of earlier epochs.
      groups: The declared groups by name.
      health_by_outcome: Whether servers that fail more reads than their peers
        get fewer of them.
      drain_seconds: How long a leaving server may receive statements.
      servers_known: Whether the servers were read at least once.
      servers_loaded: Set once the servers were read.
      ready: Set once declarations are in force.
    """

    def __init__(
        self,
        declaration_decoder: DeclarationDecoder,
        opener: ConnectionOpener,
        proxy_location: ProxyLocation,
        store_health: StoreHealth,
        homes: Homes,
        log: DecisionLog,
        health_by_outcome: bool = False,
        drain_seconds: float = math.inf,
    ) -> None:
        self.drain_seconds = drain_seconds
        self.health_by_outcome = health_by_outcome
        self.declaration_decoder = declaration_decoder
        self.opener = opener
        self.proxy_location = proxy_location
        self.store_health = store_health
        self.homes = homes
        self.log = log
        self.declarations: Declarations | None = None
        self.servers: dict[str, ListedServer] = {}
        self.removal_timers: dict[str, asyncio.TimerHandle] = {}
        self.restored_reports: dict[str, asyncio.TimerHandle] = {}
        self.epoch = 0
        self.revision_offset = 0
        self.groups: dict[str, GroupRelay] = {}
        self.servers_known = False
        self.servers_loaded = asyncio.Event()
        self.ready = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    def resolve(self, name: str) -> tuple[DatabaseSpec, GroupRelay] | None:
        """Return a database's declaration and group, or None if unknown.

        Args:
          name: The database name that the caller sent.
        """
        if self.declarations is None:
            return None
        spec = self.declarations.databases.get(name)
        if spec is None:
            return None
        group = self.groups.get(spec.group)
        return (spec, group) if group else None

    def apply_declarations_image(self, image: TableSnapshot) -> None:
        """Apply an image of the declarations table.

        Args:
          image: The whole table.
        """
        for row in image.rows:
            self.apply_declarations(row)

    def apply_declarations_changes(self, changes: TableChanges) -> None:
        """Apply changes of the declarations table.

        Args:
          changes: The changes; removed rows are ignored.
        """
        for row in changes.rows:
            self.apply_declarations(row)

    def apply_declarations(self, row: StoredRow) -> None:
        """Put a version into force unless it is unreadable or no newer.

        Args:
          row: The stored declarations.
        """
        declarations = self.declaration_decoder.read_declarations(row)
        if declarations is None:
            return
        if not declarations.supersedes(self.declarations):
            return
        self.declarations = declarations
        self.log.event(
            "configuration_in_force",
            version=declarations.version,
            databases=len(declarations.databases),
            groups=len(declarations.groups),
        )
        self.update_groups()

    def newer_declarations(
        self, known: StoredRow | None, stored: StoredRow | None
    ) -> StoredRow | None:
        """Return the row with the newer declarations.

        Args:
          known: The row that was known before the store was restored.
          stored: The row in the restored store.
        """
        if known is None or stored is None:
            return known or stored
        decode = self.declaration_decoder.read_declarations
        before, after = decode(known), decode(stored)
        if before is None or (after and after.supersedes(before)):
            return stored
        return known

    def begin_epoch(self, epoch: int) -> bool:
        """Record the store's epoch; return whether the store was restored.

        Args:
          epoch: The epoch of an image of the servers table.
        """
        restored = self.servers_known and epoch > self.epoch
        self.epoch = epoch
        if restored:
            self.revision_offset = max(
                (one.revision for one in self.servers.values()),
                default=self.revision_offset,
            )
        return restored

    def apply_servers_image(self, image: TableSnapshot) -> None:
        """Apply an image of the servers table.

        Args:
          image: The whole table.
        """
        restored = self.begin_epoch(image.epoch)
        self.servers_known = True
        self.servers_loaded.set()
        if restored:
            for row in image.rows:
                self.schedule_restored_report(row)
            self.remove_unlisted(image)
            return
        self.remove_unlisted(image)
        for row in image.rows:
            self.apply_report(row)
        self.update_groups()

    def remove_unlisted(self, image: TableSnapshot) -> None:
        """Schedule the removal of servers without a report in an image."""
        for key in self.servers.keys() - {row.key for row in image.rows}:
            self.schedule_removal(key)

    def schedule_restored_report(self, row: StoredRow) -> None:
        """Apply a report of a restored store later unless it is replaced.

        Until then, what was known of the server counts.

        Args:
          row: The stored report.
        """
        pending = self.restored_reports.pop(row.key, None)
        if pending:
            pending.cancel()
        self.restored_reports[row.key] = self.loop.call_later(
            ENTRY_RETURN_SECONDS, self.apply_restored_report, row
        )

    def apply_restored_report(self, row: StoredRow) -> None:
        """Apply a report that its server has not replaced."""
        self.apply_report(row)
        self.update_groups()

    def apply_servers_changes(self, changes: TableChanges) -> None:
        """Apply changes of the servers table.

        Args:
          changes: The written and removed reports.
        """
        for key in changes.removed:
            self.schedule_removal(key)
        for row in changes.rows:
            self.apply_report(row)
        self.update_groups()

    def apply_report(self, row: StoredRow) -> None:
        """Apply one server's report and cancel its pending removal.

        Args:
          row: The stored report.
        """
        pending = self.restored_reports.pop(row.key, None)
        if pending:
            pending.cancel()
        row = attrs.evolve(row, revision=row.revision + self.revision_offset)
        server = self.declaration_decoder.read_server(row)
        if server is None:
            self.log.event("report_unreadable", key=row.key)
            self.servers.pop(row.key, None)
            return
        handle = self.removal_timers.pop(row.key, None)
        if handle:
            handle.cancel()
        self.servers[row.key] = server

    def schedule_removal(self, key: str) -> None:
        """Remove a server later unless its report returns.

        Args:
          key: The key of its report.
        """
        if key in self.servers and key not in self.removal_timers:
            self.removal_timers[key] = self.loop.call_later(
                ENTRY_RETURN_SECONDS, self.remove_server, key
            )

    def remove_server(self, key: str) -> None:
        """Remove a server from its group.

        Args:
          key: The key of its report.
        """
        self.removal_timers.pop(key, None)
        self.servers.pop(key, None)
        self.update_groups()

    def update_groups(self) -> None:
        """Apply the declarations and the listed servers to all groups."""
        if self.declarations is None:
            return
        for name, group in self.declarations.groups.items():
            existing = self.groups.get(name)
            if existing is None:
                self.groups[name] = GroupRelay(
                    group,
                    self.opener,
                    self.proxy_location,
                    self.store_health,
                    self.homes,
                    self.log,
                    self.health_by_outcome,
                    self.drain_seconds,
                )
            else:
                existing.group = group
            self.groups[name].declared_version = self.declarations.version
            self.groups[name].apply_servers(
                one for one in self.servers.values() if one.group == name
            )
        for name in self.groups.keys() - self.declarations.groups.keys():
            self.groups.pop(name).apply_servers(())
        self.ready.set()

    def set_drain_seconds(self, drain_seconds: float) -> None:
        """Set how long a leaving server may receive statements.

        Args:
          drain_seconds: The time in seconds.
        """
        self.drain_seconds = drain_seconds
        for group in self.groups.values():
            group.drain_seconds = drain_seconds

    def cut_off(self) -> bool:
        """Return whether another proxy can serve callers better.

        This is the case if the store is unreachable and a group of which this
        proxy is a home has no usable primary.
        """
        return self.store_health.lost and any(
            group.usable_primary() is None
            for group in self.groups.values()
            if self.homes.is_home(group.group)
        )

    async def close(self) -> None:
        """Cancel pending removals and retire the servers' connection pools."""
        for handle in (
            *self.removal_timers.values(),
            *self.restored_reports.values(),
        ):
            handle.cancel()
        for group in self.groups.values():
            group.apply_servers(())
