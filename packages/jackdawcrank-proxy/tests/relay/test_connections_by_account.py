import asyncio
import collections
import unittest.mock

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay.connection_opening import (
    MAX_OPENING,
    MAX_OPENING_FOR_ACCOUNTS,
)
from jackdawcrank.relay.connection_pool import ConnectionPool
from jackdawcrank.relay.homes import Homes
from jackdawcrank.relay.pool_maintenance import PoolMaintenance
from jackdawcrank.seams.server_connection import NotOpened, OpenFailure
from jackdawcrank_policy.homes import Member
from jackdawcrank_policy.sessions import SessionContext
from jackdawcrank_policy.waiting import WaitLimits
from jackdawcrank_standins.history.virtual_time_loop import (
    VirtualTimeLoop,
    run_virtual,
)

from .account_load import SERVER, LoadedServer, SimplePool, play
from .conftest import FakeConnection, run_ready_tasks

LIMIT = 3
INDEX = st.integers(0, 9)


@attrs.define
class CountingOpener:
    """Opens connections when the test says so, and keeps all of them."""

    pending: list[tuple[str, asyncio.Future]] = attrs.Factory(list)
    opened: list[FakeConnection] = attrs.Factory(list)

    async def open(self, server, timeout_seconds, account=""):
        self.pending.append(
            (account, asyncio.get_running_loop().create_future())
        )
        return await self.pending[-1][1]

    def complete(self, index: int, failure: OpenFailure | None) -> None:
        account, future = self.pending.pop(index)
        if failure is None:
            self.opened.append(FakeConnection(account=account))
        future.set_result(NotOpened(failure) if failure else self.opened[-1])

    def occupied(self) -> int:
        return len(self.pending) + sum(not one.closed for one in self.opened)


