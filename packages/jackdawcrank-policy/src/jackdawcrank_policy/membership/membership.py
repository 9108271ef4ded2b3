"""Combines the platform's VM list with evidence from leases and streams."""

from collections.abc import Iterable

import attrs

from jackdawcrank_policy.membership.evidence import Evidence
from jackdawcrank_policy.membership.lease_reading import LeaseReading
from jackdawcrank_policy.membership.view import MembershipView
from jackdawcrank_policy.values import Vm, VmState

SILENT_RETENTION_SECONDS = 300.0


@attrs.define
class Membership:
    """Decides which VMs are alive from the VM list, leases and streams.

    The list lags behind. A listed VM is therefore excluded if it stops
    renewing its lease, or if its streams fail and no renewal follows. An
    unlisted VM is included if it renews its lease or sends messages on a
    stream. Without other evidence the list decides, so a store outage removes
    no VM.

    Attributes:
      own: This VM; always part of its own view.
      evidence: The evidence on each VM, by name.
      leaving: Whether this VM itself is leaving.
    """

    own: Vm
    evidence: dict[str, Evidence] = attrs.field(factory=dict)
    leaving: bool = False

    def evidence_for(self, name: str) -> Evidence:
        """Return the evidence on a VM; add an empty record if there is none."""
        return self.evidence.setdefault(name, Evidence())

    def record_vm_list(self, vms: Iterable[Vm]) -> None:
        """Record the platform's list of VMs."""
        by_name = {vm.name: vm for vm in vms}
        for name in self.evidence.keys() | by_name.keys():
            self.record_listing(name, by_name.get(name))

    def record_listing(self, name: str, vm: Vm | None) -> None:
        """Record whether the list contains a VM, and in which state."""
        evidence = self.evidence_for(name)
        evidence.listed = vm is not None
        if vm is not None:
            evidence.vm = vm
            is_leaving = vm.state is VmState.LEAVING
            evidence.leaving = evidence.leaving or is_leaving

    def record_lease_row(
        self, reading: LeaseReading, vm: Vm | None, now: float
    ) -> None:
        """Record a VM's lease row.

        Args:
          reading: The row.
          vm: The VM's address, if the row contains it.
          now: The time before the read was sent.
        """
        evidence = self.evidence_for(reading.vm)
        evidence.record_lease(reading, now)
        evidence.vm = evidence.vm or vm

    def record_missing_lease_row(self, name: str) -> None:
        """Record that a VM has no lease row; a leaving VM removes its row."""
        evidence = self.evidence_for(name)
        evidence.reading, evidence.renewed_at = None, None

    def record_message(
        self, name: str, vm: Vm | None, now: float, boot: str = ""
    ) -> None:
        """Record that a stream received a message from a VM.

        Args:
          name: The VM's name.
          vm: Its address, if the stream reported it.
          now: The current time.
          boot: The id of its process, if the stream reported it.
        """
        evidence = self.evidence_for(name)
        evidence.record_message(now)
        if boot:
            evidence.record_boot(boot)
        evidence.vm = vm or evidence.vm

    def record_stream_failure(self, name: str, now: float) -> None:
        """Record that a stream to a VM broke or could not be opened."""
        self.evidence_for(name).record_stream_failure(now)

    def record_leaving(self, name: str) -> None:
        """Record that a VM announced that it is leaving."""
        self.evidence_for(name).leaving = True

    def suspects(self, now: float) -> tuple[str, ...]:
        """Return the VMs whose lease rows should be read soon, by name.

        These are VMs whose streams fail, VMs that send messages but whose
        address is unknown, and leaving VMs that still send messages, since a
        new process may have replaced the one that announced its leaving.
        """
        return tuple(
            sorted(
                name
                for name, evidence in self.evidence.items()
                if name != self.own.name and evidence.needs_lease_read(now)
            )
        )

    def view(self, now: float) -> MembershipView:
        """Return the VMs that count as alive at an instant."""
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

    def remove_silent(self, now: float) -> None:
        """Remove unlisted VMs that have been silent for too long."""
        for name, evidence in list(self.evidence.items()):
            last_seen_at = max(
                evidence.last_message_at or 0.0, evidence.read_at
            )
            silent = now - last_seen_at > SILENT_RETENTION_SECONDS
            if silent and not evidence.listed:
                del self.evidence[name]
