"""Guards against a key that is accepted too long after its withdrawal.

The model holds a store, VMs with clocks of their own speed, and messages that
are delayed, dropped or delivered after a freeze or a restoration of the store.
"""

import collections
import math

import attrs
import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from jackdawcrank_policy.accounts import (
    Identified,
    ProvenTime,
    UnknownKey,
    Unproven,
    identify,
)
from jackdawcrank_policy.catalog import (
    AccountSpec,
    Consistency,
    DatabaseSpec,
    Declarations,
)

BOUND = 5.0
KEY = b"k" * 32
DRIFTS = (-250e-6, 0.0, 250e-6)
DATABASE = DatabaseSpec("d", "g", Consistency.PRIMARY, None, 1.0, 1.0, 0)
VMS = st.integers(0, len(DRIFTS) - 1)


def declare(version: int, known: bool) -> Declarations:
    keys = frozenset({KEY} if known else ())
    account = AccountSpec("a", keys, 1.0, 1.0)
    return Declarations(version, {"d": DATABASE}, {}, 3.0, {"a": account})


@attrs.frozen
class Told:
    """What the store or a VM told: its declarations as of a store time."""

    epoch: int
    config: Declarations
    store_seconds: float


@attrs.define
class Vm:
    drift: float
    proven: ProvenTime = attrs.Factory(ProvenTime)
    epoch: int = 0
    config: Declarations | None = None
    sent_at: float | None = None
    answer: Told | None = None

    def clock(self, now: float) -> float:
        return 1_000.0 + now * (1 + self.drift)

    def apply(self, told: Told, now: float) -> None:
        if told.epoch < self.epoch:
            return
        self.epoch = told.epoch
        if told.config.supersedes(self.config):
            self.config = told.config
        self.proven.prove(told.store_seconds, told.epoch, self.clock(now))

    def identify(self, now: float) -> object:
        if self.config is None:
            return Unproven()
        age = self.clock(now) - self.proven.local_seconds
        return identify(self.config, "d", KEY, age, BOUND)


class Fleet(RuleBasedStateMachine):
    @initialize(drift=st.sampled_from(DRIFTS))
    def begin(self, drift: float) -> None:
        self.now, self.drift, self.epoch, self.version = 0.0, drift, 1, 1
        self.config, self.changed_at = declare(1, True), 0.0
        self.copy = (self.config, self.changed_at)
        self.vms = [Vm(one) for one in DRIFTS]
        self.streams: dict[tuple[int, int], collections.deque[Told]] = (
            collections.defaultdict(collections.deque)
        )

    def told(self) -> Told:
        clock = 77.0 * self.epoch + self.now * (1 + self.drift)
        # The store tells whole milliseconds.
        return Told(self.epoch, self.config, math.floor(clock * 1e3) / 1e3)

    @rule(seconds=st.floats(0.001, 3.0) | st.sampled_from([5.0, 600.0]))
    def pass_time(self, seconds: float) -> None:
        # With messages under way, this is a freeze, a cut or a slow link.
        self.now += seconds
        self.check()

    @rule()
    def change_configuration(self) -> None:
        self.version += 1
        known = bool(self.config.account_of(KEY))
        self.config = declare(self.version, not known)
        self.changed_at = self.now

    @rule()
    def copy_store(self) -> None:
        self.copy = (self.config, self.changed_at)

    @rule()
    def restore_store(self) -> None:
        self.epoch += 1
        self.config, self.changed_at = self.copy

    @rule(vm=VMS)
    def call_store(self, vm: int) -> None:
        one = self.vms[vm]
        one.sent_at, one.answer = one.clock(self.now), None

    @rule(vm=VMS)
    def answer_call(self, vm: int) -> None:
        self.vms[vm].answer = self.told()

    @rule(vm=VMS)
    def deliver_answer(self, vm: int) -> None:
        one = self.vms[vm]
        if one.sent_at is None or one.answer is None:
            return
        sent_at, one.sent_at = one.sent_at, None
        if one.answer.epoch >= max(one.epoch, one.proven.clock.epoch or 0):
            one.proven.exchanged(
                sent_at, one.answer.store_seconds, one.answer.epoch
            )
            one.apply(one.answer, self.now)
        self.check()

    @rule(sender=VMS, receiver=VMS)
    def send_heartbeat(self, sender: int, receiver: int) -> None:
        one = self.vms[sender]
        if one.config and one.proven.store_seconds is not None:
            told = Told(one.epoch, one.config, one.proven.store_seconds)
            if one.proven.clock.epoch == one.epoch:
                self.streams[sender, receiver].append(told)

    @rule(sender=VMS, receiver=VMS)
    def deliver_heartbeat(self, sender: int, receiver: int) -> None:
        if stream := self.streams[sender, receiver]:
            self.vms[receiver].apply(stream.popleft(), self.now)
        self.check()

    @rule(vm=VMS)
    def restart(self, vm: int) -> None:
        self.vms[vm] = Vm(self.vms[vm].drift)
        for pair in [one for one in self.streams if vm in one]:
            del self.streams[pair]

    @rule(vm=VMS, silent_seconds=st.floats(0.0, 1.3))
    def serve_calmly(self, vm: int, silent_seconds: float) -> None:
        self.call_store(vm)
        self.now += 0.05
        self.answer_call(vm)
        self.now += 0.05
        self.deliver_answer(vm)
        self.now += silent_seconds
        assert not isinstance(self.vms[vm].identify(self.now), Unproven)

    def check(self) -> None:
        if self.config.account_of(KEY) or self.now <= self.changed_at + BOUND:
            return
        for vm in self.vms:
            if vm.config and vm.config.version > self.config.version:
                # The store has lost this version, which may know the key.
                continue
            assert not isinstance(vm.identify(self.now), Identified)


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=50, deadline=None
)


def test_unknown_key_is_rejected_only_with_proven_age() -> None:
    # Newer declarations may know a key that is unknown here.
    for age, answer in ((1.0, UnknownKey()), (4.8, Unproven())):
        assert identify(declare(1, False), "d", KEY, age, BOUND) == answer


def test_age_does_not_matter_without_need_of_a_proof() -> None:
    # Deployments without a bound or accounts must serve through any outage.
    known = identify(declare(1, True), "d", KEY, math.inf, None)
    assert isinstance(known, Identified)
    none = attrs.evolve(declare(1, True), accounts=None)
    open_to_all = attrs.evolve(
        declare(1, True),
        databases={"d": attrs.evolve(DATABASE, anonymous=True)},
    )
    for declarations in (none, open_to_all):
        found = identify(declarations, "d", b"", math.inf, BOUND)
        assert found == Identified(None)


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
