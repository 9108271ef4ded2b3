"""Guards against a key that is accepted too long after its withdrawal.

The model holds a store, VMs with clocks of their own speed, and messages that
are delayed, dropped or delivered after a freeze or a restoration of the store.
"""

import collections
import math
import typing

import attrs
import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from jackdawcrank_policy.accounts import (
    Identified,
    ProvenTime,
    identify,
    is_proven,
)
from jackdawcrank_policy.catalog import (
    AccountSpec,
    Consistency,
    DatabaseSpec,
    Declarations,
)

BOUND = 5.0
KEY = b"k" * 32
DRIFTS = (-250e-6, 250e-6)
DATABASE = DatabaseSpec("d", "g", Consistency.PRIMARY, 0.0, 1.0, 1.0, 0)
VMS = st.integers(0, 1)
SECONDS = st.floats(0.0, 4.0) | st.sampled_from([5.0, 2_000.0])


def declare(version: int, known: bool) -> Declarations:
    keys = frozenset({KEY} if known else ())
    account = AccountSpec("a", keys, 1.0, 1.0)
    return Declarations(version, {"d": DATABASE}, {}, 3.0, {"a": account})


class Told(typing.NamedTuple):
    epoch: int
    config: Declarations
    store_seconds: float


@attrs.define
class Vm:
    drift: float
    proven: ProvenTime = attrs.Factory(ProvenTime)
    epoch: int = 0
    config: Declarations | None = None
    answer: tuple[float, Told] | None = None

    def clock(self, now: float) -> float:
        return 1_000.0 + now * (1 + self.drift)

    def apply(self, told: Told, now: float) -> None:
        if told.epoch < self.epoch:
            return
        self.epoch = told.epoch
        if told.config.supersedes(self.config):
            self.config = told.config
        self.proven.prove(told.store_seconds, told.epoch, self.clock(now))

    def accepts(self, now: float) -> bool:
        age = self.clock(now) - self.proven.local_seconds
        found = self.config and identify(self.config, "d", KEY, age, BOUND)
        return isinstance(found, Identified)

    def serves(self, now: float) -> bool:
        age = self.clock(now) - self.proven.local_seconds
        return self.config is not None and is_proven(age, BOUND)


class Fleet(RuleBasedStateMachine):
    @initialize(drift=st.sampled_from(DRIFTS))
    def begin(self, drift: float) -> None:
        self.now, self.drift, self.epoch, self.version = 0.0, drift, 1, 1
        self.config, self.changed_at = declare(1, True), 0.0
        self.copy = (self.config, self.changed_at)
        self.vms = [Vm(one) for one in DRIFTS]
        self.streams: list[collections.deque[Told]] = [
            collections.deque() for _ in DRIFTS
        ]

    def told(self) -> Told:
        # Another machine's clock after a restoration; in whole milliseconds.
        clock = 0.5 * (-1) ** self.epoch + self.now * (1 + self.drift)
        return Told(self.epoch, self.config, math.floor(clock * 1e3) / 1e3)

    @rule(seconds=SECONDS)
    def pass_time(self, seconds: float) -> None:
        # With messages under way, this is a freeze, a cut or a slow link.
        self.now += seconds

    @rule()
    def change_configuration(self) -> None:
        self.version += 1
        known = self.config.account_of(KEY) is not None
        self.config = declare(self.version, not known)
        self.changed_at = self.now

    @rule()
    def copy_store(self) -> None:
        self.copy = (self.config, self.changed_at)

    @rule()
    def restore_store(self) -> None:
        self.epoch += 1
        self.config, self.changed_at = self.copy

    @rule(vm=VMS, seconds=SECONDS)
    def call_store(self, vm: int, seconds: float) -> None:
        sent_at = self.vms[vm].clock(self.now)
        self.now += seconds
        self.vms[vm].answer = (sent_at, self.told())

    @rule(vm=VMS)
    def deliver_answer(self, vm: int) -> None:
        one = self.vms[vm]
        if one.answer is None:
            return
        (sent_at, told), one.answer = one.answer, None
        if told.epoch >= max(one.epoch, one.proven.clock.epoch or 0):
            one.proven.exchanged(sent_at, told.store_seconds, told.epoch)
            one.apply(told, self.now)

    @rule(vm=VMS)
    def send_heartbeat(self, vm: int) -> None:
        one = self.vms[vm]
        proven = one.proven.store_seconds
        if one.config and proven and one.proven.clock.epoch == one.epoch:
            self.streams[vm].append(Told(one.epoch, one.config, proven))

    @rule(vm=VMS)
    def deliver_heartbeat(self, vm: int) -> None:
        if self.streams[vm]:
            self.vms[1 - vm].apply(self.streams[vm].popleft(), self.now)

    @rule(vm=VMS)
    def restart(self, vm: int) -> None:
        self.vms[vm] = Vm(DRIFTS[vm])
        for stream in self.streams:
            stream.clear()

    @rule(vm=VMS, silent_seconds=st.floats(0.0, 1.3))
    def serve_calmly(self, vm: int, silent_seconds: float) -> None:
        self.call_store(vm, 0.1)
        self.deliver_answer(vm)
        self.send_heartbeat(vm)
        self.now += silent_seconds
        assert self.vms[vm].serves(self.now)

    @invariant()
    def no_withdrawn_key_is_accepted(self) -> None:
        if self.config.account_of(KEY):
            return
        for vm in self.vms:
            # A restored store may have lost a newer version with the key.
            if vm.config and vm.config.version <= self.config.version:
                assert not vm.accepts(self.changed_at + BOUND)


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=50, deadline=None
)


def test_clock_that_was_set_back_proves_nothing_older() -> None:
    # A store that restarts in the same epoch would make old proofs look new.
    proven = ProvenTime()
    proven.exchanged(10.0, 900.0, 1)
    assert proven.prove(900.0, 1, 10.1)
    proven.exchanged(12.0, 3.0, 1)
    assert not proven.prove(901.0, 1, 12.1)
    assert proven.local_seconds == 10.0
    assert proven.prove(3.0, 1, 12.1)
    assert proven.local_seconds == 12.0


def test_peers_are_believed_only_in_the_epoch_and_with_the_drift() -> None:
    # A delayed heartbeat would look younger on a slow clock or after an epoch.
    proven = ProvenTime()
    proven.exchanged(0.0, 0.0, 1)
    assert not proven.prove(1.0, 2, 5.0)
    assert proven.prove(2_000.0, 1, 2_005.0)
    # The store's clock gains 500 ppm on the local one.
    assert proven.local_seconds <= 2_000.0 / (1 + 500e-6) + 0.001
