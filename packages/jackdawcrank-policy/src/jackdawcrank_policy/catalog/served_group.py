"""The declaration of a group of backend servers."""

import attrs


@attrs.frozen
class ServedGroup:
    """A primary and its replicas.

    Attributes:
      name: The group's name.
      connection_limit: Connections that one of its servers accepts from all
        proxies together.
      confirming_replicas: Replicas that have received a commit before the
        primary acknowledges it.
    """

    name: str
    connection_limit: int
    confirming_replicas: int
