"""Clock for the age of data."""

import time


def boot_seconds() -> float:
    """Return the seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
