"""A VM of the system."""

import enum

import attrs


class VmState(enum.StrEnum):
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """A VM as the platform lists it.

    Attributes:
      name: The VM's name.
      host: The VM's IP address.
      peer_port: The TCP port for streams from other proxies.
      operator_port: The TCP port of the resource API.
      region: The VM's region.
      data_center: The VM's data centre.
      state: Whether the VM is live or leaving.
    """

    name: str
    host: str
    peer_port: int
    operator_port: int
    region: str = ""
    data_center: str = ""
    state: VmState = VmState.LIVE
