"""Pool of the streams to all other proxies."""

import asyncio
import collections.abc
import random
import secrets

from jackdawcrank.peers.backoff import Backoff
from jackdawcrank.peers.connector import Connector
from jackdawcrank.peers.handshake import HandshakeFailed, NonceSource
from jackdawcrank.peers.peer_connection import PeerConnection
from jackdawcrank.peers.peer_handlers import PeerHandlers
from jackdawcrank.peers.peer_identity import PeerIdentity
from jackdawcrank.peers.peer_stream import IsMonitored, PeerReply, PeerStream
from jackdawcrank.peers.peer_unreachable import PeerUnreachable
from jackdawcrank.peers.request_types import Request
from jackdawcrank.peers.streamed_answer import StreamedAnswer
from jackdawcrank.timer import Subscription, Timer
from jackdawcrank_wire.codec import Codec, MsgpackCodec
from jackdawcrank_wire.messages import Hello, Message

MAX_RESULT_BYTES = 64 * 1024 * 1024
MAX_ATTEMPTS = 2
IDLE_TIMEOUT_SECONDS = 60.0
SWEEP_INTERVAL_SECONDS = 10.0
NOTIFY_TIMEOUT_SECONDS = 2.0

Address = tuple[str, int]
LostCallback = collections.abc.Callable[[str, str], None]


