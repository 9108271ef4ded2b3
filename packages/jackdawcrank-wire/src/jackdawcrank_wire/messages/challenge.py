"""The challenge that an accepting end sends first."""

import attrs


@attrs.frozen
class Challenge:
    """Asks the dialing end to prove that it knows the shared secret.

    Attributes:
      nonce: Random bytes, new for each connection.
    """

    nonce: bytes
