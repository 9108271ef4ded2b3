"""Establishment of authenticated connections to peers."""

import asyncio
import collections.abc
import contextlib

from jackdawcrank.peers.handshake import (
    AuthenticatedPeer,
    Handshake,
    HandshakeFailed,
    NonceSource,
)
from jackdawcrank.peers.peer_connection import PeerConnection
from jackdawcrank.peers.peer_identity import PeerIdentity
from jackdawcrank_wire.codec import Codec
from jackdawcrank_wire.framing import FrameReader, FrameWriter

PEER_CONNECT_TIMEOUT_SECONDS = 1.0

RunHandshake = collections.abc.Callable[
    [Handshake],
    collections.abc.Coroutine[None, None, AuthenticatedPeer | HandshakeFailed],
]


class Connector:
    """Authenticates connections that are dialed or accepted."""

    def __init__(
        self, identity: PeerIdentity, codec: Codec, nonce_source: NonceSource
    ) -> None:
        self.identity = identity
        self.codec = codec
        self.nonce_source = nonce_source

    async def dial(
        self, vm: str, host: str, port: int
    ) -> PeerConnection | HandshakeFailed:
        """Connect to a VM and run the handshake.

        Args:
          vm: The VM.
          host: The IP address of the VM.
          port: The peer port of the VM.
        """
        try:
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_SECONDS):
                streams = await asyncio.open_connection(host, port)
        except (TimeoutError, OSError) as error:
            return HandshakeFailed(f"connection failed: {type(error).__name__}")
        return await self.authenticate(
            *streams, lambda handshake: handshake.dial(vm), True
        )

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> PeerConnection | HandshakeFailed:
        """Run the handshake on an accepted connection.

        Args:
          reader: The connection's reader.
          writer: The connection's writer.
        """
        return await self.authenticate(
            reader, writer, lambda handshake: handshake.accept(), False
        )

    async def authenticate(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        run: RunHandshake,
        dialed: bool,
    ) -> PeerConnection | HandshakeFailed:
        """Run the handshake, and abort the connection if it fails.

        Args:
          reader: The connection's reader.
          writer: The connection's writer.
          run: Runs the handshake as this end's role requires.
          dialed: Whether this end opened the connection.
        """
        frame_reader = FrameReader(reader)
        frame_writer = FrameWriter(writer)
        handshake = Handshake(
            self.identity,
            frame_reader,
            frame_writer,
            self.codec,
            self.nonce_source,
        )
        peer: AuthenticatedPeer | HandshakeFailed = HandshakeFailed(
            "handshake cancelled"
        )
        with contextlib.ExitStack() as stack:
            stack.callback(frame_writer.abort)
            peer = await run(handshake)
            if isinstance(peer, HandshakeFailed):
                return peer
            stack.pop_all()
        return PeerConnection(
            self.identity.vm,
            peer,
            frame_reader,
            frame_writer,
            self.codec,
            dialed,
        )
