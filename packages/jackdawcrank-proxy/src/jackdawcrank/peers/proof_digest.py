"""HMAC digests that prove knowledge of the shared secret."""

import enum
import hashlib
import hmac

import msgpack


class ProofRole(enum.StrEnum):
    """The end of a connection that makes a proof.

    The role is part of the digest, which prevents reflection attacks: a proof
    is not valid when sent back to the end that made it.
    """

    DIALER = "dialer"
    ACCEPTOR = "acceptor"


def proof_digest(
    secret: bytes,
    role: ProofRole,
    acceptor_nonce: bytes,
    dialer_nonce: bytes,
    vm: str,
    boot: str,
    peer_vm: str,
) -> bytes:
    """Return the HMAC-SHA256 that proves knowledge of a secret.

    Args:
      secret: The shared secret.
      role: The role of the end that makes the proof.
      acceptor_nonce: The accepting end's nonce.
      dialer_nonce: The dialing end's nonce.
      vm: The VM that makes the proof.
      boot: The process id of that VM, new at each start.
      peer_vm: The VM that the proof is meant for.
    """
    fields = [str(role), acceptor_nonce, dialer_nonce, vm, boot, peer_vm]
    return hmac.digest(secret, msgpack.packb(fields), hashlib.sha256)