class PoolMachine(RuleBasedStateMachine):
    """Fails if a connection serves two requests or another account's, if the
    pool or transactions of accounts exceed their limits, or if a request is
    forgotten.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.opener = CountingOpener()
        self.tasks: list[tuple[str, asyncio.Task]] = []
        self.held: list[FakeConnection] = []
        self.run(self.start())

    async def start(self) -> None:
        self.pool = ConnectionPool(
            SERVER, self.opener, LIMIT, 2.0, DecisionLog("vm1"), lambda: None
        )

    def run(self, work=None) -> None:
        if work is not None:
            self.loop.run_until_complete(work)
        self.loop.run_until_complete(run_ready_tasks())
        for account, task in [one for one in self.tasks if one[1].done()]:
            self.tasks.remove((account, task))
            result = None if task.cancelled() else task.result()
            if isinstance(result, FakeConnection):
                assert result.account == account
                assert not result.closed and result not in self.held
                self.held.append(result)

    def call(self, function, *arguments) -> None:
        async def work() -> None:
            function(*arguments)

        self.run(work())

    @rule(
        account=st.sampled_from(["", "a", "b", "c"]),
        priority=st.integers(0, 1),
        seconds=st.sampled_from([0.02, 0.2, 5.0]),
        transaction=st.booleans(),
    )
    def acquire(
        self, account: str, priority: int, seconds: float, transaction: bool
    ) -> None:
        deadline = self.loop.time() + seconds
        limits = WaitLimits(priority, deadline, deadline)
        work = self.pool.acquire(SessionContext(), limits, account, transaction)
        self.tasks.append((account, self.loop.create_task(work)))
        self.run()

    @rule(
        index=INDEX,
        failure=st.sampled_from(
            [None, None, None, OpenFailure.FULL, OpenFailure.REFUSED]
        ),
    )
    def complete_opening(self, index: int, failure: OpenFailure | None) -> None:
        if self.opener.pending:
            index %= len(self.opener.pending)
            self.call(self.opener.complete, index, failure)

    @rule(index=INDEX, broken=st.booleans())
    def give_back(self, index: int, broken: bool) -> None:
        if self.held:
            connection = self.held.pop(index % len(self.held))
            pool = self.pool
            self.call(pool.discard if broken else pool.release, connection)

    @rule(index=INDEX)
    def continue_transaction(self, index: int) -> None:
        if self.held:
            connection = self.held[index % len(self.held)]
            if connection in self.pool.executing:
                self.call(self.pool.end_statement, connection)
            else:
                deadline = self.loop.time() + 0.001
                self.run(self.pool.begin_statement(connection, deadline))

    @rule(index=INDEX)
    def cancel(self, index: int) -> None:
        if self.tasks:
            self.call(self.tasks[index % len(self.tasks)][1].cancel)

    @rule()
    def grant_and_cancel(self) -> None:
        # The request is cancelled after it was granted but before it runs.
        if self.held and self.tasks:
            connection = self.held.pop(0)

            def both() -> None:
                self.pool.release(connection)
                for account, task in self.tasks:
                    if account == connection.account:
                        task.cancel()

            self.call(both)

    @rule(index=INDEX)
    def server_closes_idle(self, index: int) -> None:
        if self.pool.idle:
            connection = self.pool.idle[index % len(self.pool.idle)].connection
            connection.closed = True
            self.call(connection.on_closed)

    @rule(index=INDEX)
    def server_closes_waiting(self, index: int) -> None:
        waiting = [one for one in self.pool.in_use if one.on_closed]
        if waiting:
            connection = waiting[index % len(waiting)]
            connection.closed = True
            self.call(connection.on_closed)
            assert connection not in self.pool.in_use

    @rule(index=INDEX)
    def borrow_for_control(self, index: int) -> None:
        if self.pool.idle:
            self.run(self.borrow())

    async def borrow(self) -> None:
        connection = await self.pool.acquire_control_connection(1.0)
        await asyncio.sleep(0.001)
        self.pool.release(connection)

    @rule(declared=st.sets(st.sampled_from("abc")))
    def withdraw(self, declared: set[str]) -> None:
        self.call(self.pool.close_undeclared, declared)
        assert {*self.pool.idle_accounts()} <= declared | {""}

    @rule(seconds=st.sampled_from([0.001, 0.03, 0.06, 0.3]))
    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    @invariant()
    def limits_hold(self) -> None:
        pool = self.pool
        assert pool.count == self.opener.occupied() <= LIMIT
        assert {*pool.in_use} >= {*self.held}
        idle = {one.connection for one in pool.idle}
        assert not {*self.held} & idle
        # None is lost, for example with a request that was cancelled.
        opened = {one for one in self.opener.opened if not one.closed}
        assert opened == {*pool.in_use} | idle
        assert pool.opening == pool.opening_for.total()
        assert pool.opening <= MAX_OPENING_FOR_ACCOUNTS
        assert pool.limiter.in_flight_count == len(pool.executing)
        assert pool.transactions <= {*pool.in_use}
        limited = [one for one in pool.transactions if one.account]
        assert len(limited) < LIMIT

    @invariant()
    def no_request_is_forgotten(self) -> None:
        pool = self.pool
        now = self.loop.time()
        entries = [*pool.queue.in_order(now)]
        waiting = {one.account for one in entries}
        # A single statement never waits while a connection of its account is
        # idle.
        single = {one.account for one in entries if not one.item.transaction}
        assert not single & {*pool.idle_accounts()}
        transactions = [one for one in entries if one.item.transaction]
        assert pool.waiting_transactions == len(transactions)
        if waiting and pool.limiter.has_room() and now >= pool.full_until:
            assert pool.in_use or pool.opening

    def teardown(self) -> None:
        for _ in range(200):
            while self.held:
                self.call(self.pool.release, self.held.pop())
            while self.opener.pending:
                self.call(self.opener.complete, 0, None)
            if not self.tasks and not self.held:
                break
            self.run(asyncio.sleep(0.06))
        assert not self.tasks and not self.pool.in_use
        self.loop.close()


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


@pytest.mark.parametrize(
    ("account", "expected"),
    [("", MAX_OPENING), ("a", MAX_OPENING_FOR_ACCOUNTS)],
)
async def test_number_of_simultaneous_openings(
    account: str, expected: int
) -> None:
    # Fails if servers without accounts get more handshakes at once than before.
    opener = CountingOpener()
    pool = ConnectionPool(
        SERVER, opener, 8, 4.0, DecisionLog("vm1"), lambda: None
    )
    limits = WaitLimits(0, *[asyncio.get_running_loop().time() + 5] * 2)
    tasks = [
        asyncio.create_task(pool.acquire(SessionContext(), limits, account))
        for _ in range(5)
    ]
    await run_ready_tasks()
    assert len(opener.pending) == expected
    for task in tasks:
        task.cancel()


def test_request_of_an_account_with_its_share_gets_an_idle_connection() -> None:
    # Fails if the request waits for as long as nothing else happens in the
    # pool, although the connection of an account that sends nothing is idle.
    async def work() -> None:
        opener = CountingOpener()
        pool = ConnectionPool(
            SERVER, opener, 3, 4.0, DecisionLog("vm1"), lambda: None
        )
        limits = WaitLimits(0, *[asyncio.get_running_loop().time() + 5] * 2)
        for account in "abc":
            opened = asyncio.create_task(
                pool.acquire(SessionContext(), limits, account)
            )
            await run_ready_tasks()
            opener.complete(0, None)
            await opened
        pool.release(opener.opened[2])
        waiting = asyncio.create_task(
            pool.acquire(SessionContext(), limits, "b")
        )
        await asyncio.sleep(0.04)
        assert not opener.pending and not opener.opened[2].closed
        await asyncio.sleep(0.02)
        assert opener.opened[2].closed
        opener.complete(0, None)
        assert (await waiting).account == "b"

    run_virtual(work())


RATES = [30, 25, 20, 15, 10, 8, 6, 5, 4, 3, 3, 2, 2, 2] + [1] * 6
USUAL = {f"a{rank}": 1.6 * rate for rank, rate in enumerate(RATES)}
SEEDS = range(2)


def burst(pool_class: type[ConnectionPool], hot: str) -> collections.Counter:
    rates = {**USUAL, hot: 7 * USUAL[hot]}
    counts: collections.Counter = collections.Counter()
    for seed in SEEDS:
        server = play(pool_class, seed, USUAL, rates, 6.0)
        for account, one in server.counts.items():
            counts[account, "sent"] += one.sent
            counts[account, "in time"] += one.in_time
            group = "hot" if account == hot else "others"
            counts[group, "in time"] += one.in_time
            counts[group, "late"] += one.late
            counts[group, "refused"] += one.refused
    return counts


@pytest.mark.parametrize("hot", ["a0", "a1"])
def test_burst_of_one_account_is_not_served_at_the_cost_of_others(
    hot: str,
) -> None:
    # Fails if the connections and slots of a server go to the account that
    # sends most, as they do in order of arrival.
    simple, fair = burst(SimplePool, hot), burst(ConnectionPool, hot)
    assert fair["others", "in time"] > 1.5 * simple["others", "in time"]
    assert fair["others", "late"] <= simple["others", "late"]


@pytest.mark.parametrize("hot", ["a0", "a1"])
def test_each_account_gets_its_fair_share_in_a_burst(hot: str) -> None:
    # Fails if small accounts lose what larger ones get. An account that sends
    # less than an equal share of what is served must get most of it.
    fair = burst(ConnectionPool, hot)
    served = sum(fair[account, "in time"] for account in USUAL)
    share = served / len(USUAL)
    for account in USUAL:
        due = min(fair[account, "sent"], share)
        assert fair[account, "in time"] >= 0.8 * due, account


def test_accounts_are_spread_over_the_homes_of_the_region() -> None:
    # Fails if every home has to hold connections for every account, or if VMs
    # disagree on the home of an account.
    members = {
        f"vm{n}": Member(f"vm{n}", "host", 1, f"north-{dc}", "north", 2.0)
        for n, dc in enumerate("abcabcabcabc")
    }
    group = unittest.mock.Mock(connection_limit=24)
    group.name = "plots"
    first: dict[str, set[str]] = collections.defaultdict(set)
    targets = set()
    for own in members.values():
        rows = unittest.mock.Mock(members=members, own=own, complete=True)
        homes = Homes(rows)
        for account in ("", *"abcdefgh"):
            found = homes.forwarding_targets(group, account)
            first[account].add(found[0].vm)
            targets.add(frozenset(one.vm for one in found))
    # The same homes and substitutes remain as fallbacks.
    assert len(targets) == 1
    nearest = first.pop("")
    assert {len(vms) for vms in first.values()} == {1}
    assert set().union(*first.values()) == nearest and len(nearest) == 2


def test_maintenance_closes_connections_of_withdrawn_accounts() -> None:
    # Fails if a withdrawn account keeps connections, or if those of all
    # accounts are closed before declarations are known.
    closed: list[collections.abc.Container[str]] = []
    pool = unittest.mock.Mock(close_undeclared=closed.append)
    group = unittest.mock.Mock(pools={"s1": pool})
    directory = unittest.mock.Mock(groups={"plots": group})
    declared = unittest.mock.Mock(accounts={"a": None})
    for one in (None, unittest.mock.Mock(accounts=None), declared):
        directory.declarations = one
        asyncio.run(PoolMaintenance(directory).maintain(0.0))
    assert [list(one) for one in closed] == [[], ["a"]]


def test_requests_without_accounts_are_served_as_before() -> None:
    # Fails if accounts cost deployments anything that declare none.
    played: list[LoadedServer] = [
        play(one, 1, {"": 100.0}, {"": 500.0}, 3.0)
        for one in (SimplePool, ConnectionPool)
    ]
    assert played[0].counts == played[1].counts
    assert played[0].opened == played[1].opened
