"""The VMs that one VM considers alive."""

from collections.abc import Mapping

import attrs

from jackdawcrank_policy.values import Vm


@attrs.frozen
class MembershipView:
    """The live VMs as seen by one VM; the views of two VMs may differ.

    Attributes:
      live: The sorted names of the live VMs that are not leaving.
      leaving: The sorted names of the live VMs that are leaving.
      vms: The addresses of both, by name.
    """

    live: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    vms: Mapping[str, Vm] = attrs.field(factory=dict)
