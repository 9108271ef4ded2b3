"""The VMs that one VM takes for living."""

from collections.abc import Mapping

import attrs

from jackdawcrank_policy.values import Vm


@attrs.frozen
class MembershipView:
    """What one VM believes; the views of two VMs may differ.

    Attributes:
      live: The names of the living VMs that are not leaving, in order.
      leaving: The names of the living VMs that are leaving, in order.
      vms: The addresses of both, by name.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    vms: Mapping[str, Vm] = attrs.field(factory=dict)
