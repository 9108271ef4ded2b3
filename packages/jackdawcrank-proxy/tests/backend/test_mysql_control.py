"""Tests of the control of one backend server."""

from collections.abc import AsyncIterator

import pytest

from jackdawcrank.backend.endpoint import Endpoint
from jackdawcrank.backend.mysql_control import MysqlControl
from jackdawcrank.backend.server_control import Accepted, Unreachable
from jackdawcrank_policy.values import Position, ServerReport, ServerRole
from jackdawcrank_standins.backend import BackendServer

TIMEOUT_SECONDS = 2.0


@pytest.fixture
async def control(endpoint: Endpoint) -> AsyncIterator[MysqlControl]:
    control = MysqlControl(endpoint)
    yield control
    await control.close()


async def test_a_probe_reports_the_state(control: MysqlControl) -> None:
    first = await control.probe(TIMEOUT_SECONDS)
    assert first == ServerReport(
        "s1", 1, ServerRole.PRIMARY, Position(0, 0), True
    )
    assert await control.fence(4, TIMEOUT_SECONDS) == Accepted()
    second = await control.probe(TIMEOUT_SECONDS)
    assert isinstance(second, ServerReport)
    assert second.term == 4


async def test_a_probe_needs_no_slot(
    control: MysqlControl, server: BackendServer
) -> None:
    for _ in range(server.slots):
        await server.begin_work()
    assert isinstance(await control.probe(TIMEOUT_SECONDS), ServerReport)
    for _ in range(server.slots):
        server.end_work()


@pytest.mark.parametrize("role", ["", "primary 1", "witness"])
async def test_malformed_report_counts_as_unreachable(
    control: MysqlControl, server: BackendServer, role: str
) -> None:
    server.variables["group_role"] = lambda: role
    assert isinstance(await control.probe(TIMEOUT_SECONDS), Unreachable)
