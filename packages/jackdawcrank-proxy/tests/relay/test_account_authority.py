import itertools

import attrs
import pytest

from jackdawcrank.relay import account_authority, table_follower
from jackdawcrank.relay.account_authority import AccountAuthority
from jackdawcrank.relay.caller_session import CallerSession
from jackdawcrank.relay.relay_settings import AccountBounds
from jackdawcrank.relay.table_follower import TableFollower
from jackdawcrank.seams.metadata_store import TableSnapshot
from jackdawcrank.seams.replies import Problem
from jackdawcrank_policy.catalog import (
    AccountSpec,
    Consistency,
    DatabaseSpec,
    Declarations,
)

KEY = bytes.fromhex("0123456789" * 6 + "abcd")
VERSIONS = itertools.count(1)
SPEC = DatabaseSpec("d", "g", Consistency.PRIMARY, 0.0, 1.0, 1.0, 0)


def declare(*owners: str) -> Declarations:
    accounts = {
        name: AccountSpec(name, frozenset({KEY}), 1.0, 1.0) for name in owners
    }
    return Declarations(next(VERSIONS), {"d": SPEC}, {}, 3.0, accounts)


class Fixture:
    """A session of the account `acme` whose key is proven."""

    def __init__(self, follower: TableFollower) -> None:
        self.now, self.follower = 50.0, follower
        self.declarations: Declarations | None = None
        bounds = AccountBounds(revocation_seconds=5.0)
        self.authority = AccountAuthority(self, follower, bounds, follower.log)
        self.session = CallerSession("d", None, None, follower.log)  # type: ignore[arg-type]
        self.session.key_digest = KEY

    def check(self) -> Problem | None:
        refusal = self.authority.check(self.session, "r")
        return refusal and refusal.problem


@pytest.fixture
async def fixture(
    follower: TableFollower, monkeypatch: pytest.MonkeyPatch
) -> Fixture:
    one = Fixture(follower)
    for module in (account_authority, table_follower):
        monkeypatch.setattr(module, "boot_seconds", lambda: one.now)
    await follower.read()
    one.declarations = declare("acme")
    assert (one.check(), one.session.account) == (None, "acme")
    return one


async def test_changes_of_the_proof_are_logged_once_and_without_the_key(
    fixture: Fixture,
) -> None:
    # A whole digest in the log would let its readers search for the key.
    log = fixture.follower.log
    fixture.now += 4.8
    assert [fixture.check(), fixture.check()] == [Problem.BUSY] * 2
    assert not fixture.authority.observe()
    fixture.follower.store.image = TableSnapshot((), 5, 104.8)
    await fixture.follower.read()
    assert fixture.authority.observe() and fixture.check() is None
    events = [log.measurements.events[f"keys_{a}proven"] for a in ("un", "")]
    assert events == [1, 1]
    counted = list(log.measurements.accounts.series())
    assert counted == [("acme", "unproven", 2)]
    lines = [one for one in log.pending if b"key_refused" in one]
    assert all(b'"key": "01234567"' in one for one in lines)
    assert not any(b"0123456789" in one for one in lines)


@pytest.mark.parametrize("owners", [("other",), ()])
async def test_key_that_moved_or_was_withdrawn_is_refused(
    fixture: Fixture, owners: tuple[str, ...]
) -> None:
    # Statements would run on connections of the account that lost the key.
    fixture.declarations = declare(*owners)
    assert fixture.check() is Problem.UNKNOWN_KEY


async def test_sessions_without_need_of_a_key_need_no_proof(
    fixture: Fixture,
) -> None:
    # Deployments without accounts or bound must be served in any outage.
    fixture.now += 1_000.0
    fixture.declarations = attrs.evolve(declare(), accounts=None)
    assert (fixture.check(), fixture.session.account) == (None, "")
    assert fixture.authority.observe()
    fixture.declarations = declare("acme")
    assert fixture.check() is Problem.BUSY
    fixture.authority.apply_bounds(AccountBounds())
    assert (fixture.check(), fixture.session.account) == (None, "acme")
