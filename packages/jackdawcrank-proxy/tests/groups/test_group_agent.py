"""The agents of one group through failures."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from jackdawcrank.groups import Incomplete, Moved, Refused
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.promotion import AbandonReason
from jackdawcrank_policy.values import GroupPhase, GroupSpec

Play = Callable[..., Any]


def test_a_new_group_gets_a_primary(play: Play) -> None:
    async def scenario(world: Any) -> None:
        pass

    world = play(scenario)
    assert world.row.phase is GroupPhase.ACTIVE
    assert [row.term for row in world.store.openings] == [1]
    assert world.servers[world.row.primary].commit("w1") is not None


def test_a_crashed_primary_is_replaced(play: Play) -> None:
    async def scenario(world: Any) -> None:
        world.refusing.add(world.row.primary)
        await asyncio.sleep(2.0)

    world = play(scenario)
    assert world.row.term == 2
    assert world.row.phase is GroupPhase.ACTIVE
    assert world.row.primary not in world.refusing
    assert world.servers[world.row.primary].commit("w1") is not None


def test_the_most_advanced_replica_is_chosen(play: Play) -> None:
    async def scenario(world: Any) -> None:
        primary = world.servers[world.row.primary]
        for number in range(4):
            primary.commit(f"w{number}")
        world.servers["s3"].pull(primary)
        world.servers["s2"].pull(primary, limit=2)
        world.cut_off(world.row.primary)
        await asyncio.sleep(2.0)

    world = play(scenario)
    assert world.row.primary == "s3"


def test_one_home_s_lost_link_moves_nothing(play: Play) -> None:
    async def scenario(world: Any) -> None:
        world.cut_off(world.row.primary, "vm1")
        await asyncio.sleep(6.0)

    world = play(scenario)
    assert world.row.term == 1
    assert "uncertain" in str(world.told("promotion_abandoned"))


def test_a_lasting_doubt_asks_the_store_rarely(play: Play) -> None:
    async def scenario(world: Any) -> None:
        world.cut_off(world.row.primary, "vm1")
        await asyncio.sleep(60.0)

    world = play(scenario)
    assert 1 <= world.store.prepared <= 60 / 5 + 1


def test_a_primary_lost_to_most_homes_is_replaced(play: Play) -> None:
    async def scenario(world: Any) -> None:
        world.cut_off(world.row.primary, "vm1", "vm2")
        await asyncio.sleep(2.0)

    assert play(scenario).row.term == 2


def test_a_short_pause_moves_nothing(play: Play) -> None:
    async def scenario(world: Any) -> None:
        world.cut_off(world.row.primary)
        await asyncio.sleep(0.6)
        world.cut.clear()
        await asyncio.sleep(3.0)

    assert play(scenario).row.term == 1


def test_the_coordinator_may_die_with_the_primary(play: Play) -> None:
    async def scenario(world: Any) -> None:
        world.cut_off(world.row.primary)
        await world.stop(world.row.coordinator)
        await asyncio.sleep(7.0)

    world = play(scenario)
    assert world.row.phase is GroupPhase.ACTIVE
    assert world.row.coordinator != world.store.openings[0].coordinator
    assert world.servers[world.row.primary].commit("w1") is not None


@pytest.mark.parametrize("milliseconds", range(0, 60, 4))
def test_the_coordinator_may_die_during_a_promotion(
    play: Play, milliseconds: int
) -> None:
    async def scenario(world: Any) -> None:
        coordinator = world.row.coordinator
        world.cut_off(world.row.primary)
        await world.claimed(2)
        await asyncio.sleep(milliseconds / 1000)
        await world.stop(coordinator)
        await asyncio.sleep(8.0)

    world = play(scenario)
    assert world.row.phase is GroupPhase.ACTIVE
    assert world.row.term > 1
    assert world.servers[world.row.primary].commit("w1") is not None


def test_a_store_outage_blocks_a_promotion_and_says_so(play: Play) -> None:
    async def scenario(world: Any) -> None:
        world.store.down = True
        world.cut_off(world.row.primary)
        await asyncio.sleep(20.0)
        assert world.row.term == 1
        statuses = [agent.status() for agent in world.agents.values()]
        assert "store" in str([status.blocked for status in statuses])
        world.store.down = False
        await asyncio.sleep(3.0)

    world = play(scenario)
    assert world.row.phase is GroupPhase.ACTIVE
    assert world.row.term > 1
    assert "store" in str(world.told("promotion_abandoned"))


def test_a_replaced_primary_rejoins_without_its_tail(play: Play) -> None:
    async def scenario(world: Any) -> None:
        old = world.row.primary
        world.cut_off(old)
        world.servers[old].commit("only here")
        await asyncio.sleep(2.5)
        world.cut.clear()
        await asyncio.sleep(2.5)
        assert world.servers[old].primary == world.row.primary

    world = play(scenario)
    old = world.store.openings[0].primary
    assert world.servers[old].term == 2
    assert [one.write_id for one in world.servers[old].dropped] == ["only here"]
    assert world.told("divergent_tail")[0]["entries"] == 1


def test_a_primary_that_lost_its_state_is_replaced(play: Play) -> None:
    async def scenario(world: Any) -> None:
        primary = world.servers[world.row.primary]
        primary.commit("w1")
        for server in world.servers.values():
            server.pull(primary)
        primary.__init__(primary.name)
        await asyncio.sleep(6.0)

    world = play(scenario)
    assert world.row.term == 2
    assert world.servers[world.row.primary].find("w1") is not None


def test_an_operator_moves_the_primary(play: Play) -> None:
    outcomes: list[object] = []

    async def scenario(world: Any) -> None:
        outcomes.append(await world.agents["vm2"].switch_over("s3"))
        await asyncio.sleep(0.5)

    world = play(scenario)
    assert isinstance(outcomes[0], Moved)
    assert world.row.primary == "s3"
    assert world.row.coordinator == "vm2"
    assert world.servers["s3"].commit("w1") is not None


def test_a_switch_over_that_cannot_work_is_refused(play: Play) -> None:
    outcomes: list[object] = []

    async def scenario(world: Any) -> None:
        agent = world.agents["vm1"]
        outcomes.append(await agent.switch_over(world.row.primary))
        world.cut_off("s3")
        await asyncio.sleep(3.0)
        outcomes.append(await agent.switch_over("s3"))
        world.cut_off(world.row.primary, "vm1")
        await asyncio.sleep(3.0)
        outcomes.append(await agent.switch_over("s2"))

    world = play(scenario)
    assert all(isinstance(outcome, Refused) for outcome in outcomes)
    assert world.row.term == 1


def test_one_server_of_three_waits_for_force(play: Play) -> None:
    outcomes: list[object] = []

    async def scenario(world: Any) -> None:
        world.cut_off(world.row.primary)
        world.cut_off("s2")
        await asyncio.sleep(8.0)
        assert world.row.term == 1
        outcomes.append(await world.agents["vm1"].force_promote())

    world = play(scenario, GroupSpec("ledger", confirm_writes=True))
    assert isinstance(outcomes[0], Moved)
    assert world.row.primary == "s3"
    assert "too few" in str(world.told("promotion_abandoned"))


def test_a_switch_over_without_the_store_changes_nothing(play: Play) -> None:
    outcomes: list[object] = []

    async def scenario(world: Any) -> None:
        world.store.down = True
        outcomes.append(await world.agents["vm1"].switch_over("s3"))
        assert world.servers["s1"].commit("w1") is not None

    world = play(scenario)
    assert outcomes == [Incomplete(AbandonReason.STORE_UNAVAILABLE)]
    assert world.row.term == 1


def test_a_promise_closes_the_lease_for_good(play: Play) -> None:
    async def scenario(world: Any) -> None:
        now = world.timers["vm2"].now()
        leases = world.leases["vm2"]
        leases.renew(now, world.store.version)
        assert leases.holds("ledger", 1, now)
        world.agents["vm2"].give_up_requested(2)
        leases.renew(now, world.store.version)
        assert not leases.holds("ledger", 1, now)

    assert play(scenario).row.term == 1


def test_the_row_follows_the_homes(play: Play) -> None:
    async def scenario(world: Any) -> None:
        coordinator = world.row.coordinator
        live = frozenset({"vm1", "vm2", "vm3"}) - {coordinator}
        await world.stop(coordinator)
        for vm in live:
            world.agents[vm].homes_changed(("vm1", "vm2", "vm3"), live)
        await asyncio.sleep(5.0)
        assert set(writer_names(world.row.writers)) == live
        assert world.row.coordinator in live

    assert play(scenario).row.term == 1
