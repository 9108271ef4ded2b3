"""A connection whose two ends are authenticated."""

import attrs

from jackdawcrank.peers.handshake import AuthenticatedPeer
from jackdawcrank_wire.codec import Codec
from jackdawcrank_wire.framing import FrameReader, FrameWriter


@attrs.frozen
class PeerConnection:
    """An authenticated connection that carries a stream.

    Attributes:
      local_vm: The VM of this end.
      peer: The identity of the other end.
      reader: Reads frames from the connection.
      writer: Writes frames to the connection.
      codec: Encodes and decodes messages.
      dialed: Whether this end opened the connection.
    """

    local_vm: str
    peer: AuthenticatedPeer
    reader: FrameReader
    writer: FrameWriter
    codec: Codec
    dialed: bool

    @property
    def dialer(self) -> str:
        """Return the VM that opened the connection."""
        return self.local_vm if self.dialed else self.peer.vm
