"""Compares ways to suspect a primary: delay at equal false promotions."""

import concurrent.futures
import math
import random
import statistics
from collections.abc import Callable, Iterator

import attrs

from report import Check, seed_argument, write_result
from writes_model.deadline_rule import alarm_times
from writes_model.deployment import DEPLOYMENTS, Deployment
from writes_model.probe_stream import ProbeStream
from writes_model.suspicion_statistics import (
    CAP_SECONDS,
    Accrual,
    Calibration,
    Cusum,
    ShiryaevRoberts,
    Silence,
    Statistic,
)

HEALTHY_HOURS = 20
FAILURES = 300
CALIBRATION_PROBES = 4000
PROBE_INTERVAL_SECONDS = 0.25
TICK_SECONDS = 0.05
WINDOW_SECONDS = 10.0
WATCH_AFTER_SECONDS = 0.1
LEAD_SECONDS = 20.0
LIMIT_SECONDS = 8.0
FALSE_PER_HOUR = (0.0, 0.5, 2.0)
SCALES = tuple(scale / 10 for scale in range(4, 31))
DEADLINES = "missed_deadlines"

Maker = Callable[[Calibration], Statistic]
MAKERS: dict[str, Maker] = {
    "silence": lambda calibration: Silence(),
    "accrual": lambda calibration: Accrual(),
    "cusum": Cusum,
    "shiryaev_roberts": ShiryaevRoberts,
}


@attrs.frozen
class Job:
    """One detector on one deployment.

    Attributes:
      deployment: The deployment.
      detector: The detector's name.
      seed: The seed.
    """

    deployment: Deployment
    detector: str
    seed: int


def observe(
    stream: ProbeStream, statistic: Statistic, start: float, end: float
) -> Iterator[tuple[float, float]]:
    """Yield times and values of a statistic while probes wait.

    Args:
      stream: The answers to probes.
      statistic: The statistic.
      start: When probing begins, in seconds.
      end: When it ends.
    """
    waiting: list[tuple[float, float]] = []
    next_probe = start
    now = start
    while now < end:
        while next_probe <= now:
            waiting.append((next_probe, stream.latency(next_probe)))
            next_probe += PROBE_INTERVAL_SECONDS
        for sent_at, latency in waiting:
            if sent_at + latency <= now:
                statistic.answered(sent_at, latency)
        waiting = [one for one in waiting if one[0] + one[1] > now]
        if waiting and now - waiting[0][0] > WATCH_AFTER_SECONDS:
            sent = [one[0] for one in waiting]
            yield now, statistic.value(now, sent)
        if waiting and now - waiting[0][0] >= CAP_SECONDS:
            waiting.pop(0)
            statistic.missed()
        now += TICK_SECONDS


def calibrate(deployment: Deployment, seed: int) -> Calibration:
    """Return the calibration from a disturbed stream."""
    stream = ProbeStream(deployment, random.Random(seed))
    stream.disturb(CALIBRATION_PROBES * PROBE_INTERVAL_SECONDS)
    latencies = [
        stream.latency(number * PROBE_INTERVAL_SECONDS)
        for number in range(CALIBRATION_PROBES)
    ]
    return Calibration.of([one for one in latencies if one < math.inf])


def failing_stream(deployment: Deployment, seed: int) -> ProbeStream:
    """Return a calm stream whose primary fails at a random moment."""
    rng = random.Random(seed)
    stream = ProbeStream(deployment, rng)
    stream.failed_at = LEAD_SECONDS + rng.uniform(0, 1)
    return stream


def healthy_stream(deployment: Deployment, seed: int) -> ProbeStream:
    """Return a disturbed stream without a failure."""
    stream = ProbeStream(deployment, random.Random(seed + 1))
    stream.disturb(HEALTHY_HOURS * 3600)
    return stream


