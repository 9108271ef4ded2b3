"""How often the membership is read, so that the cost of a VM is bounded."""

LEASE_RENEW_SECONDS = 5.0
LEASE_SECONDS = 15.0
EVALUATE_SECONDS = 0.5
SUSPECT_READ_SECONDS = 1.0
SUSPECTS_PER_READ = 4
CHECK_SECONDS = 0.5
PAGE_ROWS = 40
MIN_READ_SECONDS = 1.0
LIST_SECONDS_PER_VM = 0.15
PAGE_SECONDS_PER_ROW = 0.25
JITTER_FRACTION = 0.2


def list_interval_seconds(vms: int) -> float:
    """Return the time between two reads of the VM list.

    The list's size grows with the VMs, so it is read less often; the bytes
    per second stay the same.

    Args:
      vms: How many VMs the list names.
    """
    return max(MIN_READ_SECONDS, LIST_SECONDS_PER_VM * vms)


def page_interval_seconds(rows: int) -> float:
    """Return the time between two reads of a page of lease rows.

    Args:
      rows: How many rows the last page had.
    """
    return max(MIN_READ_SECONDS, PAGE_SECONDS_PER_ROW * rows)
