"""Tests of the seats that share a connection limit."""

import random

import attrs
import hypothesis
import hypothesis.strategies as st

from jackdawcrank_policy.budget import (
    LINGER_SECONDS,
    SEATS,
    BudgetLedger,
    departed,
    plan_seats,
    seat_share,
    writer_names,
)

VMS = ("u", "v", "w", "x", "y", "z")


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(limit=st.integers(0, 300))
def test_the_seats_share_the_whole_limit(limit: int) -> None:
    shares = [seat_share(limit, seat) for seat in range(SEATS)]
    assert sum(shares) == limit
    assert max(shares) - min(shares) <= 1
    assert seat_share(limit, SEATS) == 0


def test_a_departed_vm_keeps_its_seat_until_it_is_freed() -> None:
    first = plan_seats((), ("u", "v", "w"), ())
    assert first == ("u", "v", "w", "")
    second = plan_seats(first, ("u", "w", "x"), ())
    assert second == ("u", "!v", "w", "x")
    assert departed(second) == ("v",)
    assert writer_names(second) == ("u", "w", "x")
    assert plan_seats(second, ("u", "w", "y"), ()) == ("u", "!v", "w", "!x")
    third = plan_seats(second, ("u", "w", "y"), ("v",))
    assert third == ("u", "y", "w", "!x")
    assert plan_seats(second, ("u", "v", "w"), ()) == ("u", "v", "w", "!x")


def test_a_present_writer_is_not_replaced_at_once() -> None:
    assert plan_seats(("u",), ("v",), ("u",)) == ("!u", "v", "", "")


def test_an_older_row_is_ignored() -> None:
    ledger = BudgetLedger(80, started_at=-LINGER_SECONDS)
    ledger.apply(("u", "v"), 7, 0.0)
    ledger.apply(("", "u"), 6, 0.0)
    assert ledger.share("v", 0.0) == 20


def test_a_restarted_process_waits_for_its_old_connections() -> None:
    ledger = BudgetLedger(90, started_at=100.0)
    ledger.apply(("u", "v"), 7, 101.0)
    assert ledger.share("u", 109.0) == 0
    assert ledger.share("u", 110.0) == 23
    assert ledger.server_share("u", 3, 110.0) == 8


@attrs.define
class HomeVm:
    """A VM with its own view of the row and its open connections."""

    ledger: BudgetLedger
    first_version: int = 0
    open: int = 0
    lingering: int = 0
    lingers_until: float = 0.0
    alive: bool = True

    def held(self, now: float) -> int:
        lingering = self.lingering if now < self.lingers_until else 0
        return self.open + lingering


@attrs.define
class Cluster:
    """The committed rows, VMs that lag behind them, and what was freed."""

    limit: int
    rng: random.Random
    now: float = 0.0
    rows: list[tuple[str, ...]] = attrs.Factory(lambda: [("",) * SEATS])
    vms: dict[str, HomeVm] = attrs.Factory(dict)
    freed: dict[str, float] = attrs.Factory(dict)

    def boot(self, name: str) -> None:
        ledger = BudgetLedger(self.limit, self.now)
        self.vms[name] = HomeVm(ledger, len(self.rows) - 1)

    def replan(self, name: str) -> None:
        others = [vm for vm in VMS if vm != name]
        wanted = [name, *self.rng.sample(others, SEATS - 1)]
        free = [vm for vm, at in self.freed.items() if at <= self.now]
        row = plan_seats(self.rows[-1], wanted, free)
        self.rows.append(row)
        gone = {*departed(row)}
        self.freed = {v: at for v, at in self.freed.items() if v in gone}

    def learn(self, name: str) -> None:
        vm = self.vms[name]
        if not vm.alive:
            return
        newest = len(self.rows) - 1
        version = self.rng.choice(
            (newest, self.rng.randint(vm.first_version, newest))
        )
        vm.ledger.apply(self.rows[version], version, self.now)
        share = vm.ledger.share(name, self.now)
        vm.open = min(vm.open, share)
        if vm.ledger.version == newest and vm.ledger.may_release(
            name, self.now
        ):
            self.freed[name] = self.now

    def connect(self, name: str) -> None:
        vm = self.vms[name]
        if vm.alive:
            vm.open = max(vm.open, vm.ledger.share(name, self.now))

    def die(self, name: str) -> None:
        vm = self.vms[name]
        if not vm.alive:
            return
        vm.alive = False
        vm.lingering = vm.held(self.now)
        vm.open = 0
        vm.lingers_until = self.now + LINGER_SECONDS
        if name in departed(self.rows[-1]):
            self.freed[name] = vm.lingers_until

    def restart(self, name: str) -> None:
        old = self.vms[name]
        if old.alive:
            return
        self.boot(name)
        self.vms[name].lingering = old.lingering
        self.vms[name].lingers_until = old.lingers_until

    def wait(self, name: str) -> None:
        self.now += self.rng.uniform(0.0, LINGER_SECONDS)


STEPS = ("replan", "learn", "connect", "die", "restart", "wait")
WEIGHTS = (1, 20, 20, 1, 2, 2)
WALK_STEPS = 1000


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(
    limit=st.sampled_from((80, 90, 7)), seed=st.integers(0, 2**32)
)
def test_the_connections_of_all_vms_never_pass_the_limit(
    limit: int, seed: int
) -> None:
    rng = random.Random(seed)
    cluster = Cluster(limit, rng)
    for name in VMS:
        cluster.boot(name)
    cluster.now = LINGER_SECONDS
    for step in rng.choices(STEPS, WEIGHTS, k=WALK_STEPS):
        getattr(cluster, step)(rng.choice(VMS))
        held = sum(vm.held(cluster.now) for vm in cluster.vms.values())
        assert held <= limit
