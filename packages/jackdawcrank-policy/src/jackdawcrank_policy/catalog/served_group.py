"""The declaration of a group of backend servers."""

import attrs


@attrs.frozen
class ServedGroup:
    """A group that consists of a primary and its replicas.

    Attributes:
      name: The group's name.
      connection_limit: The number of connections that each of its servers
        accepts from all proxies together.
      confirming_replicas: The number of replicas that must receive a commit
        before the primary acknowledges it.
    """

    name: str
    connection_limit: int
    confirming_replicas: int
