"""Tests of the quotas that divide a connection limit."""

import random

import attrs
import hypothesis
import hypothesis.strategies as st

from jackdawcrank_policy.budget import (
    QUOTA_COUNT,
    STALE_CONNECTION_SECONDS,
    ConnectionBudget,
    assign_quotas,
    departed_vms,
    quota_size,
    writer_names,
)

VMS = ("u", "v", "w", "x", "y", "z")


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(limit=st.integers(0, 300))
def test_quotas_add_up_to_the_limit(limit: int) -> None:
    shares = [quota_size(limit, quota) for quota in range(QUOTA_COUNT)]
    assert sum(shares) == limit
    assert max(shares) - min(shares) <= 1
    assert quota_size(limit, QUOTA_COUNT) == 0


def test_departed_vm_keeps_its_quota_until_it_is_released() -> None:
    first = assign_quotas((), ("u", "v", "w"), ())
    assert first == ("u", "v", "w", "")
    second = assign_quotas(first, ("u", "w", "x"), ())
    assert second == ("u", "!v", "w", "x")
    assert departed_vms(second) == ("v",)
    assert writer_names(second) == ("u", "w", "x")
    assert assign_quotas(second, ("u", "w", "y"), ()) == ("u", "!v", "w", "!x")
    third = assign_quotas(second, ("u", "w", "y"), ("v",))
    assert third == ("u", "y", "w", "!x")
    assert assign_quotas(second, ("u", "v", "w"), ()) == ("u", "v", "w", "!x")


def test_unwanted_writer_is_marked_departed_first() -> None:
    assert assign_quotas(("u",), ("v",), ("u",)) == ("!u", "v", "", "")


def test_older_row_is_ignored() -> None:
    budget = ConnectionBudget(80, started_at=-STALE_CONNECTION_SECONDS)
    budget.apply(("u", "v"), 7, 0.0)
    budget.apply(("", "u"), 6, 0.0)
    assert budget.share("v", 0.0) == 20


def test_restarted_process_waits_for_its_stale_connections() -> None:
    budget = ConnectionBudget(90, started_at=100.0)
    budget.apply(("u", "v"), 7, 101.0)
    assert budget.share("u", 109.0) == 0
    assert budget.share("u", 110.0) == 23
    assert budget.server_share("u", 3, 110.0) == 8


@attrs.define
class HomeVm:
    """A VM with its own view of the row and its open connections."""

    budget: ConnectionBudget
    first_version: int = 0
    open: int = 0
    stale: int = 0
    stale_until: float = 0.0
    alive: bool = True

    def held(self, now: float) -> int:
        stale = self.stale if now < self.stale_until else 0
        return self.open + stale


@attrs.define
class Cluster:
    """Committed rows, VMs that apply them late, and released quotas."""

    limit: int
    rng: random.Random
    now: float = 0.0
    rows: list[tuple[str, ...]] = attrs.Factory(lambda: [("",) * QUOTA_COUNT])
    vms: dict[str, HomeVm] = attrs.Factory(dict)
    released: dict[str, float] = attrs.Factory(dict)

    def boot(self, name: str) -> None:
        budget = ConnectionBudget(self.limit, self.now)
        self.vms[name] = HomeVm(budget, len(self.rows) - 1)

    def replan(self, name: str) -> None:
        others = [vm for vm in VMS if vm != name]
        wanted = [name, *self.rng.sample(others, QUOTA_COUNT - 1)]
        free = [vm for vm, at in self.released.items() if at <= self.now]
        row = assign_quotas(self.rows[-1], wanted, free)
        self.rows.append(row)
        gone = {*departed_vms(row)}
        self.released = {v: at for v, at in self.released.items() if v in gone}

    def learn(self, name: str) -> None:
        vm = self.vms[name]
        if not vm.alive:
            return
        newest = len(self.rows) - 1
        version = self.rng.choice(
            (newest, self.rng.randint(vm.first_version, newest))
        )
        vm.budget.apply(self.rows[version], version, self.now)
        share = vm.budget.share(name, self.now)
        vm.open = min(vm.open, share)
        if vm.budget.version == newest and vm.budget.may_release(
            name, self.now
        ):
            self.released[name] = self.now

    def connect(self, name: str) -> None:
        vm = self.vms[name]
        if vm.alive:
            vm.open = max(vm.open, vm.budget.share(name, self.now))

    def die(self, name: str) -> None:
        vm = self.vms[name]
        if not vm.alive:
            return
        vm.alive = False
        vm.stale = vm.held(self.now)
        vm.open = 0
        vm.stale_until = self.now + STALE_CONNECTION_SECONDS
        if name in departed_vms(self.rows[-1]):
            self.released[name] = vm.stale_until

    def restart(self, name: str) -> None:
        old = self.vms[name]
        if old.alive:
            return
        self.boot(name)
        self.vms[name].stale = old.stale
        self.vms[name].stale_until = old.stale_until

    def wait(self, name: str) -> None:
        self.now += self.rng.uniform(0.0, STALE_CONNECTION_SECONDS)


STEPS = ("replan", "learn", "connect", "die", "restart", "wait")
WEIGHTS = (1, 20, 20, 1, 2, 2)
WALK_STEPS = 1000


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(
    limit=st.sampled_from((80, 90, 7)), seed=st.integers(0, 2**32)
)
def test_connections_of_all_vms_never_exceed_the_limit(
    limit: int, seed: int
) -> None:
    rng = random.Random(seed)
    cluster = Cluster(limit, rng)
    for name in VMS:
        cluster.boot(name)
    cluster.now = STALE_CONNECTION_SECONDS
    for step in rng.choices(STEPS, WEIGHTS, k=WALK_STEPS):
        getattr(cluster, step)(rng.choice(VMS))
        held = sum(vm.held(cluster.now) for vm in cluster.vms.values())
        assert held <= limit
