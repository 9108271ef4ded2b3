"""Encoding of a VM's lease row in the table `vms`."""

from collections.abc import Mapping
from typing import Any

import attrs

from jackdawcrank.store.client import vm_from
from jackdawcrank_policy.membership import LeaseReading
from jackdawcrank_policy.values import Vm, VmState


@attrs.frozen
class LeaseRow:
    """A VM's lease row.

    Attributes:
      reading: The lease.
      vm: The VM's address; None if the row has none.
    """

    reading: LeaseReading
    vm: Vm | None


def encode_lease_row(reading: LeaseReading, vm: Vm, token: str) -> Any:
    """Return a lease row's JSON value."""
    address = {**attrs.asdict(vm), "state": str(vm.state)}
    return {
        "boot": reading.boot,
        "counter": reading.counter,
        "seconds": reading.seconds,
        "leaving": reading.leaving,
        "token": token,
        "vm": address,
    }


def decode_lease_row(name: str, value: Mapping[str, Any]) -> LeaseRow | None:
    """Return the lease row in a JSON value, or None if it is malformed."""
    try:
        reading = LeaseReading(
            vm=name,
            boot=str(value["boot"]),
            counter=int(value["counter"]),
            seconds=float(value["seconds"]),
            leaving=bool(value.get("leaving", False)),
        )
        address = value.get("vm")
        vm = None if address is None else vm_from({**address, "name": name})
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    return LeaseRow(reading, vm and attrs.evolve(vm, state=VmState.LIVE))
