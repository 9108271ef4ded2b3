"""The first message of each peer on an authenticated stream."""

import attrs

PROTOCOL_VERSION = 1


@attrs.frozen
class Hello:
    """The identity and the versions of the sender.

    Attributes:
      vm: The VM of the sender.
      boot: The id of the sender's process, generated at each start.
      protocol_version: The newest protocol version that the sender supports.
      config_version: The configuration version in force at the sender.
    """

    vm: str
    boot: str
    protocol_version: int = PROTOCOL_VERSION
    config_version: int = 0