class PeerStreamPool:
    """Keeps at most one stream in use for each peer.

    A stream is dialed when it is first needed, or added when the peer has
    dialed. If both dial at the same time, both prefer the stream dialed by the
    VM whose name sorts first; the other one is closed when it is idle.

    Attributes:
      lost_callbacks: Called with a VM and a reason when the stream to the VM
        breaks, but not when either end closes it gracefully.
      is_monitored: Returns whether something besides requests depends on a VM,
        such as a transaction that one of its callers has open here.
      config_version: The configuration version sent to peers on connect.
    """

    def __init__(
        self,
        vm: str,
        boot: str,
        secret: bytes,
        handlers: PeerHandlers | None = None,
        codec: Codec | None = None,
        rng: random.Random | None = None,
        nonce_source: NonceSource = secrets.token_bytes,
    ) -> None:
        self.vm = vm
        self.boot = boot
        self.handlers = handlers or PeerHandlers()
        self.rng = rng or random.Random()
        self.connector = Connector(
            PeerIdentity(vm, boot, secret),
            codec or MsgpackCodec(),
            nonce_source,
        )
        self.addresses: dict[str, Address] = {}
        self.streams: dict[str, PeerStream] = {}
        self.all_streams: set[PeerStream] = set()
        self.pending_dials: dict[
            str, asyncio.Task[PeerStream | PeerUnreachable]
        ] = {}
        self.backoffs: dict[str, Backoff] = {}
        self.lost_callbacks: list[LostCallback] = []
        self.is_monitored: IsMonitored = lambda vm: False
        self.pending_closes: set[asyncio.Task[None]] = set()
        self.subscription: Subscription | None = None
        self.config_version = 0
        self.closed = False

    async def start(self, timer: Timer) -> None:
        """Start closing idle streams periodically.

        Args:
          timer: The timer that runs the periodic task.
        """
        self.subscription = timer.subscribe(
            "idle peer streams", SWEEP_INTERVAL_SECONDS, self.close_idle
        )

    def set_addresses(
        self, addresses: collections.abc.Mapping[str, Address]
    ) -> None:
        """Replace the peers' addresses; open streams are kept.

        The backoff of a VM whose address changed is reset.

        Args:
          addresses: The IP address and peer port of each VM.
        """
        self.backoffs = {
            vm: backoff
            for vm, backoff in self.backoffs.items()
            if addresses.get(vm) == self.addresses.get(vm)
        }
        self.addresses = dict(addresses)

    def connected(self) -> list[str]:
        """Return the VMs with a usable stream, in sorted order."""
        return sorted(
            vm for vm, stream in self.streams.items() if stream.usable
        )

    async def request(
        self, vm: str, message: Request, timeout: float
    ) -> Message | PeerUnreachable:
        """Send a request and return the complete answer.

        Args:
          vm: The VM to send the request to.
          message: The request; its number is filled in.
          timeout: The timeout in seconds.
        """
        reply = await self.request_streamed(vm, message, timeout)
        if isinstance(reply, StreamedAnswer):
            return await reply.collect(MAX_RESULT_BYTES)
        return reply

    async def request_streamed(
        self, vm: str, message: Request, timeout: float
    ) -> PeerReply:
        """Send a request and return its answer, in chunks if it is large.

        If the stream ends and the request certainly reached no handler, it is
        sent again on a new stream.

        Args:
          vm: The VM to send the request to.
          message: The request; its number is filled in.
          timeout: The timeout in seconds.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        reply: PeerReply = PeerUnreachable(vm, False, "not attempted")
        for _ in range(MAX_ATTEMPTS):
            stream = await self.stream_to(vm, deadline)
            if isinstance(stream, PeerUnreachable):
                return stream
            reply = await stream.request(message, deadline)
            if stream.usable or not is_unsent(reply):
                return reply
        return reply

    async def notify(
        self, vm: str, message: Message, timeout: float = NOTIFY_TIMEOUT_SECONDS
    ) -> bool:
        """Send a message that expects no answer.

        Args:
          vm: The VM to notify.
          message: The message.
          timeout: The timeout in seconds.

        Returns:
          Whether the message was written to a connection.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        for _ in range(MAX_ATTEMPTS):
            stream = await self.stream_to(vm, deadline)
            if isinstance(stream, PeerUnreachable):
                return False
            if await stream.notify(message, deadline):
                return True
            if stream.usable:
                return False
        return False

    def broadcast(self, message: Message, limit: int | None = None) -> None:
        """Send a short message to the peers with an open stream.

        Args:
          message: The message, which expects no answer.
          limit: The number of peers, chosen at random; None for all.
        """
        streams = [one for one in self.streams.values() if one.usable]
        if limit is not None and limit < len(streams):
            streams = self.rng.sample(streams, limit)
        for stream in streams:
            stream.post(message)

    async def stream_to(
        self, vm: str, deadline: float
    ) -> PeerStream | PeerUnreachable:
        """Return a usable stream to a VM, dialing if there is none.

        Args:
          vm: The VM.
          deadline: The deadline, in seconds on the event loop's clock.
        """
        stream = self.streams.get(vm)
        if stream is not None and stream.usable:
            return stream
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(self.shared_dial(vm))
        except TimeoutError:
            return PeerUnreachable(vm, False, "connection timed out")

    def shared_dial(
        self, vm: str
    ) -> asyncio.Task[PeerStream | PeerUnreachable]:
        """Return the dial task of a VM, shared by all its waiters.

        Args:
          vm: The VM.
        """
        task = self.pending_dials.get(vm)
        if task is None:
            task = asyncio.create_task(self.dial(vm))
            self.pending_dials[vm] = task
            task.add_done_callback(lambda _: self.pending_dials.pop(vm, None))
        return task

    async def dial(self, vm: str) -> PeerStream | PeerUnreachable:
        """Open a stream to a VM, unless its backoff delays the attempt.

        Args:
          vm: The VM.
        """
        now = asyncio.get_running_loop().time()
        address = self.addresses.get(vm)
        if self.closed or address is None or vm == self.vm:
            return PeerUnreachable(vm, False, "no address known")
        backoff = self.backoffs.setdefault(vm, Backoff(self.rng))
        if not backoff.allows(now):
            return PeerUnreachable(
                vm, False, "backing off after a failed connection attempt"
            )
        connection = await self.connector.dial(vm, *address)
        if isinstance(connection, HandshakeFailed):
            backoff.record_failure(asyncio.get_running_loop().time())
            return PeerUnreachable(vm, False, connection.detail)
        backoff.record_success()
        return await self.add_connection(connection)

    async def add_connection(self, connection: PeerConnection) -> PeerStream:
        """Run a stream on an authenticated connection.

        Args:
          connection: The connection, dialed or accepted.
        """
        stream = PeerStream(
            connection,
            self.handlers,
            self.remove_stream,
            self.is_peer_monitored,
        )
        self.all_streams.add(stream)
        if self.replaces_current(stream):
            self.streams[stream.vm] = stream
        stream.post(
            Hello(self.vm, self.boot, config_version=self.config_version)
        )
        await stream.start()
        return stream

    def replaces_current(self, stream: PeerStream) -> bool:
        """Return whether a new stream replaces the one in use.

        Args:
          stream: The new stream.
        """
        current = self.streams.get(stream.vm)
        if current is None or not current.usable:
            return True
        if current.connection.peer.boot != stream.connection.peer.boot:
            return True
        preferred = min(self.vm, stream.vm)
        return (
            stream.connection.dialer == preferred
            or current.connection.dialer != preferred
        )

    def is_peer_monitored(self, vm: str) -> bool:
        """Return whether a VM is monitored even without open requests.

        Args:
          vm: The VM.
        """
        return self.is_monitored(vm)

    def remove_stream(self, stream: PeerStream, detail: str) -> None:
        """Remove a lost stream and report the loss unless it was closed.

        Args:
          stream: The stream.
          detail: Why the stream was lost.
        """
        self.all_streams.discard(stream)
        if self.streams.get(stream.vm) is not stream:
            return
        del self.streams[stream.vm]
        if not stream.is_closing:
            for callback in self.lost_callbacks:
                callback(stream.vm, detail)

    async def close_idle(self, now: float) -> None:
        """Close the streams unused for `IDLE_TIMEOUT_SECONDS`.

        Args:
          now: The timer's time; ignored, since streams use the loop's clock.
        """
        del now
        limit = asyncio.get_running_loop().time() - IDLE_TIMEOUT_SECONDS
        for stream in list(self.all_streams):
            if stream.last_used_at < limit and not stream.busy:
                task = asyncio.create_task(stream.close())
                self.pending_closes.add(task)
                task.add_done_callback(self.pending_closes.discard)

    async def close(self) -> None:
        """Finish outstanding requests, then close all streams."""
        self.closed = True
        if self.subscription:
            self.subscription.close()
        for dial in list(self.pending_dials.values()):
            dial.cancel()
        pending_closes = [stream.close() for stream in self.all_streams]
        await asyncio.gather(*pending_closes, *self.pending_closes)


def is_unsent(reply: PeerReply) -> bool:
    """Return whether a request certainly reached no handler.

    Args:
      reply: The answer to the request, or why there is none.
    """
    return isinstance(reply, PeerUnreachable) and not reply.sent
