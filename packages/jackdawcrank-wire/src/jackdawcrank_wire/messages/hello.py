"""The first message of each end of an authenticated stream."""

import attrs

PROTOCOL_VERSION = 1


@attrs.frozen
class Hello:
    """What one end of a stream says of itself.

    Attributes:
      vm: The sender's VM.
      boot: The id of the sender's process, new at each start.
      protocol_version: The newest protocol version that the sender speaks.
      config_version: The newest configuration version in force there.
    """

    vm: str
    boot: str
    protocol_version: int = PROTOCOL_VERSION
    config_version: int = 0
