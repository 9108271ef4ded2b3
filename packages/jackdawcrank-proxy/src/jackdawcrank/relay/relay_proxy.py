"""A proxy process that relays sessions to fenced groups."""

import asyncio
import os
import random
from collections.abc import Callable

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.caller_session import CallerSession
from jackdawcrank.relay.claim_rows import ClaimRows
from jackdawcrank.relay.directory import Directory
from jackdawcrank.relay.group_relay import Whereabouts
from jackdawcrank.relay.home_router import HomeRouter
from jackdawcrank.relay.home_server import HomeServer
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.idle_transactions import IdleTransactions
from jackdawcrank.relay.lane_care import LaneCare
from jackdawcrank.relay.leaving import Leaving
from jackdawcrank.relay.member_rows import (
    MEMBERS_TABLE,
    SETTLE_SECONDS,
    MemberRows,
)
from jackdawcrank.relay.relay_settings import RelaySettings
from jackdawcrank.relay.statement_runner import StatementRunner
from jackdawcrank.relay.store_contact import StoreContact
from jackdawcrank.relay.succession_service import SuccessionService
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.relay.table_teller import TableTeller
from jackdawcrank.relay.watch_contacts import WatchContacts
from jackdawcrank.seams.caller_frontend import CallerFrontend
from jackdawcrank.seams.declaration_decoder import DeclarationDecoder
from jackdawcrank.seams.metadata_store import MetadataStore
from jackdawcrank.seams.promotion_service import PromotionService
from jackdawcrank.seams.server_connection import ConnectionOpener
from jackdawcrank.timer import TimerService
from jackdawcrank_policy.homes import Member

# Callers give up on connecting after 2 s.
FIRST_CONFIGURATION_SECONDS = 1.8
# A wait for declarations, so that a connection that fell silent is noticed
# within the bound of a configuration (3 s at least).
DECLARATIONS_WAIT_SHARE = 0.9
# Leaving servers may be given work for 7 s or more.
SERVERS_WAIT_SHARE = 0.75
# The store keeps 20 s of changes on the users' sites.
MEMBERS_WAIT_SECONDS = 15.0
# VMs that start together have found each other by then; below the time in
# which a started process must know a configuration (3 s and more).
CONTACTS_SECONDS = 2.5


