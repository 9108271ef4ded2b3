"""Handlers for the messages of other proxies."""

from jackdawcrank.config import (
    ConfigurationFollower,
    PeerUpdate,
    decode_peer_record,
    peer_records,
)
from jackdawcrank.membership import MembershipTracker
from jackdawcrank.peers import PeerHandlers, PeerStreamPool
from jackdawcrank.process.entry_router import EntryRouter
from jackdawcrank.process.group_peers import answer_from_evidence
from jackdawcrank.process.home_registry import HomeRegistry
from jackdawcrank_wire.messages import (
    Answer,
    AskEvidence,
    ChangesAnswer,
    ChangesRequest,
    ConfigVersion,
    EvidenceAnswer,
    Execute,
    GiveUpLease,
    Hello,
    LeaseGivenUp,
    Leaving,
)

PEER_READ_TIMEOUT_SECONDS = 1.0
PEER_READ_FANOUT = 3


class PeerService:
    """Handles the messages of other proxies.

    Attributes:
      registry: The homes on this VM.
      router: Runs forwarded statements.
      follower: Maintains the configuration in force.
      tracker: Tracks the membership.
      peer_pool: The streams to other VMs.
    """

    def __init__(
        self,
        registry: HomeRegistry,
        router: EntryRouter,
        follower: ConfigurationFollower,
        tracker: MembershipTracker,
        peer_pool: PeerStreamPool,
    ) -> None:
        self.registry = registry
        self.router = router
        self.follower = follower
        self.tracker = tracker
        self.peer_pool = peer_pool

    def register(self, handlers: PeerHandlers) -> None:
        """Register a handler for each message type.

        Args:
          handlers: The message handlers of the streams.
        """
        handlers.register(Execute, self.execute)
        handlers.register(GiveUpLease, self.give_up_lease)
        handlers.register(AskEvidence, self.ask_evidence)
        handlers.register(ChangesRequest, self.changes_request)
        handlers.register(ConfigVersion, self.config_version)
        handlers.register(Hello, self.hello)
        handlers.register(Leaving, self.leaving)

    async def execute(self, vm: str, message: Execute) -> Answer:
        """Run a forwarded statement."""
        self.tracker.heard(vm)
        return Answer(0, await self.router.serve_peer(message.statement))

    async def give_up_lease(
        self, vm: str, message: GiveUpLease
    ) -> LeaseGivenUp | None:
        """Give up the leases below a claimed term for a promotion."""
        self.tracker.heard(vm)
        home = self.registry.homes.get(message.group)
        if home is not None:
            home.agent.give_up_requested(message.term)
            home.group.state.give_up_lease(message.term - 1)
            if home.agent.status().health.is_answering:
                await home.group.state.quiesce()
        else:
            self.registry.leases.give_up(message.group, message.term - 1)
        return LeaseGivenUp(0, message.group, message.term)

    async def ask_evidence(
        self, vm: str, message: AskEvidence
    ) -> EvidenceAnswer:
        """Return this VM's evidence on a group's primary."""
        self.tracker.heard(vm)
        home = self.registry.homes.get(message.group)
        if home is None:
            return EvidenceAnswer(0, message.group)
        return answer_from_evidence(await home.agent.suspicion_asked())

    async def changes_request(
        self, vm: str, message: ChangesRequest
    ) -> ChangesAnswer:
        """Return configuration changes that the peer lacks."""
        self.tracker.heard(vm)
        first, records = peer_records(
            self.follower.state, message.after, message.limit
        )
        return ChangesAnswer(0, first, records, self.follower.version)

    async def config_version(self, vm: str, message: ConfigVersion) -> None:
        """Read the change log immediately if a peer has a newer version."""
        self.tracker.heard(vm)
        await self.follower.handle_peer_version(message.version)

    async def hello(self, vm: str, message: Hello) -> None:
        """Record the boot id and version that a peer sent on a new stream."""
        self.tracker.heard(vm, boot=message.boot)
        await self.follower.handle_peer_version(message.config_version)

    async def leaving(self, vm: str, message: Leaving) -> None:
        """Record that a peer is shutting down."""
        self.tracker.announced_leaving(message.vm)

    async def read_from_peers(self, version: int) -> list[PeerUpdate]:
        """Return the changes after a version, as read from a few peers.

        Args:
          version: The version in force on this VM.
        """
        peers = self.peer_pool.connected() or sorted(self.peer_pool.addresses)
        updates: list[PeerUpdate] = []
        for vm in peers[:PEER_READ_FANOUT]:
            answer = await self.peer_pool.request(
                vm, ChangesRequest(0, version), PEER_READ_TIMEOUT_SECONDS
            )
            if isinstance(answer, ChangesAnswer):
                decoded = [
                    decode_peer_record(record) for record in answer.changes
                ]
                updates.extend(
                    update for update in decoded if update is not None
                )
        return updates
