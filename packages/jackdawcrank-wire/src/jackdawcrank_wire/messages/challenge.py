"""The challenge that starts the authentication of a stream."""

import attrs


@attrs.frozen
class Challenge:
    """Requests proof that the connecting peer knows the shared secret.

    The accepting peer sends it as the first message of a stream.

    Attributes:
      nonce: Random bytes, generated for each connection.
    """

    nonce: bytes
