"""A proof that the sender knows the shared secret."""

import attrs


@attrs.frozen
class Proof:
    """The response to a challenge.

    Attributes:
      vm: The VM of the sender.
      boot: The id of the sender's process.
      nonce: The challenge of the connecting peer; empty in the proof sent by
        the accepting peer.
      digest: The HMAC-SHA256 of the role, both nonces, the sender's VM and boot
        id, and the VM of the receiver.
    """

    vm: str
    boot: str
    nonce: bytes
    digest: bytes
