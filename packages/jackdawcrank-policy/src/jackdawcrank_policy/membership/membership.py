"""Combines the platform's VM list with leases and streams."""

from collections.abc import Iterable

import attrs

from jackdawcrank_policy.membership.evidence import Evidence
from jackdawcrank_policy.membership.lease_reading import LeaseReading
from jackdawcrank_policy.membership.view import MembershipView
from jackdawcrank_policy.values import Vm, VmState

FORGET_SECONDS = 300.0


@attrs.define
class Membership:
    """Decides which VMs are alive from evidence of three kinds.

    The list lags, so a listed VM whose lease row stands still, or whose
    streams fail while its row stands still, is left out; an unlisted VM
    that renews its row or is heard on a stream is taken in. Without any
    evidence the list decides, so a store outage removes nobody.

    Attributes:
      own: The VM that this is; always part of its own view.
      evidence: What is known of each other VM, by name.
      leaving: Whether this VM itself is leaving.
    """

    own: Vm
    evidence: dict[str, Evidence] = attrs.field(factory=dict)
    leaving: bool = False

    def of(self, name: str) -> Evidence:
        """Return the evidence on a VM, empty at first."""
        return self.evidence.setdefault(name, Evidence())

    def listed(self, vms: Iterable[Vm]) -> None:
        """Take in the platform's list of VMs."""
        by_name = {vm.name: vm for vm in vms}
        for name in self.evidence.keys() | by_name.keys():
            self.note_listing(name, by_name.get(name))

    def note_listing(self, name: str, vm: Vm | None) -> None:
        """Record whether and how the list names a VM."""
        evidence = self.of(name)
        evidence.listed = vm is not None
        if vm is not None:
            evidence.vm = vm
            leaves = vm.state is VmState.LEAVING
            evidence.leaving = evidence.leaving or leaves

    def lease_read(
        self, reading: LeaseReading, vm: Vm | None, now: float
    ) -> None:
        """Take in a VM's lease row.

        Args:
          reading: The row.
          vm: The address that the row gives, if any.
          now: The instant before the read was sent.
        """
        evidence = self.of(reading.vm)
        evidence.note_lease(reading, now)
        evidence.vm = evidence.vm or vm

    def lease_missing(self, name: str) -> None:
        """Take in that a VM has no lease row (it removed it on leaving)."""
        evidence = self.of(name)
        evidence.reading, evidence.advanced_at = None, None

    def heard(
        self, name: str, vm: Vm | None, now: float, boot: str = ""
    ) -> None:
        """Take in that a stream carried something from a VM.

        Args:
          name: The VM.
          vm: Its address, if the stream told it.
          now: The present.
          boot: The id of its process, if the stream told it.
        """
        evidence = self.of(name)
        evidence.note_heard(now)
        if boot:
            evidence.note_boot(boot)
        evidence.vm = vm or evidence.vm

    def stream_failed(self, name: str, now: float) -> None:
        """Take in that a stream to a VM broke or could not be opened."""
        self.of(name).note_failed(now)

    def announced_leaving(self, name: str) -> None:
        """Take in that a VM says it is leaving."""
        self.of(name).leaving = True

    def suspects(self, now: float) -> tuple[str, ...]:
        """Return the VMs whose lease rows should be read soon, in order.

        These are the VMs whose streams fail, those that are heard but whose
        address is unknown, and leaving ones that are still heard, since a
        new process may have taken their place.
        """
        return tuple(
            sorted(
                name
                for name, evidence in self.evidence.items()
                if name != self.own.name and evidence.in_doubt(now)
            )
        )

    def view(self, now: float) -> MembershipView:
        """Return the VMs that count as living at an instant."""
        vms = {self.own.name: self.own}
        leaving = {self.own.name} if self.leaving else set()
        for name, evidence in self.evidence.items():
            if name == self.own.name or evidence.vm is None:
                continue
            if evidence.alive(now):
                vms[name] = evidence.vm
                if evidence.leaving:
                    leaving.add(name)
        live = tuple(sorted(vms.keys() - leaving))
        return MembershipView(live, tuple(sorted(leaving)), vms)

    def forget(self, now: float) -> None:
        """Drop unlisted VMs that have given no sign of life for long."""
        for name, evidence in list(self.evidence.items()):
            last = max(evidence.heard_at or 0.0, evidence.read_at)
            silent = now - last > FORGET_SECONDS
            if silent and not evidence.listed:
                del self.evidence[name]
