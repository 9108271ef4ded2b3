"""The platform's list of VMs, which lags behind reality."""

import attrs

from jackdawcrank_policy.values import Vm, VmState


@attrs.frozen
class Listing:
    """What the list says of a VM from some time on.

    Attributes:
      at: From when on, seconds on a monotonic clock.
      vm: The VM; None once it is gone from the list.
    """

    at: float
    vm: Vm | None


@attrs.define
class VmList:
    """The VMs as the platform lists them.

    Attributes:
      lag_seconds: How long a change takes to be listed.
      listings: What is or will be listed of each VM, oldest first.
    """

    lag_seconds: float = 0.0
    listings: dict[str, list[Listing]] = attrs.field(factory=dict)

    def put(self, vm: Vm, now: float, at_once: bool = False) -> None:
        """Add or change a VM.

        Args:
          vm: The VM.
          now: The time.
          at_once: Whether the change is listed without a lag.
        """
        self.change(vm.name, vm, now if at_once else now + self.lag_seconds)

    def remove(self, name: str, now: float) -> None:
        """Remove a VM, as after its death."""
        self.change(name, None, now + self.lag_seconds)

    def change(self, name: str, vm: Vm | None, at: float) -> None:
        """Add what the list says of a VM from some time on."""
        changes = self.listings.setdefault(name, [])
        changes.append(Listing(at, vm))

    def set_state(self, name: str, state: VmState, now: float) -> bool:
        """List a VM under a state at once; return whether it is known."""
        newest = self.newest(name)
        if newest is None:
            return False
        self.put(attrs.evolve(newest, state=state), now, at_once=True)
        return True

    def newest(self, name: str) -> Vm | None:
        """Return a VM as it was last added or changed."""
        known = (item.vm for item in reversed(self.listings.get(name, ())))
        return next((vm for vm in known if vm is not None), None)

    def listed(self, now: float) -> list[Vm]:
        """Return the VMs that the list shows at some time."""
        shown = []
        for changes in self.listings.values():
            seen = [item.vm for item in changes if item.at <= now]
            if seen and seen[-1] is not None:
                shown.append(seen[-1])
        return shown
