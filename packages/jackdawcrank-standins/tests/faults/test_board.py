import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from jackdawcrank_policy.values import Vm, VmState
from jackdawcrank_standins.backend import BackendGroup, BackendServer
from jackdawcrank_standins.faults import (
    Accepted,
    Fault,
    FaultBoard,
    FaultKind,
    Links,
    Rejected,
    parse_fault,
)
from jackdawcrank_standins.store import StoreFaults, VmList


@pytest.fixture
async def board() -> AsyncIterator[FaultBoard]:
    group = BackendGroup("depot")
    for name in ("a", "b"):
        BackendServer(name, group)
    await group.start()
    board = FaultBoard(StoreFaults(), VmList())
    board.add_group(group)
    yield board
    board.close()
    await group.close()


@pytest.mark.parametrize(
    ("body", "active"),
    [
        ({"fault": "partition", "server": "a"}, {"links": "all"}),
        (
            {"fault": "partition", "server": "a", "links": "servers"},
            {"links": "servers"},
        ),
        (
            {"fault": "partition", "server": "a", "links": "proxies"},
            {"links": "proxies"},
        ),
        ({"fault": "pause", "server": "a"}, {}),
        ({"fault": "stop", "server": "a"}, {}),
        ({"fault": "lag", "server": "a", "seconds": 7}, {"seconds": 7.0}),
        ({"fault": "slow", "server": "a", "seconds": 1}, {"seconds": 1.0}),
        ({"fault": "store_stop"}, {"hang": False}),
        ({"fault": "store_stop", "hang": True}, {"hang": True}),
        ({"fault": "store_slow", "seconds": 2}, {"seconds": 2.0}),
        ({"fault": "store_lose_answer", "count": 3}, {"count": 3}),
    ],
)
async def test_faults_are_listed_until_healed(
    board: FaultBoard, body: dict[str, Any], active: dict[str, Any]
) -> None:
    assert await board.apply(parse_fault(body)) == Accepted()
    expected = {"fault": body["fault"], **active}
    if "server" in body:
        expected["server"] = body["server"]
    assert board.active() == [expected]
    assert await board.apply(Fault(FaultKind.HEAL)) == Accepted()
    assert board.active() == []
    assert all(server["up"] for server in board.servers())


async def test_fault_ends_after_its_duration(board: FaultBoard) -> None:
    fault = Fault(FaultKind.PAUSE, server="a", seconds=0.001)
    await board.apply(fault)
    server = board.groups[0].servers["a"]
    assert server.paused
    async with asyncio.timeout(5):
        await server.process.wait()
    assert board.active() == []


async def test_healing_one_server_keeps_the_faults_of_another(
    board: FaultBoard,
) -> None:
    for name in ("a", "b"):
        await board.apply(Fault(FaultKind.PAUSE, server=name))
    await board.apply(Fault(FaultKind.HEAL, server="a"))
    assert [item["server"] for item in board.active()] == ["b"]


async def test_vm_faults_change_the_vm_list(board: FaultBoard) -> None:
    now = asyncio.get_running_loop().time()
    board.vms.put(Vm("alpha", "10.0.0.1", 1, 2), now, at_once=True)
    await board.apply(Fault(FaultKind.VM_LEAVING, vm="alpha"))
    later = asyncio.get_running_loop().time()
    assert [vm.state for vm in board.vms.listed(later)] == [VmState.LEAVING]
    await board.apply(Fault(FaultKind.VM_DEAD, vm="alpha"))
    later = asyncio.get_running_loop().time()
    assert board.vms.listed(later) == []


@pytest.mark.parametrize(
    "fault",
    [
        Fault(FaultKind.PAUSE),
        Fault(FaultKind.PAUSE, server="nobody"),
        Fault(FaultKind.VM_LEAVING, vm="nobody"),
    ],
)
async def test_unknown_targets_are_rejected(
    board: FaultBoard, fault: Fault
) -> None:
    assert isinstance(await board.apply(fault), Rejected)
    assert board.active() == []


@pytest.mark.parametrize(
    "body",
    [
        [],
        {},
        {"fault": "unheard"},
        {"fault": "lag", "sever": "a"},
        {"fault": "lag", "server": 1},
        {"fault": "lag", "server": "a", "seconds": -1},
        {"fault": "lag", "server": "a", "seconds": "1"},
        {"fault": "store_lose_answer", "count": 1.5},
        {"fault": "partition", "server": "a", "links": "some"},
    ],
)
def test_malformed_faults_are_rejected(body: Any) -> None:
    with pytest.raises(ValueError, match=r".+"):
        parse_fault(body)


def test_partition_affects_all_links_by_default() -> None:
    fault = parse_fault({"fault": "partition", "server": "a"})
    assert fault.links is Links.ALL
