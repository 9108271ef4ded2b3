"""A VM of the system."""

import enum

import attrs


class VmState(enum.StrEnum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """A VM as the platform lists it.

    Attributes:
      name: The VM's name.
      host: An IP address.
      peer_port: The TCP port for streams from other proxies.
      operator_port: The TCP port of the resource API.
      region: The region that it stands in.
      data_center: The data centre that it stands in.
      state: Whether it is live or leaving.
    """

    name: str
    host: str
    peer_port: int
    operator_port: int
    region: str = ""
    data_center: str = ""
    state: VmState = VmState.LIVE
