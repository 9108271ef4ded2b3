"""The declaration of a client account."""

import attrs


@attrs.frozen
class AccountSpec:
    """A client account, the keys of its callers and its limit.

    Attributes:
      name: The account's name.
      key_digests: The SHA-256 digests of its keys.
      rate_per_second: The operations per second that it may run on all VMs
        together.
      burst: The operations that it may run beyond its rate at once.
    """

    name: str
    key_digests: frozenset[bytes]
    rate_per_second: float
    burst: float
