import random

from jackdawcrank_policy.placement import (
    Distance,
    OutcomeHealth,
    ServerCandidate,
    ServerCondition,
    ServerEjected,
    ServerReadmitted,
    choose_server,
)


def ejecting(health: OutcomeHealth, now: float = 0.0) -> ServerEjected:
    """Let server `a` fail until it is ejected, while its peers answer."""
    for _ in range(10):
        health.answered("b", now)
        health.answered("c", now)
    for _ in range(10):
        change = health.failed("a", now)
        if change is not None:
            assert isinstance(change, ServerEjected)
            return change
    raise AssertionError("not ejected")


def trial(health: OutcomeHealth, good: bool, now: float) -> object:
    health.begin_trial("a", now)
    record = health.answered if good else health.failed
    return record("a", now)


def test_single_failures_eject_nobody() -> None:
    """Guards against losing a server to a few lost packets or locks."""
    health = OutcomeHealth()
    for number in range(200):
        health.answered("b", number * 0.1)
        record = health.answered if number % 5 else health.failed
        assert record("a", number * 0.1) is None


def test_shared_cause_ejects_nobody() -> None:
    """Guards against blaming a server for a bad statement or this VM's net."""
    rng = random.Random(3)
    ejections = 0
    for share in (0.1, 0.3, 0.5, 0.9):
        health = OutcomeHealth()
        for number in range(1000):
            bad = rng.random() < share
            record = health.failed if bad else health.answered
            change = record(rng.choice("abc"), number * 0.01)
            ejections += isinstance(change, ServerEjected)
    assert ejections == 0


def test_pauses_grow_and_fall_back_only_after_calm_time() -> None:
    """Guards against a server that flaps getting reads every 0.5 s."""
    health = OutcomeHealth()
    pauses = [ejecting(health).pause_seconds]
    now = 0.0
    for _ in range(4):
        now += pauses[-1]
        change = trial(health, False, now)
        assert isinstance(change, ServerEjected)
        pauses.append(change.pause_seconds)
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0]
    now += 4.0
    assert trial(health, True, now) is None
    assert trial(health, True, now) == ServerReadmitted("a")
    assert ejecting(health, now + 1.0).pause_seconds == 4.0
    now += 5.0
    trial(health, True, now)
    trial(health, True, now)
    health.answered("a", now + 10.0)
    assert ejecting(health, now + 10.0).pause_seconds == 0.5


def test_one_trial_at_a_time() -> None:
    """Guards against a server that still fails getting many reads at once."""
    health = OutcomeHealth()
    ejecting(health)
    assert health.withheld("abc", 0.4) == {"a"}
    assert health.withheld("abc", 0.5) == set()
    health.begin_trial("a", 0.5)
    assert health.withheld("abc", 0.6) == {"a"}
    # A trial whose read was refused has no outcome and must not block others.
    assert health.withheld("abc", 1.5) == set()


def test_reads_sent_before_the_pause_are_no_trials() -> None:
    """Guards against longer pauses from reads that a hang has delayed."""
    health = OutcomeHealth()
    ejecting(health)
    assert health.failed("a", 0.6) is None
    assert health.answered("a", 0.6) is None
    assert health.withheld("abc", 0.6) == set()


def test_at_most_half_and_never_the_last_server() -> None:
    """Guards against taking the only server that has the needed position."""
    health = OutcomeHealth()
    ejecting(health)
    for _ in range(20):
        assert health.failed("b", 0.0) is None
    assert health.withheld(["a"], 0.1) == set()
    assert health.withheld(["a", "c"], 0.1) == {"a"}


def failed_reads(with_health: bool, share: float) -> float:
    """Return the share of first attempts that fail in 20 s.

    200 reads a second on three servers, of which the nearest fails a share of
    its reads at once and answers the rest in 10 ms; the others take 35 ms.
    """
    rng = random.Random(1)
    health = OutcomeHealth()
    servers = {
        name: ServerCandidate(
            name,
            Distance.REGION if name != "a" else Distance.DATA_CENTER,
            4,
            ServerCondition(),
        )
        for name in "abc"
    }
    failed = 0
    for number in range(4000):
        now = number * 0.005
        first = choose_server(
            servers.values(),
            now,
            None,
            None,
            health if with_health else None,
        )
        assert first is not None
        health.begin_trial(first, now)
        answering = first
        if first == "a" and rng.random() < share:
            failed += 1
            answering = rng.choice("bc")
            health.failed("a", now)
        health.answered(answering, now)
        seconds = 0.010 if answering == "a" else 0.035
        servers[answering].condition.answered(seconds, now)
    return failed / 4000


def test_server_that_fails_quickly_is_avoided() -> None:
    """Guards against the estimate of time preferring a server that fails."""
    for share in (0.3, 0.5, 0.8):
        before, after = failed_reads(False, share), failed_reads(True, share)
        print(f"fails {share}: first attempts failed {before} {after}")
        assert after <= before / 3
