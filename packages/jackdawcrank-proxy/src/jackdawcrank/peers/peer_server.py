"""Server for the connections of other proxies."""

import asyncio

from absl import logging

from jackdawcrank.peers.handshake import HandshakeFailed
from jackdawcrank.peers.peer_handlers import PeerHandlers
from jackdawcrank.peers.peer_stream_pool import PeerStreamPool
from jackdawcrank.tasks import cancel_and_wait

MAX_HANDSHAKES = 128


class PeerServer:
    """Accepts connections and runs streams for authenticated peers.

    Attributes:
      refused: The number of connections that were refused.
    """

    def __init__(
        self,
        host: str,
        port: int,
        secret: bytes,
        vm: str,
        boot: str,
        handlers: PeerHandlers,
        peer_pool: PeerStreamPool | None = None,
    ) -> None:
        """Create the server; `start` opens the port.

        Args:
          host: The IP address to listen on.
          port: The TCP port; 0 selects a free one.
          secret: The secret that all proxies share.
          vm: This VM.
          boot: The id of this process.
          handlers: The handlers of the peers' messages.
          peer_pool: The pool that accepted streams are added to, so that one
            stream carries both ends' requests. If omitted, accepted streams
            carry only the peer's requests.
        """
        self.host = host
        self.port = port
        self.peer_pool = peer_pool or PeerStreamPool(vm, boot, secret, handlers)
        self.owns_peer_pool = peer_pool is None
        self.server: asyncio.Server | None = None
        self.handshakes: set[asyncio.Task[None]] = set()
        self.refused = 0

    async def start(self) -> None:
        """Open the port and set `port` to its number."""
        self.server = await asyncio.start_server(
            self.on_connection, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start the handshake of a connection, or refuse the connection.

        At most `MAX_HANDSHAKES` handshakes run at a time.

        Args:
          reader: The connection's reader.
          writer: The connection's writer.
        """
        if len(self.handshakes) >= MAX_HANDSHAKES:
            self.refused += 1
            writer.transport.abort()
            return
        task = asyncio.create_task(self.handle_connection(reader, writer))
        self.handshakes.add(task)
        task.add_done_callback(self.handshakes.discard)

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run the handshake, and add a stream to the pool if it succeeds.

        Args:
          reader: The connection's reader.
          writer: The connection's writer.
        """
        connection = await self.peer_pool.connector.accept(reader, writer)
        if isinstance(connection, HandshakeFailed):
            self.refused += 1
            logging.warning("peer connection refused: %s", connection.detail)
            return
        await self.peer_pool.add_connection(connection)

    async def close(self) -> None:
        """Close the port, and the pool unless it was passed in."""
        if self.server:
            self.server.close()
        await cancel_and_wait(self.handshakes)
        if self.owns_peer_pool:
            await self.peer_pool.close()
        if self.server:
            await self.server.wait_closed()
