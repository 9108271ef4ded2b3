"""Tests of the routing table."""

import random

import pytest

from jackdawcrank_policy.routing import (
    ReadRequest,
    RouteToReplica,
    RoutingTable,
    ServerLoad,
)
from jackdawcrank_policy.values import (
    Branch,
    Position,
    ServerReport,
    ServerRole,
    ServerSpec,
    TermStart,
)

SPECS = [ServerSpec(name, "ledger", "127.0.0.1", 1) for name in ("a", "b", "c")]
LATENCIES = {"a": 0.003, "b": 0.003, "c": 0.003}
REQUEST = ReadRequest("ledger", 9.0, Position(1, 5))


@pytest.fixture
def table() -> RoutingTable:
    table = RoutingTable(primary="a")
    table.evidence.begin_term(Branch((TermStart(1, 0),)))
    table.set_servers(SPECS, slots=2, latencies=LATENCIES)
    for name in ("b", "c"):
        report = ServerReport(name, 1, ServerRole.REPLICA, Position(1, 5))
        table.evidence.observe(report, 1.0, 1.1)
    return table


def chosen(table: RoutingTable) -> set[object]:
    rng = random.Random(1)
    return {table.choose(REQUEST, 2.0, rng) for _ in range(20)}


def test_equal_replicas_share_reads(table: RoutingTable) -> None:
    assert chosen(table) == {RouteToReplica("b"), RouteToReplica("c")}


def test_reads_avoid_queues_latency_and_errors(table: RoutingTable) -> None:
    for _ in range(3):
        table.loads["b"].start()
    assert chosen(table) == {RouteToReplica("c")}
    for _ in range(3):
        table.loads["b"].finish(0.008, False, 2.0)
    far = {**LATENCIES, "c": 0.04}
    table.set_servers(SPECS, slots=2, latencies=far)
    assert chosen(table) == {RouteToReplica("b")}
    for _ in range(3):
        table.loads["b"].start()
        table.loads["b"].finish(0.008, True, 2.0)
    assert chosen(table) == {RouteToReplica("c")}


def test_removed_server_loses_its_evidence(table: RoutingTable) -> None:
    table.set_servers(SPECS[:2], slots=2, latencies=LATENCIES)
    assert chosen(table) == {RouteToReplica("b")}
    assert table.evidence.position("c") is None


def test_error_score_decays() -> None:
    load = ServerLoad()
    for _ in range(4):
        load.start()
        load.finish(0.1, True, 10.0)
    assert load.failing(10.0)
    assert not load.failing(20.0)
