"""The rule of two missed deadlines and a last look."""

from jackdawcrank_policy.detection import (
    PROBE_INTERVAL_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    RETRY_PROBE_TIMEOUT_SECONDS,
)
from writes_model.probe_stream import ProbeStream

LAST_LOOK_SECONDS = 0.15
PAUSE_SECONDS = 0.02


def alarm_times(
    stream: ProbeStream, start: float, end: float, scale: float
) -> list[float]:
    """Return when the rule fires.

    Args:
      stream: The answers to probes.
      start: When probing begins, in seconds.
      end: When it ends.
      scale: A factor on both deadlines.
    """
    first = PROBE_TIMEOUT_SECONDS * scale
    second = RETRY_PROBE_TIMEOUT_SECONDS * scale
    alarms = []
    now = start
    while now < end:
        if stream.latency(now) <= first:
            now += PROBE_INTERVAL_SECONDS
            continue
        now += first + PAUSE_SECONDS
        if stream.latency(now) <= second:
            now += PROBE_INTERVAL_SECONDS
            continue
        now += second
        if stream.latency(now) > LAST_LOOK_SECONDS:
            alarms.append(now + LAST_LOOK_SECONDS)
        now += LAST_LOOK_SECONDS
    return alarms
