"""What recording and sending of what happens costs a VM."""

import time

from jackdawcrank.metrics import Metrics, names
from jackdawcrank.timeline import Timeline
from jackdawcrank_wire.events import EventKind, merge_events, to_json_lines
from slopes_parts.fit import Slope, fit_line
from slopes_parts.usage import HeapMeter, memory_bytes

EVENTS = [5_000.0, 10_000.0, 20_000.0, 40_000.0]
GROUPS = [100.0, 300.0, 600.0, 1100.0]
ROLE = "time line"


async def measure(seed: int) -> list[Slope]:
    """Measure events and metrics.

    Args:
      seed: Not used; nothing here is random.
    """
    return measure_events() + measure_metrics()


def measure_events() -> list[Slope]:
    """Return what events cost by their number."""
    memory, record_cpu, merge_cpu, size = [], [], [], []
    timeline = Timeline("vm-0001", "5f3a91c2", int(EVENTS[-1]), time.monotonic)
    spent = 0.0
    for count in EVENTS:
        started = time.process_time()
        while timeline.sequence < count:
            record(timeline)
        spent += time.process_time() - started
        record_cpu.append(spent)
        memory.append(float(memory_bytes()))
        started = time.process_time()
        merged = merge_events(timeline.since(0).events)
        merge_cpu.append(time.process_time() - started)
        size.append(float(len(to_json_lines(merged))))
    unit = "event"
    return [
        fit_line(ROLE, unit, "memory, bytes", EVENTS, memory),
        fit_line(ROLE, unit, "processor time, s", EVENTS, record_cpu),
        fit_line(ROLE, unit, "JSON line, bytes", EVENTS, size),
        fit_line("command line", unit, "merging, s", EVENTS, merge_cpu),
    ]


def record(timeline: Timeline) -> None:
    """Record an event like that of a dropped connection.

    Args:
      timeline: The time line.
    """
    number = timeline.sequence
    timeline.record(
        EventKind.CONNECTION_DROPPED,
        f"group{number % 7:04}",
        3,
        server=f"group{number % 7:04}-1",
        reason=f"silent for {number} ms",
    )


class CountingPipeline:
    """Counts the bytes of the lines that a flush would send."""

    def __init__(self) -> None:
        self.bytes = 0

    def incr(self, path: str, value: int) -> None:
        """Take a counter."""
        self.bytes += len(f"jackdawcrank.vm-0001.{path}:{value}|c\n")

    def gauge(self, path: str, value: float) -> None:
        """Take a gauge."""
        self.bytes += len(f"jackdawcrank.vm-0001.{path}:{value}|g\n")

    def timing(self, path: str, value: float) -> None:
        """Take a timing."""
        self.bytes += len(f"jackdawcrank.vm-0001.{path}:{value:.6f}|ms\n")


def measure_metrics() -> list[Slope]:
    """Return what the metrics of groups cost by their number."""
    memory, cpu, sent = [], [], []
    for count in GROUPS:
        with HeapMeter() as heap:
            metrics = filled_metrics(int(count))
            memory.append(heap.bytes())
        pipeline = CountingPipeline()
        started = time.process_time()
        metrics.send(pipeline)
        cpu.append(time.process_time() - started)
        sent.append(float(pipeline.bytes))
    unit = "group with metrics"
    return [
        fit_line("metrics", unit, "memory, bytes", GROUPS, memory),
        fit_line("metrics", unit, "processor time per flush, s", GROUPS, cpu),
        fit_line("metrics", unit, "sent per flush, bytes", GROUPS, sent),
    ]


def filled_metrics(groups: int) -> Metrics:
    """Return the metrics of a proxy that serves a number of groups.

    Args:
      groups: The number of groups.
    """
    metrics = Metrics()
    for number in range(groups):
        group = f"group{number:04}"
        metrics.count(names.STATEMENTS, 7, group)
        metrics.count(names.REPLICA_READS, 5, group)
        metrics.timing(names.STATEMENT_TIME, 0.012, group)
        metrics.gauge(names.BACKEND_CONNECTIONS, number, group)
    return metrics
