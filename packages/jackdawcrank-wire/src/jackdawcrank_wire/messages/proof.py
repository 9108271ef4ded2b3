"""A proof that the sender knows the shared secret."""

import attrs


@attrs.frozen
class Proof:
    """Answers a challenge.

    Attributes:
      vm: The sender's VM.
      boot: The id of the sender's process.
      nonce: The dialing end's own challenge; empty in the answer to it.
      digest: The HMAC-SHA256 over the role, both nonces, VM and boot id.
    """

    vm: str
    boot: str
    nonce: bytes
    digest: bytes
