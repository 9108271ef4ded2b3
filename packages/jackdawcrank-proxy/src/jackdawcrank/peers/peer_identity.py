"""Who one end of a stream is."""

import attrs


@attrs.frozen
class PeerIdentity:
    """What a proxy proves to its peers.

    Attributes:
      vm: Its VM.
      boot: The id of its process, new at each start.
      secret: The secret that all proxies share.
    """

    vm: str
    boot: str
    secret: bytes = attrs.field(repr=False)
