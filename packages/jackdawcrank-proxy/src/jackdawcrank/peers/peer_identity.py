"""The identity of a proxy towards its peers."""

import attrs


@attrs.frozen
class PeerIdentity:
    """The identity that a proxy proves in the handshake.

    Attributes:
      vm: The VM of the proxy.
      boot: The id of the proxy's process, new at each start.
      secret: The secret that all proxies share.
    """

    vm: str
    boot: str
    secret: bytes = attrs.field(repr=False)