def thresholds(job: Job, calibration: Calibration) -> list[float]:
    """Return the threshold that gives each rate of false promotions."""
    peaks: dict[int, float] = {}
    stream = healthy_stream(job.deployment, job.seed)
    statistic = MAKERS[job.detector](calibration)
    for now, value in observe(stream, statistic, 0.0, HEALTHY_HOURS * 3600):
        window = int(now / WINDOW_SECONDS)
        peaks[window] = max(value, peaks.get(window, -math.inf))
    ordered = sorted(peaks.values(), reverse=True)
    return [
        math.nextafter(ordered[int(rate * HEALTHY_HOURS)], math.inf)
        for rate in FALSE_PER_HOUR
    ]


def delays(
    job: Job, calibration: Calibration, limits: list[float]
) -> list[list[float]]:
    """Return for each threshold the delays of detection."""
    found: list[list[float]] = [[] for _ in limits]
    for number in range(FAILURES):
        stream = failing_stream(job.deployment, job.seed + 100 + number)
        statistic = MAKERS[job.detector](calibration)
        end = stream.failed_at + LIMIT_SECONDS
        crossed = [LIMIT_SECONDS] * len(limits)
        for now, value in observe(stream, statistic, 0.0, end):
            if now < stream.failed_at:
                continue
            for index, limit in enumerate(limits):
                if value >= limit:
                    delay = now - stream.failed_at
                    crossed[index] = min(crossed[index], delay)
            if max(crossed) < LIMIT_SECONDS:
                break
        for index, delay in enumerate(crossed):
            found[index].append(delay)
    return found


def deadline_delays(job: Job) -> tuple[list[float], list[list[float]]]:
    """Return the scale and the delays of the rule of missed deadlines."""
    counts = {}
    for scale in SCALES:
        stream = healthy_stream(job.deployment, job.seed)
        alarms = alarm_times(stream, 0.0, HEALTHY_HOURS * 3600, scale)
        counts[scale] = len({int(at / WINDOW_SECONDS) for at in alarms})
    chosen = [
        next(
            (s for s in SCALES if counts[s] <= rate * HEALTHY_HOURS),
            SCALES[-1],
        )
        for rate in FALSE_PER_HOUR
    ]
    found: list[list[float]] = [[] for _ in chosen]
    for number in range(FAILURES):
        for index, scale in enumerate(chosen):
            seed = job.seed + 100 + number
            stream = failing_stream(job.deployment, seed)
            end = stream.failed_at + LIMIT_SECONDS
            alarms = alarm_times(stream, 0.0, end, scale)
            later = [at for at in alarms if at >= stream.failed_at]
            delay = later[0] - stream.failed_at if later else LIMIT_SECONDS
            found[index].append(delay)
    return chosen, found


def run_job(job: Job) -> dict[str, object]:
    """Return the figures of one detector on one deployment."""
    if job.detector == DEADLINES:
        limits, found = deadline_delays(job)
    else:
        calibration = calibrate(job.deployment, job.seed)
        limits = thresholds(job, calibration)
        found = delays(job, calibration, limits)
    return {
        f"{rate} false per hour": {
            "threshold": round(limit, 3),
            "median_seconds": round(statistics.median(values), 3),
            "p99_seconds": round(
                sorted(values)[math.ceil(0.99 * len(values)) - 1], 3
            ),
        }
        for rate, limit, values in zip(
            FALSE_PER_HOUR, limits, found, strict=True
        )
    }


def run(seed: int) -> tuple[dict[str, object], list[Check]]:
    """Compare the detectors.

    Args:
      seed: The seed.
    """
    names = (DEADLINES, *MAKERS)
    jobs = [Job(one, name, seed) for one in DEPLOYMENTS for name in names]
    with concurrent.futures.ProcessPoolExecutor(4) as pool:
        results = list(pool.map(run_job, jobs))
    figures: dict[str, object] = {
        f"{job.deployment.name} {job.detector}": result
        for job, result in zip(jobs, results, strict=True)
    }
    return figures, []


def main() -> None:
    """Compare and write the result."""
    seed = seed_argument(__doc__)
    figures, checks = run(seed)
    write_result("detectors", seed, figures, checks)


if __name__ == "__main__":
    main()
