import math

import attrs
import pytest

from jackdawcrank.decisions import DecisionLog
from jackdawcrank.relay import account_authority, table_follower
from jackdawcrank.relay.account_authority import AccountAuthority
from jackdawcrank.relay.caller_session import CallerSession
from jackdawcrank.relay.execution import Execution
from jackdawcrank.relay.relay_settings import AccountBounds
from jackdawcrank.relay.session_view import SessionView
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.seams.metadata_store import TableSnapshot
from jackdawcrank.seams.replies import Problem, Reply, SessionState
from jackdawcrank.seams.statements import (
    Begin,
    Commit,
    DataStatement,
    Rollback,
    SetSessionValue,
    Statement,
)
from jackdawcrank_policy.catalog import (
    AccountSpec,
    Consistency,
    DatabaseSpec,
    Declarations,
)

KEY = bytes.fromhex("0123456789" * 6 + "abcd")
READ = DataStatement(writes=False, text="a")
SPEC = DatabaseSpec("d", "g", Consistency.PRIMARY, 0.0, 1.0, 1.0, 0)
UNPROVEN_AFTER = 4.8


def declare(version: int, *names: str) -> Declarations:
    """Return declarations in which the first account has the key."""
    accounts = {
        name: AccountSpec(name, frozenset({KEY} if not n else ()), 1.0, 1.0)
        for n, name in enumerate(names)
    }
    return Declarations(version, {"d": SPEC}, {}, 3.0, accounts)


@attrs.define(eq=False)
class FakeServers:
    """Catalog, resolver, runner and open transaction in one."""

    declarations: Declarations | None
    ran: list[str] = attrs.Factory(list)

    def resolve(self, name: str) -> tuple[DatabaseSpec, None]:
        return SPEC, None

    async def run_single(self, session: SessionView, one: Execution) -> Reply:
        self.ran.append("single")
        return Reply()

    async def begin(
        self, session: SessionView, one: Execution | None
    ) -> "FakeServers":
        return self

    async def run(self, session: SessionView, one: Execution) -> Reply:
        self.ran.append("statement")
        return Reply()

    async def commit(self, session: SessionView, request_id: str) -> Reply:
        self.ran.append("commit")
        return Reply()

    def roll_back(self) -> None:
        self.ran.append("rollback")


@attrs.define
class Clock:
    now: float = 50.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    one = Clock()
    for module in (account_authority, table_follower):
        monkeypatch.setattr(module, "boot_seconds", lambda: one.now)
    return one


@pytest.fixture
def servers() -> FakeServers:
    return FakeServers(None)


@pytest.fixture
async def authority(
    clock: Clock, follower: TableFollower, servers: FakeServers
) -> AccountAuthority:
    bounds = AccountBounds(revocation_seconds=5.0)
    one = AccountAuthority(servers, follower, bounds, follower.log)
    await follower.read()
    servers.declarations = declare(1, "acme", "other")
    return one


@pytest.fixture
def session(
    authority: AccountAuthority, servers: FakeServers, log: DecisionLog
) -> CallerSession:
    one = CallerSession("d", servers, servers, log)  # type: ignore[arg-type]
    one.key_digest, one.authority = KEY, authority
    assert authority.check(one, "") is None
    return one


async def ask(session: CallerSession, *statements: Statement) -> Reply:
    for statement in statements:
        reply = await session.handle("r", statement)
    return reply


@pytest.mark.parametrize(
    "last, state", [(READ, SessionState.FAILED), (Commit(), SessionState.IDLE)]
)
async def test_transaction_is_rolled_back_when_the_proof_expires(
    session: CallerSession,
    servers: FakeServers,
    clock: Clock,
    last: Statement,
    state: SessionState,
) -> None:
    # A withdrawn key would commit what it began before the withdrawal.
    await ask(session, Begin(read_only=False), READ)
    clock.now += UNPROVEN_AFTER
    reply = await ask(session, last)
    assert (reply.problem, reply.state) == (Problem.ROLLED_BACK, state)
    assert servers.ran == ["statement", "rollback"]
    assert not session.ended
    assert (await ask(session, Rollback())).problem is None


async def test_statements_wait_for_no_poll_once_the_proof_is_back(
    session: CallerSession, authority: AccountAuthority, clock: Clock
) -> None:
    # Callers turn away from a VM for longer than the store was unreachable.
    clock.now += UNPROVEN_AFTER
    assert (await ask(session, Begin(False))).problem is Problem.BUSY
    assert session.state is SessionState.IDLE
    assert (await ask(session, SetSessionValue("a", "1"))).problem is None
    assert not authority.observe()
    authority.follower.store.image = TableSnapshot((), 5, 104.8)
    await authority.follower.read()
    assert authority.observe()
    assert (await ask(session, READ)).problem is None
    events = authority.log.measurements.events
    assert [events[f"keys_{one}"] for one in ("unproven", "proven")] == [1, 1]


@pytest.mark.parametrize("names", [("other", "acme"), ()])
async def test_key_that_moved_or_was_withdrawn_ends_the_session(
    session: CallerSession, servers: FakeServers, names: tuple[str, ...]
) -> None:
    # Statements would run on connections of the account that lost the key.
    await ask(session, Begin(read_only=False), READ)
    servers.declarations = declare(2, *names)
    reply = await ask(session, READ)
    assert reply.problem is Problem.UNKNOWN_KEY and session.ended
    assert servers.ran == ["statement", "rollback"]


async def test_refusals_are_counted_and_logged_without_the_key(
    session: CallerSession, clock: Clock, log: DecisionLog
) -> None:
    # A whole digest in the log would let its readers search for the key.
    clock.now += UNPROVEN_AFTER
    await ask(session, READ)
    operations = log.measurements.account_operations
    assert operations == {("acme", "unproven"): 1}
    [line] = [one for one in log.pending if b"key_refused" in one]
    assert b'"key": "01234567"' in line and b"0123456789" not in line


async def test_sessions_without_a_key_need_no_proof(
    session: CallerSession,
    authority: AccountAuthority,
    servers: FakeServers,
    clock: Clock,
) -> None:
    # Deployments without accounts must be served through any outage.
    servers.declarations = attrs.evolve(declare(2), accounts=None)
    clock.now += 1_000.0
    assert (await ask(session, READ)).problem is None
    assert (session.account, authority.observe()) == ("", True)
    servers.declarations = declare(3, "acme")
    assert (await ask(session, READ)).problem is Problem.BUSY
    authority.apply_bounds(AccountBounds())
    assert math.isinf(authority.longest_wait_seconds())
    assert (await ask(session, READ)).problem is None
    assert session.account == "acme"
