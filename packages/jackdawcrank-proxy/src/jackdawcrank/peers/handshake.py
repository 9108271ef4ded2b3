"""The proof of the shared secret at the start of a connection."""

import asyncio
import collections.abc
import dataclasses
import hmac

from jackdawcrank.peers.peer_identity import PeerIdentity
from jackdawcrank.peers.proof_digest import ProofRole, proof_digest
from jackdawcrank_wire.codec import Codec, Malformed
from jackdawcrank_wire.framing import FrameReader, FrameWriter, StreamEnd
from jackdawcrank_wire.messages import Challenge, Message, Proof

HANDSHAKE_TIMEOUT_SECONDS = 2.0
MAX_HANDSHAKE_FRAME_BYTES = 1024
NONCE_BYTES = 32

NonceSource = collections.abc.Callable[[int], bytes]


@dataclasses.dataclass(frozen=True)
class HandshakeFailed:
    """Says why a connection was not accepted.

    Attributes:
      detail: What was wrong.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class AuthenticatedPeer:
    """The other end of a connection, proven to know the secret.

    Attributes:
      vm: Its VM.
      boot: The id of its process.
    """

    vm: str
    boot: str


class Handshake:
    """Proves both ends of a new connection to each other.

    No other message is read before the proof, frames are short and the whole
    exchange has one deadline, so that a stranger can hold little.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        reader: FrameReader,
        writer: FrameWriter,
        codec: Codec,
        nonce_source: NonceSource,
    ) -> None:
        self.identity = identity
        self.reader = reader
        self.writer = writer
        self.codec = codec
        self.nonce = nonce_source(NONCE_BYTES)

    async def accept(self) -> AuthenticatedPeer | HandshakeFailed:
        """Challenge the dialing end and prove this end to it."""
        return await self.within_deadline(self.run_acceptor())

    async def dial(
        self, expected_vm: str
    ) -> AuthenticatedPeer | HandshakeFailed:
        """Answer the accepting end's challenge and check its proof.

        Args:
          expected_vm: The VM that should be at the other end; an address may
            by now belong to another one.
        """
        return await self.within_deadline(self.run_dialer(expected_vm))

    async def within_deadline(
        self,
        exchange: collections.abc.Coroutine[
            None, None, AuthenticatedPeer | HandshakeFailed
        ],
    ) -> AuthenticatedPeer | HandshakeFailed:
        """Return the result of an exchange, or a failure after the deadline.

        Args:
          exchange: The exchange.
        """
        frame_bytes = self.reader.max_frame_bytes
        self.reader.max_frame_bytes = MAX_HANDSHAKE_FRAME_BYTES
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                return await exchange
        except TimeoutError:
            return HandshakeFailed("the handshake took too long")
        finally:
            self.reader.max_frame_bytes = frame_bytes

    async def run_acceptor(self) -> AuthenticatedPeer | HandshakeFailed:
        """Run the accepting end's side."""
        self.send(Challenge(self.nonce))
        proof = await self.receive()
        if not isinstance(proof, Proof):
            return HandshakeFailed("no proof")
        if len(proof.nonce) != NONCE_BYTES:
            return HandshakeFailed("a nonce of a wrong length")
        if not self.is_valid(proof, ProofRole.DIALER, self.nonce, proof.nonce):
            return HandshakeFailed("the proof is wrong")
        digest = proof_digest(
            self.identity.secret,
            ProofRole.ACCEPTOR,
            self.nonce,
            proof.nonce,
            self.identity.vm,
            self.identity.boot,
            proof.vm,
        )
        self.send(Proof(self.identity.vm, self.identity.boot, b"", digest))
        return AuthenticatedPeer(proof.vm, proof.boot)

    async def run_dialer(
        self, expected_vm: str
    ) -> AuthenticatedPeer | HandshakeFailed:
        """Run the dialing end's side.

        Args:
          expected_vm: The VM that should be at the other end.
        """
        challenge = await self.receive()
        if not isinstance(challenge, Challenge):
            return HandshakeFailed("no challenge")
        if len(challenge.nonce) != NONCE_BYTES:
            return HandshakeFailed("a nonce of a wrong length")
        digest = proof_digest(
            self.identity.secret,
            ProofRole.DIALER,
            challenge.nonce,
            self.nonce,
            self.identity.vm,
            self.identity.boot,
            expected_vm,
        )
        self.send(
            Proof(self.identity.vm, self.identity.boot, self.nonce, digest)
        )
        proof = await self.receive()
        if not isinstance(proof, Proof) or proof.vm != expected_vm:
            return HandshakeFailed(f"{expected_vm} is not at the other end")
        if not self.is_valid(
            proof, ProofRole.ACCEPTOR, challenge.nonce, self.nonce
        ):
            return HandshakeFailed("the proof is wrong")
        return AuthenticatedPeer(proof.vm, proof.boot)

    def is_valid(
        self,
        proof: Proof,
        role: ProofRole,
        acceptor_nonce: bytes,
        dialer_nonce: bytes,
    ) -> bool:
        """Return whether the other end's proof is right.

        Args:
          proof: The proof.
          role: The other end's role.
          acceptor_nonce: The accepting end's random bytes.
          dialer_nonce: The dialing end's random bytes.
        """
        expected = proof_digest(
            self.identity.secret,
            role,
            acceptor_nonce,
            dialer_nonce,
            proof.vm,
            proof.boot,
            self.identity.vm,
        )
        return hmac.compare_digest(expected, proof.digest)

    def send(self, message: Message) -> None:
        """Hand a message to the connection.

        Args:
          message: The message.
        """
        self.writer.write(self.codec.encode(message))

    async def receive(self) -> Message | Malformed | StreamEnd:
        """Return the other end's next message."""
        frame = await self.reader.read()
        if isinstance(frame, StreamEnd):
            return frame
        return self.codec.decode(frame)