class RelayProxy:
    """Owns the parts of the process.

    Attributes:
      settings: The process's settings.
      directory: Declarations, groups and servers.
      front: Accepts callers.
      leaving: Ends the process in order.
    """

    def __init__(
        self,
        settings: RelaySettings,
        store: MetadataStore,
        form: DeclarationDecoder,
        opener: ConnectionOpener,
        authority: PromotionService,
        front: CallerFrontend,
        log: DecisionLog,
        detect_dead_peer: Callable[[asyncio.BaseTransport], None],
    ) -> None:
        rng = random.Random()
        self.settings = settings
        self.log = log
        self.front = front
        self.timer = TimerService()
        self.contact = StoreContact(log)
        own = own_member(settings)
        self.members = MemberRows(store, own, log, rng)
        self.homes = Homes(self.members)
        self.directory = Directory(
            form,
            opener,
            Whereabouts(settings.data_center, settings.regions),
            self.contact,
            self.homes,
            log,
        )
        self.followers = {
            one.table: one
            for one in (
                TableFollower(
                    store,
                    form.declarations_table,
                    settings.configuration_seconds * DECLARATIONS_WAIT_SHARE,
                    CONTACTS_SECONDS,
                    self.directory.declarations_read,
                    self.directory.declarations_changed,
                    self.contact,
                    log,
                    rng,
                    lambda: True,
                ),
                TableFollower(
                    store,
                    form.servers_table,
                    settings.drain_seconds * SERVERS_WAIT_SHARE,
                    CONTACTS_SECONDS,
                    self.directory.servers_read,
                    self.directory.servers_changed,
                    self.contact,
                    log,
                    rng,
                    self.needs_servers,
                ),
                TableFollower(
                    store,
                    MEMBERS_TABLE,
                    MEMBERS_WAIT_SECONDS,
                    SETTLE_SECONDS,
                    self.members.image_read,
                    self.members.changes_read,
                    self.contact,
                    log,
                    rng,
                    lambda: True,
                ),
            )
        }
        self.members.store_seconds = self.followers[MEMBERS_TABLE].store_seconds
        runner = StatementRunner(self.directory, log)
        self.router = HomeRouter(
            runner, self.homes, log, self.followers, detect_dead_peer
        )
        self.teller = TableTeller(self.followers.values())
        self.contacts = WatchContacts(
            self.router, self.members, self.followers.values(), log
        )
        self.home_server = HomeServer(
            settings.host,
            settings.peer_port,
            runner,
            self.directory,
            log,
            detect_dead_peer,
            self.teller,
        )
        # A restarted process must not take its predecessor's claim for its
        # own.
        process = f"{settings.vm}-{os.getpid()}-{rng.getrandbits(32):08x}"
        self.succession = SuccessionService(
            self.directory,
            settings.vm,
            process,
            ClaimRows(store, self.contact, log),
            authority,
            log,
            rng,
        )
        self.lane_care = LaneCare(self.directory)
        self.idle_transactions = IdleTransactions(self.directory, front, log)
        self.leaving = Leaving(
            front, self.home_server, settings.stop_grace_seconds, log
        )

    def is_home(self) -> bool:
        """Return whether this proxy is a home of any group."""
        declarations = self.directory.declarations
        if declarations is None:
            return False
        return any(
            self.homes.is_home(group) for group in declarations.groups.values()
        )

    def needs_servers(self) -> bool:
        """Return whether statements may be run from here."""
        return self.home_server.wanted.is_set() or self.is_home()

    async def start(self) -> None:
        """Begin to follow the store and to accept callers."""
        self.log.event("started", data_center=self.settings.data_center)
        await self.timer.start()
        await self.log.start(self.timer)
        await self.members.start(self.timer)
        for follower in self.followers.values():
            await follower.start()
        await self.home_server.start()
        await self.teller.start(self.timer)
        await self.contacts.start(self.timer)
        await self.front.start(self)
        await self.lane_care.start(self.timer)
        await self.idle_transactions.start(self.timer)
        await self.succession.start(self.timer)

    async def open_session(self, database: str) -> CallerSession | None:
        """Return a session; None if the database is not declared.

        Args:
          database: What the caller named.

        Raises:
          TimeoutError: The declarations have not been read yet.
        """
        async with asyncio.timeout(FIRST_CONFIGURATION_SECONDS):
            await self.directory.ready.wait()
            if self.is_home():
                await self.directory.servers_seen.wait()
        if self.directory.resolve(database) is None:
            return None
        return CallerSession(database, self.directory, self.router)

    def readiness(self) -> bool:
        """Return whether new callers should be sent here."""
        return (
            self.directory.ready.is_set()
            and (self.directory.servers_known or not self.is_home())
            and not self.leaving.begun
            and not self.directory.cut_off()
        )

    async def stop(self) -> None:
        """Leave: let what is under way end, then close."""
        await self.leaving.leave()
        await self.close()

    async def close(self) -> None:
        """Close every part."""
        await self.succession.close()
        await self.front.close()
        await self.members.close()
        await self.contacts.close()
        await self.teller.close()
        await self.router.close()
        await self.home_server.close()
        for follower in self.followers.values():
            await follower.close()
        await self.directory.close()
        self.log.event("stopped")
        await self.log.close()
        await self.timer.close()


def own_member(settings: RelaySettings) -> Member:
    """Return this VM as others see it.

    Args:
      settings: The process's settings.
    """
    return Member(
        settings.vm,
        settings.host,
        settings.peer_port,
        settings.data_center,
        settings.regions.get(settings.data_center, settings.data_center),
        settings.capacity,
    )
