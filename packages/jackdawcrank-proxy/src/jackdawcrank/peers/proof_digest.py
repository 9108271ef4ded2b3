"""Digests that prove knowledge of the shared secret."""

import enum
import hashlib
import hmac

import msgpack


class ProofRole(enum.StrEnum):
    """The end of a connection that a proof is for.

    The role is part of the digest, so that a proof cannot be sent back to
    the end that made it.
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
      role: The end that proves.
      acceptor_nonce: The accepting end's random bytes.
      dialer_nonce: The dialing end's random bytes.
      vm: The VM that proves.
      boot: The id of its process.
      peer_vm: The VM that the proof is for.
    """
    fields = [str(role), acceptor_nonce, dialer_nonce, vm, boot, peer_vm]
    return hmac.digest(secret, msgpack.packb(fields), hashlib.sha256)
