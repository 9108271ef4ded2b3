"""A connection whose two ends have proven themselves."""

import attrs

from jackdawcrank.peers.handshake import AuthenticatedPeer
from jackdawcrank_wire.codec import Codec
from jackdawcrank_wire.framing import FrameReader, FrameWriter


@attrs.frozen
class PeerConnection:
    """What a stream runs on.

    Attributes:
      local_vm: This VM.
      peer: The other end.
      reader: Reads the other end's frames.
      writer: Writes this end's frames.
      codec: Encodes messages.
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
