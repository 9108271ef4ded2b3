"""The clock that ages of data are counted on."""

import time


def boot_seconds() -> float:
    """Return the time in seconds on a clock that counts suspension too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
