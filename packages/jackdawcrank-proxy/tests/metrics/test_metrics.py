"""Tests of the collection of metrics and their export to statsd."""

import collections.abc
import socket

import pytest

from jackdawcrank.metrics import METRICS, Metrics, names
from jackdawcrank.metrics import metrics as metrics_module

Receive = collections.abc.Callable[[], set[str]]


@pytest.fixture
def statsd_socket() -> collections.abc.Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        yield receiver


async def test_values_are_added_up_and_sent_once(
    statsd_socket: socket.socket,
) -> None:
    metrics = Metrics("127.0.0.1", statsd_socket.getsockname()[1], "jc.vm-1")
    await metrics.start()
    for _ in range(3):
        metrics.count(names.STATEMENTS, group="soil.core")
    metrics.gauge(names.MEMBERS, 20)
    metrics.gauge(names.MEMBERS, 21)
    metrics.timing(names.STORE_TIME, 0.0125)
    await metrics.flush(0.0)
    lines = statsd_socket.recv(2000).decode().splitlines()
    assert sorted(lines) == [
        "jc.vm-1.members:21|g",
        "jc.vm-1.statements.soil_core:3|c",
        "jc.vm-1.store_time:12.500000|ms",
    ]
    metrics.count(names.REFUSED)
    await metrics.close()
    assert statsd_socket.recv(2000) == b"jc.vm-1.refused:1|c"


async def test_a_flush_is_bounded_and_loses_no_count(
    statsd_socket: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(metrics_module, "MAX_LINES_PER_FLUSH", 4)
    metrics = Metrics("127.0.0.1", statsd_socket.getsockname()[1], "jc")
    await metrics.start()
    received: list[str] = []
    for turn in range(9):
        for number in range(3):
            metrics.count(names.WRITES, 1 if turn < 4 else 0, f"g{number}")
            metrics.gauge(names.LEASES, number, f"g{number}")
        metrics.timing(names.STORE_TIME, 0.001)
        metrics.timing(names.STORE_TIME, 0.001)
        await metrics.flush(0.0)
        lines = statsd_socket.recv(2000).decode().splitlines()
        assert len(lines) <= 4
        received += lines
    counts = [line for line in received if line.startswith("jc.writes.g1:")]
    assert sum(int(line.split(":")[1][:-2]) for line in counts) == 4
    gauges = {line.split(":")[0] for line in received if line.endswith("g")}
    assert gauges == {"jc.leases.g0", "jc.leases.g1", "jc.leases.g2"}
    await metrics.close()


async def test_a_snapshot_needs_no_statsd() -> None:
    metrics = Metrics()
    await metrics.start()
    metrics.count(names.REFUSED, 2, "soil")
    await metrics.flush(0.0)
    metrics.count(names.REFUSED, 1, "soil")
    metrics.timing(names.STORE_TIME, 0.010)
    metrics.timing(names.STORE_TIME, 0.030)
    assert metrics.snapshot() == {
        "refused.soil": 3,
        "store_time.count": 2,
        "store_time.max": pytest.approx(30.0),
        "store_time.mean": pytest.approx(20.0),
    }
    await metrics.close()


def test_samples_between_two_flushes_are_bounded() -> None:
    metrics = Metrics()
    for _ in range(10_000):
        metrics.timing(names.STORE_TIME, 0.001)
    (totals,) = metrics.timings.values()
    assert len(totals.samples) == 100
    assert totals.count == 10_000


def test_names_are_unique_and_explained() -> None:
    assert len({spec.name for spec in METRICS}) == len(METRICS)
    assert all(spec.help.endswith(".") and spec.unit for spec in METRICS)
