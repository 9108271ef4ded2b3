"""Intervals of membership reads, which bound the store load of each VM."""

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

    The interval grows with the number of VMs, as the size of the list does,
    so that the bytes read per second stay constant.

    Args:
      vms: The number of VMs in the list.
    """
    return max(MIN_READ_SECONDS, LIST_SECONDS_PER_VM * vms)


def page_interval_seconds(rows: int) -> float:
    """Return the time between two reads of a page of lease rows.

    Args:
      rows: The number of rows in the last page.
    """
    return max(MIN_READ_SECONDS, PAGE_SECONDS_PER_ROW * rows)
