"""Tests of read routing."""

import random

import attrs
import pytest

from jackdawcrank_policy.routing import (
    Candidate,
    ReadChoice,
    ReadConstraint,
    ReadRequest,
    Refuse,
    RouteToPrimary,
    RouteToReplica,
    WaitForReplica,
    choose_read,
)
from jackdawcrank_policy.values import (
    Branch,
    NotRunReason,
    Position,
    ServerState,
    TermStart,
)

BRANCH = Branch((TermStart(1, 0), TermStart(2, 50)))
NOW = 100.0
PRIMARY = Candidate("a", primary=True, position=Position(2, 80))
LAGGING_REPLICA = Candidate(
    "b",
    position=Position(2, 60),
    complete_as_of=97.0,
    replication_lag=3.0,
    expected_response_time=0.01,
)
RECENT_REPLICA = Candidate(
    "c",
    position=Position(2, 79),
    complete_as_of=99.5,
    replication_lag=0.5,
    expected_response_time=0.01,
)
SERVERS = (PRIMARY, LAGGING_REPLICA, RECENT_REPLICA)


def choose(
    servers: tuple[Candidate, ...] = SERVERS,
    token: str | None = None,
    max_age_ms: int | None = None,
    constraint: ReadConstraint | None = None,
) -> ReadChoice:
    position = Position.parse(token) if token else None
    request = ReadRequest("ledger", NOW + 5, position, max_age_ms, constraint)
    return choose_read(request, servers, BRANCH, NOW, random.Random(1))


def test_read_without_token_or_age_goes_to_primary() -> None:
    assert choose() == RouteToPrimary()


@pytest.mark.parametrize(
    ("token", "max_age_ms", "server"),
    [
        ("2:79", None, "c"),
        (None, 1000, "c"),
        ("2:60", 1000, "c"),
    ],
    ids=["token", "age", "both"],
)
def test_read_goes_to_replica_that_meets_all_bounds(
    token: str | None, max_age_ms: int | None, server: str
) -> None:
    choice = choose(token=token, max_age_ms=max_age_ms)
    assert choice == RouteToReplica(server, 99.5)


@pytest.mark.parametrize(
    ("token", "max_age_ms"),
    [("2:80", None), (None, 100), ("2:80", 9000), ("2:60", 505)],
    ids=["token", "age", "token within age", "age leaves no time"],
)
def test_read_goes_to_primary_if_no_replica_qualifies(
    token: str | None, max_age_ms: int | None
) -> None:
    assert choose(token=token, max_age_ms=max_age_ms) == RouteToPrimary()


@pytest.mark.parametrize(
    "changes",
    [
        {"state": ServerState.LEAVING},
        {"state": ServerState.JOINING},
        {"failing": True},
        {"position": Position(1, 79)},
    ],
    ids=["leaving", "joining", "failing", "divergent"],
)
def test_unusable_replica_gets_no_reads(
    changes: dict[str, object],
) -> None:
    changed = attrs.evolve(RECENT_REPLICA, **changes)
    assert choose((PRIMARY, changed), token="2:70") == RouteToPrimary()


def test_read_with_lost_token_position_is_refused() -> None:
    choice = choose(token="1:51", max_age_ms=9000)
    assert isinstance(choice, Refuse)
    assert choice.outcome.reason is NotRunReason.WRITE_LOST


def test_token_of_unknown_term_is_refused_as_stale() -> None:
    choice = choose(token="3:90")
    assert isinstance(choice, Refuse)
    assert choice.outcome.reason is NotRunReason.STALE_TOKEN
    assert choice.outcome.retry_after_ms


def test_last_read_pins_session_until_its_position_is_bounded() -> None:
    assert choose(
        max_age_ms=9000, constraint=ReadConstraint("b")
    ) == RouteToReplica("b", 97.0)
    without_b = (PRIMARY, RECENT_REPLICA)
    assert (
        choose(without_b, max_age_ms=9000, constraint=ReadConstraint("b"))
        == RouteToPrimary()
    )
    bounded = ReadConstraint("b", Position(2, 79))
    assert choose(
        without_b, max_age_ms=9000, constraint=bounded
    ) == RouteToReplica("c", 99.5)
    above = ReadConstraint("b", Position(2, 80))
    assert (
        choose(without_b, max_age_ms=9000, constraint=above) == RouteToPrimary()
    )
    lost = choose(
        max_age_ms=9000, constraint=ReadConstraint("b", None, lost=True)
    )
    assert isinstance(lost, Refuse)


def test_read_waits_for_replica_only_if_faster_than_primary() -> None:
    short_wait = attrs.evolve(RECENT_REPLICA, catch_up_seconds=0.03)
    long_wait = attrs.evolve(RECENT_REPLICA, catch_up_seconds=0.5)
    busy = attrs.evolve(PRIMARY, expected_response_time=1.0)
    choice = choose((PRIMARY, short_wait), token="2:80")
    assert isinstance(choice, WaitForReplica)
    assert NOW + 0.03 <= choice.until < NOW + 0.1
    assert choose((PRIMARY, long_wait), token="2:80") == RouteToPrimary()
    assert isinstance(choose((busy, long_wait), token="2:80"), WaitForReplica)
    beyond_deadline = attrs.evolve(RECENT_REPLICA, catch_up_seconds=5.0)
    assert choose((busy, beyond_deadline), token="2:80") == RouteToPrimary()


def test_read_waits_for_probes_that_may_prove_its_max_age() -> None:
    unknown = Candidate("b")
    caught_up = attrs.evolve(RECENT_REPLICA, replication_lag=0.0)
    for candidate in (unknown, caught_up):
        choice = choose((PRIMARY, candidate), max_age_ms=400)
        assert isinstance(choice, WaitForReplica)
        assert choice.probe
        pinned_to_primary = ReadConstraint("a")
        pinned = choose(
            (PRIMARY, candidate), max_age_ms=400, constraint=pinned_to_primary
        )
        assert pinned == RouteToPrimary()
    request = ReadRequest("ledger", NOW + 5, None, 400, may_wait=False)
    servers = (PRIMARY, caught_up)
    choice = choose_read(request, servers, BRANCH, NOW, random.Random(1))
    assert choice == RouteToPrimary()


def test_fastest_replica_wins_and_near_ties_keep_last_replica() -> None:
    busy = attrs.evolve(
        LAGGING_REPLICA, position=Position(2, 79), expected_response_time=0.03
    )
    assert choose(
        (PRIMARY, busy, RECENT_REPLICA), token="2:79"
    ) == RouteToReplica("c", 99.5)
    near = attrs.evolve(busy, expected_response_time=0.0105)
    constraint = ReadConstraint("b", Position(2, 79))
    choice = choose(
        (PRIMARY, near, RECENT_REPLICA), token="2:79", constraint=constraint
    )
    assert choice == RouteToReplica("b", 97.0)


def test_refusal_without_usable_server_has_retry_after() -> None:
    choice = choose((), token="2:70")
    assert isinstance(choice, Refuse)
    assert choice.outcome.retry_after_ms
