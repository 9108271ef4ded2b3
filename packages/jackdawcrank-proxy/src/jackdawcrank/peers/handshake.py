"""Mutual authentication by shared secret at the start of a connection."""

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
    """Reports why a connection was rejected.

    Attributes:
      detail: What went wrong.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class AuthenticatedPeer:
    """The other end of a connection, which has proven to know the secret.

    Attributes:
      vm: The peer's VM.
      boot: The id of the peer's process.
    """

    vm: str
    boot: str


class Handshake:
    """Authenticates both ends of a new connection to each other.

    To limit the resources that an unauthenticated client can occupy, no other
    message is read before the proof, frames are limited to
    `MAX_HANDSHAKE_FRAME_BYTES` and one timeout covers the whole exchange.
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
        """Challenge the dialing end and send it this end's proof."""
        return await self.within_deadline(self.run_acceptor())

    async def dial(
        self, expected_vm: str
    ) -> AuthenticatedPeer | HandshakeFailed:
        """Answer the accepting end's challenge and check its proof.

        Args:
          expected_vm: The VM that should be at the other end. The address may
            have been reassigned to another VM.
        """
        return await self.within_deadline(self.run_dialer(expected_vm))

    async def within_deadline(
        self,
        exchange: collections.abc.Coroutine[
            None, None, AuthenticatedPeer | HandshakeFailed
        ],
    ) -> AuthenticatedPeer | HandshakeFailed:
        """Return the result of an exchange, or a failure after a timeout.

        The frame size is limited while the exchange runs.

        Args:
          exchange: This end's side of the handshake.
        """
        frame_bytes = self.reader.max_frame_bytes
        self.reader.max_frame_bytes = MAX_HANDSHAKE_FRAME_BYTES
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                return await exchange
        except TimeoutError:
            return HandshakeFailed("handshake timed out")
        finally:
            self.reader.max_frame_bytes = frame_bytes

    async def run_acceptor(self) -> AuthenticatedPeer | HandshakeFailed:
        """Run the accepting end's side of the handshake."""
        self.send(Challenge(self.nonce))
        proof = await self.receive()
        if not isinstance(proof, Proof):
            return HandshakeFailed("expected a proof message")
        if len(proof.nonce) != NONCE_BYTES:
            return HandshakeFailed("nonce has the wrong length")
        if not self.is_valid(proof, ProofRole.DIALER, self.nonce, proof.nonce):
            return HandshakeFailed("proof does not match the shared secret")
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
        """Run the dialing end's side of the handshake.

        Args:
          expected_vm: The VM that should be at the other end.
        """
        challenge = await self.receive()
        if not isinstance(challenge, Challenge):
            return HandshakeFailed("expected a challenge message")
        if len(challenge.nonce) != NONCE_BYTES:
            return HandshakeFailed("nonce has the wrong length")
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
            return HandshakeFailed(
                f"the other end did not identify as {expected_vm}"
            )
        if not self.is_valid(
            proof, ProofRole.ACCEPTOR, challenge.nonce, self.nonce
        ):
            return HandshakeFailed("proof does not match the shared secret")
        return AuthenticatedPeer(proof.vm, proof.boot)

    def is_valid(
        self,
        proof: Proof,
        role: ProofRole,
        acceptor_nonce: bytes,
        dialer_nonce: bytes,
    ) -> bool:
        """Return whether the other end's proof is valid.

        Args:
          proof: The proof.
          role: The other end's role.
          acceptor_nonce: The accepting end's nonce.
          dialer_nonce: The dialing end's nonce.
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
        """Write a message to the connection.

        Args:
          message: The message.
        """
        self.writer.write(self.codec.encode(message))

    async def receive(self) -> Message | Malformed | StreamEnd:
        """Return the next message, or why there is none."""
        frame = await self.reader.read()
        if isinstance(frame, StreamEnd):
            return frame
        return self.codec.decode(frame)
