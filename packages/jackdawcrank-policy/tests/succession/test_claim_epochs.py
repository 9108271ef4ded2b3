"""Exhaustive exploration of claims in a store that goes back to a copy.

Processes read the row of the claims, write it under a condition at any later
time, also after a restoration, and order a promotion with the token of each
claim that they believe to hold. No two of them may use the same token.
"""

from collections.abc import Callable, Iterator

import attrs
import pytest

from jackdawcrank_policy.succession import Claim, claim_key, next_claim

GROUP = "plots"
PROCESSES = ("p1", "p2")
# Two reads, two writes, a copy and two restorations, and one step more.
DEPTH = 8


@attrs.frozen
class Row:
    claim: Claim
    revision: int


@attrs.frozen
class Tables:
    """What a copy of the store holds."""

    rows: tuple[tuple[str, Row], ...] = ()
    revision: int = 0

    def row(self, key: str) -> Row | None:
        return dict(self.rows).get(key)

    def with_claim(self, key: str, claim: Claim) -> "Tables":
        revision = self.revision + 1
        rows = dict(self.rows) | {key: Row(claim, revision)}
        return Tables(tuple(sorted(rows.items())), revision)


@attrs.frozen
class PendingWrite:
    """A claim that a process is about to write, with its condition."""

    key: str
    claim: Claim
    revision: int
    epoch: int


@attrs.frozen
class State:
    tables: Tables = Tables()
    epoch: int = 1
    copy: Tables = Tables()
    pending: tuple[PendingWrite | None, ...] = (None,) * len(PROCESSES)
    orders: frozenset[tuple[int, str]] = frozenset()


@attrs.frozen
class Rule:
    """How claims are keyed and numbered, and which ones are held."""

    key: Callable[[int], str]
    numbering_epoch: Callable[[int], int]
    checks_epoch: bool


PRODUCT_RULE = Rule(lambda epoch: claim_key(GROUP, epoch), lambda e: e, True)
RULE_WITHOUT_EPOCHS = Rule(lambda _epoch: GROUP, lambda _epoch: 0, False)
RULE_WITH_ONE_ROW = Rule(lambda _epoch: GROUP, lambda epoch: epoch, True)


def read(state: State, rule: Rule, index: int) -> State:
    key = rule.key(state.epoch)
    row = state.tables.row(key)
    claim = next_claim(
        row.claim if row else None,
        PROCESSES[index],
        "",
        # Every claim in the store has expired by the next read.
        (row.claim.claimed_at if row else 0.0) + 10.0,
        rule.numbering_epoch(state.epoch),
    )
    assert claim is not None
    revision = row.revision if row else 0
    return with_pending(
        state, index, PendingWrite(key, claim, revision, state.epoch)
    )


def with_pending(
    state: State, index: int, pending: PendingWrite | None
) -> State:
    writes = list(state.pending)
    writes[index] = pending
    return attrs.evolve(state, pending=tuple(writes))


def write(state: State, rule: Rule, index: int) -> State:
    pending = state.pending[index]
    assert pending is not None
    row = state.tables.row(pending.key)
    after = with_pending(state, index, None)
    if (row.revision if row else 0) != pending.revision:
        return after
    after = attrs.evolve(
        after, tables=state.tables.with_claim(pending.key, pending.claim)
    )
    if rule.checks_epoch and pending.epoch != state.epoch:
        return after
    order = (pending.claim.token, PROCESSES[index])
    return attrs.evolve(after, orders=after.orders | {order})


def successors(state: State, rule: Rule) -> Iterator[State]:
    for index, pending in enumerate(state.pending):
        if pending is None:
            yield read(state, rule, index)
        else:
            yield write(state, rule, index)
    yield attrs.evolve(state, copy=state.tables)
    yield attrs.evolve(state, tables=state.copy, epoch=state.epoch + 1)


def repeated_token(state: State) -> int | None:
    tokens = [token for token, _ in state.orders]
    return next((one for one in tokens if tokens.count(one) > 1), None)


def find_repeated_token(rule: Rule) -> int | None:
    """Return a token that two processes use in some run, or None."""
    states = {State()}
    for _ in range(DEPTH):
        states = {after for one in states for after in successors(one, rule)}
        for state in states:
            token = repeated_token(state)
            if token is not None:
                return token
    return None


def test_no_token_is_used_twice() -> None:
    assert find_repeated_token(PRODUCT_RULE) is None


@pytest.mark.parametrize("rule", [RULE_WITHOUT_EPOCHS, RULE_WITH_ONE_ROW])
def test_exploration_finds_the_faults_of_simpler_rules(rule: Rule) -> None:
    assert find_repeated_token(rule) is not None


def test_tokens_of_a_later_epoch_are_higher() -> None:
    first = next_claim(None, "p1", "s1", 10.0, epoch=1)
    assert first is not None
    last = attrs.evolve(first, token=first.token + 1_000_000)
    later = next_claim(None, "p2", "s1", 10.0, epoch=2)
    assert later is not None and later.token > last.token


def test_store_without_epochs_numbers_claims_from_one() -> None:
    claim = next_claim(None, "p1", "s1", 10.0)
    assert claim is not None and claim.token == 1
    assert claim_key(GROUP, 0) == GROUP
