"""Tests of failover and switch-over of one group."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from jackdawcrank.groups import Incomplete, Moved, Refused
from jackdawcrank_policy.budget import writer_names
from jackdawcrank_policy.promotion import AbandonReason
from jackdawcrank_policy.values import GroupPhase, GroupSpec

RunScenario = Callable[..., Any]


def test_a_new_group_gets_a_primary(run_scenario: RunScenario) -> None:
    async def scenario(cluster: Any) -> None:
        pass

    cluster = run_scenario(scenario)
    assert cluster.row.phase is GroupPhase.ACTIVE
    assert [row.term for row in cluster.store.openings] == [1]
    assert cluster.servers[cluster.row.primary].commit("w1") is not None


def test_a_crashed_primary_is_replaced(run_scenario: RunScenario) -> None:
    async def scenario(cluster: Any) -> None:
        cluster.refusing.add(cluster.row.primary)
        await asyncio.sleep(2.0)

    cluster = run_scenario(scenario)
    assert cluster.row.term == 2
    assert cluster.row.phase is GroupPhase.ACTIVE
    assert cluster.row.primary not in cluster.refusing
    assert cluster.servers[cluster.row.primary].commit("w1") is not None


def test_the_most_advanced_replica_is_chosen(run_scenario: RunScenario) -> None:
    async def scenario(cluster: Any) -> None:
        primary = cluster.servers[cluster.row.primary]
        for number in range(4):
            primary.commit(f"w{number}")
        cluster.servers["s3"].pull(primary)
        cluster.servers["s2"].pull(primary, limit=2)
        cluster.cut_off(cluster.row.primary)
        await asyncio.sleep(2.0)

    cluster = run_scenario(scenario)
    assert cluster.row.primary == "s3"


def test_link_loss_at_one_home_causes_no_failover(
    run_scenario: RunScenario,
) -> None:
    async def scenario(cluster: Any) -> None:
        cluster.cut_off(cluster.row.primary, "vm1")
        await asyncio.sleep(6.0)

    cluster = run_scenario(scenario)
    assert cluster.row.term == 1
    assert "uncertain" in str(cluster.events_named("promotion_abandoned"))


def test_uncertain_primary_rarely_prepares_a_claim(
    run_scenario: RunScenario,
) -> None:
    async def scenario(cluster: Any) -> None:
        cluster.cut_off(cluster.row.primary, "vm1")
        await asyncio.sleep(60.0)

    cluster = run_scenario(scenario)
    assert 1 <= cluster.store.prepared <= 60 / 5 + 1


def test_primary_unreachable_from_most_homes_is_replaced(
    run_scenario: RunScenario,
) -> None:
    async def scenario(cluster: Any) -> None:
        cluster.cut_off(cluster.row.primary, "vm1", "vm2")
        await asyncio.sleep(2.0)

    assert run_scenario(scenario).row.term == 2


def test_short_outage_causes_no_failover(run_scenario: RunScenario) -> None:
    async def scenario(cluster: Any) -> None:
        cluster.cut_off(cluster.row.primary)
        await asyncio.sleep(0.6)
        cluster.broken_links.clear()
        await asyncio.sleep(3.0)

    assert run_scenario(scenario).row.term == 1


def test_loss_of_coordinator_and_primary_is_recovered(
    run_scenario: RunScenario,
) -> None:
    async def scenario(cluster: Any) -> None:
        cluster.cut_off(cluster.row.primary)
        await cluster.stop(cluster.row.coordinator)
        await asyncio.sleep(7.0)

    cluster = run_scenario(scenario)
    assert cluster.row.phase is GroupPhase.ACTIVE
    assert cluster.row.coordinator != cluster.store.openings[0].coordinator
    assert cluster.servers[cluster.row.primary].commit("w1") is not None


@pytest.mark.parametrize("milliseconds", range(0, 60, 4))
def test_coordinator_crash_during_promotion_is_recovered(
    run_scenario: RunScenario, milliseconds: int
) -> None:
    async def scenario(cluster: Any) -> None:
        coordinator = cluster.row.coordinator
        cluster.cut_off(cluster.row.primary)
        await cluster.claimed(2)
        await asyncio.sleep(milliseconds / 1000)
        await cluster.stop(coordinator)
        await asyncio.sleep(8.0)

    cluster = run_scenario(scenario)
    assert cluster.row.phase is GroupPhase.ACTIVE
    assert cluster.row.term > 1
    assert cluster.servers[cluster.row.primary].commit("w1") is not None


def test_store_outage_blocks_promotion_and_is_reported(
    run_scenario: RunScenario,
) -> None:
    async def scenario(cluster: Any) -> None:
        cluster.store.down = True
        cluster.cut_off(cluster.row.primary)
        await asyncio.sleep(20.0)
        assert cluster.row.term == 1
        statuses = [agent.status() for agent in cluster.agents.values()]
        assert "store" in str([status.blocked for status in statuses])
        cluster.store.down = False
        await asyncio.sleep(3.0)

    cluster = run_scenario(scenario)
    assert cluster.row.phase is GroupPhase.ACTIVE
    assert cluster.row.term > 1
    assert "store" in str(cluster.events_named("promotion_abandoned"))


def test_replaced_primary_drops_divergent_entries(
    run_scenario: RunScenario,
) -> None:
    async def scenario(cluster: Any) -> None:
        old = cluster.row.primary
        cluster.cut_off(old)
        cluster.servers[old].commit("only here")
        await asyncio.sleep(2.5)
        cluster.broken_links.clear()
        await asyncio.sleep(2.5)
        assert cluster.servers[old].primary == cluster.row.primary

    cluster = run_scenario(scenario)
    old = cluster.store.openings[0].primary
    assert cluster.servers[old].term == 2
    assert [one.write_id for one in cluster.servers[old].dropped] == [
        "only here"
    ]
    assert cluster.events_named("divergent_tail")[0]["entries"] == 1


def test_a_primary_that_lost_its_state_is_replaced(
    run_scenario: RunScenario,
) -> None:
    async def scenario(cluster: Any) -> None:
        primary = cluster.servers[cluster.row.primary]
        primary.commit("w1")
        for server in cluster.servers.values():
            server.pull(primary)
        primary.__init__(primary.name)
        await asyncio.sleep(6.0)

    cluster = run_scenario(scenario)
    assert cluster.row.term == 2
    assert cluster.servers[cluster.row.primary].find("w1") is not None


def test_an_operator_moves_the_primary(run_scenario: RunScenario) -> None:
    outcomes: list[object] = []

    async def scenario(cluster: Any) -> None:
        outcomes.append(await cluster.agents["vm2"].switch_over("s3"))
        await asyncio.sleep(0.5)

    cluster = run_scenario(scenario)
    assert isinstance(outcomes[0], Moved)
    assert cluster.row.primary == "s3"
    assert cluster.row.coordinator == "vm2"
    assert cluster.servers["s3"].commit("w1") is not None


def test_a_switch_over_that_cannot_work_is_refused(
    run_scenario: RunScenario,
) -> None:
    outcomes: list[object] = []

    async def scenario(cluster: Any) -> None:
        agent = cluster.agents["vm1"]
        outcomes.append(await agent.switch_over(cluster.row.primary))
        cluster.cut_off("s3")
        await asyncio.sleep(3.0)
        outcomes.append(await agent.switch_over("s3"))
        cluster.cut_off(cluster.row.primary, "vm1")
        await asyncio.sleep(3.0)
        outcomes.append(await agent.switch_over("s2"))

    cluster = run_scenario(scenario)
    assert all(isinstance(outcome, Refused) for outcome in outcomes)
    assert cluster.row.term == 1


def test_one_server_of_three_needs_forced_promotion(
    run_scenario: RunScenario,
) -> None:
    outcomes: list[object] = []

    async def scenario(cluster: Any) -> None:
        cluster.cut_off(cluster.row.primary)
        cluster.cut_off("s2")
        await asyncio.sleep(8.0)
        assert cluster.row.term == 1
        outcomes.append(await cluster.agents["vm1"].force_promote())

    cluster = run_scenario(scenario, GroupSpec("ledger", confirm_writes=True))
    assert isinstance(outcomes[0], Moved)
    assert cluster.row.primary == "s3"
    assert "too few" in str(cluster.events_named("promotion_abandoned"))


def test_a_switch_over_without_the_store_changes_nothing(
    run_scenario: RunScenario,
) -> None:
    outcomes: list[object] = []

    async def scenario(cluster: Any) -> None:
        cluster.store.down = True
        outcomes.append(await cluster.agents["vm1"].switch_over("s3"))
        assert cluster.servers["s1"].commit("w1") is not None

    cluster = run_scenario(scenario)
    assert outcomes == [Incomplete(AbandonReason.STORE_UNAVAILABLE)]
    assert cluster.row.term == 1


def test_given_up_lease_cannot_be_renewed(run_scenario: RunScenario) -> None:
    async def scenario(cluster: Any) -> None:
        now = cluster.timers["vm2"].now()
        leases = cluster.leases["vm2"]
        leases.renew(now, cluster.store.version)
        assert leases.holds("ledger", 1, now)
        cluster.agents["vm2"].give_up_requested(2)
        leases.renew(now, cluster.store.version)
        assert not leases.holds("ledger", 1, now)

    assert run_scenario(scenario).row.term == 1


def test_row_is_reconciled_with_homes(run_scenario: RunScenario) -> None:
    async def scenario(cluster: Any) -> None:
        coordinator = cluster.row.coordinator
        live = frozenset({"vm1", "vm2", "vm3"}) - {coordinator}
        await cluster.stop(coordinator)
        for vm in live:
            cluster.agents[vm].homes_changed(("vm1", "vm2", "vm3"), live)
        await asyncio.sleep(5.0)
        assert set(writer_names(cluster.row.writers)) == live
        assert cluster.row.coordinator in live

    assert run_scenario(scenario).row.term == 1
