"""In-memory group with failing coordinators and a disconnected writer."""

import collections
import enum
from collections.abc import Callable

import attrs
import pytest

from jackdawcrank_policy.acknowledgement import (
    NeedConfirmation,
    Quorum,
    acknowledge,
)
from jackdawcrank_policy.lease import LeaseTable
from jackdawcrank_policy.promotion import (
    Abandoned,
    Action,
    Announced,
    AnnounceFailed,
    AnnouncePrimary,
    AskGiveUp,
    ClaimConflict,
    Claimed,
    ClaimTerm,
    Event,
    Fenced,
    FenceRefused,
    FenceServer,
    Finished,
    LeaseGivenUp,
    OpenConflict,
    Opened,
    OpenTerm,
    Probed,
    ProbeServer,
    Promotion,
    PromotionCause,
    PromotionPlan,
    SetTimer,
    StoreLost,
    TimerFired,
    Unreachable,
)
from jackdawcrank_policy.values import (
    Branch,
    Done,
    GroupPhase,
    GroupRow,
    ServerRole,
    TermStart,
)
from jackdawcrank_standins.history import (
    CallerOutcome,
    CallerRecord,
    History,
    ModelServer,
    TermRecord,
)

GROUP = "ledger"
STEP_SECONDS = 0.01
SERVERS = ("s1", "s2", "s3")


class Fault(enum.Enum):
    """Faults that can affect one action of a coordinator."""

    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"
    PAUSE_BEFORE = "pause_before"
    PAUSE_AFTER = "pause_after"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"


@attrs.define(eq=False)
class ModelGroup:
    """Three servers, the store, and a writer in the old primary's partition.

    The old primary s1 and the writer are disconnected from the coordinators
    and the store. The replica s3 is reachable from both partitions.
    """

    confirm_writes: bool = False
    now: float = 0.0
    row: GroupRow | None = None
    version: int = 1
    history: History = attrs.field(factory=History)
    cut_off: frozenset[str] = frozenset({"s1"})
    writer: LeaseTable = attrs.field(factory=lambda: LeaseTable("vm-cut-off"))
    writer_answers: bool = False
    writes: int = 0
    servers: dict[str, ModelServer] = attrs.field(
        factory=lambda: {name: ModelServer(name) for name in SERVERS}
    )

    def open_first_term(self) -> None:
        for server in self.servers.values():
            server.fence(1)
            server.announce(1, 0, "s1")
        self.row = GroupRow(
            GROUP,
            1,
            GroupPhase.ACTIVE,
            "s1",
            "vm-old",
            ("vm-cut-off",),
            Branch((TermStart(1, 0),)),
        )
        self.history.terms.append(TermRecord(1, 0.0, "s1"))
        self.writer.install(self.row, 1)
        self.writer.renew(0.0, 1)
        for number in range(4):
            self.servers["s1"].commit(f"first{number}")
        self.servers["s3"].pull(self.servers["s1"])
        self.servers["s2"].pull(self.servers["s1"], limit=2)

    def advance_time(self, until: float | None = None) -> None:
        """Advance the clock, replicate, and let the writer write once."""
        self.now = max(self.now + STEP_SECONDS, until or 0.0)
        for name in ("s2", "s3"):
            server = self.servers[name]
            pull_source = self.servers.get(server.primary)
            if pull_source is None or (name == "s2" and "s1" in self.cut_off):
                continue
            server.pull(pull_source)
        self.write()

    def write(self) -> None:
        """Write once on the old primary and record an acknowledged write."""
        self.writes += 1
        write_id = f"w{self.writes}"
        position = self.servers["s1"].commit(write_id)
        if position is None or position.term != 1:
            return
        self.servers["s3"].pull(self.servers["s1"])
        replies: dict[str, int | None] = {}
        while True:
            decision = acknowledge(
                position,
                1,
                self.writer.state(GROUP, 1, self.now),
                Quorum(3),
                self.confirm_writes,
                ("s2", "s3"),
                replies,
            )
            if not isinstance(decision, NeedConfirmation):
                break
            replies["s2"] = None
            replies["s3"] = self.servers["s3"].confirm(position)
        if isinstance(decision, Done):
            self.history.answers.append(
                CallerRecord(
                    write_id,
                    CallerOutcome.DONE,
                    self.now,
                    1,
                    self.confirm_writes,
                )
            )

    def put(self, expected: GroupRow | None, new: GroupRow) -> bool:
        """Compare-and-set the row; a repeated write of it succeeds again."""
        if self.row == new:
            return True
        if self.row != expected:
            return False
        self.version += 1
        self.row = new
        if new.phase is GroupPhase.ACTIVE:
            self.history.terms.append(
                TermRecord(new.term, self.now, new.primary)
            )
        return True

    def finished_history(self) -> History:
        assert self.row is not None
        self.history.final_primary = self.row.primary
        self.history.logs = {
            name: tuple(server.log) for name, server in self.servers.items()
        }
        return self.history

    def active_primaries(self) -> list[str]:
        """Return the servers that accept commits in the newest term."""
        assert self.row is not None
        return [
            server.name
            for server in self.servers.values()
            if server.role is ServerRole.PRIMARY
            and not server.fenced
            and server.term == self.row.term
        ]


@attrs.define(eq=False)
class Coordinator:
    """Drives a promotion action by action and injects a fault into one."""

    vm: str
    group: ModelGroup
    cause: PromotionCause = PromotionCause.FAILURE
    target: str | None = None
    fault: Fault | None = None
    fault_at: int = -1
    actions: collections.deque[Action] = attrs.field(factory=collections.deque)
    timers: dict[str, float] = attrs.field(factory=dict)
    seen_actions: set[tuple[type, str]] = attrs.field(factory=set)
    stopped: bool = False
    pending_events: list[Event] = attrs.field(factory=list)
    end: Finished | Abandoned | None = None
    promotion: Promotion = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        plan = PromotionPlan(
            group=GROUP,
            vm=self.vm,
            cause=self.cause,
            expected=self.group.row,
            servers=SERVERS,
            writers=(self.vm,),
            target=self.target,
        )
        self.promotion = Promotion(plan)
        self.actions.extend(self.promotion.start(self.group.now))

    def run(self) -> None:
        """Execute steps until the promotion ends or the fault stops it."""
        while self.end is None and not self.stopped:
            self.step()

    def resume(self) -> None:
        """Continue after a pause with the events that arrived meanwhile."""
        self.stopped = False
        for event in self.pending_events:
            self.deliver_event(event)
        self.run()

    def step(self) -> None:
        """Execute the next action, or fire the next timer if there is none."""
        if self.actions:
            self.execute_action(self.actions.popleft())
            return
        if not self.timers:
            self.stopped = True
            return
        timer = min(self.timers, key=lambda name: self.timers[name])
        self.group.advance_time(self.timers.pop(timer))
        self.deliver_event(TimerFired(timer))

    def execute_action(self, action: Action) -> None:
        if isinstance(action, Finished | Abandoned):
            self.end = action
            return
        if isinstance(action, SetTimer):
            self.timers[action.timer] = action.at
            return
        fault_due = self.is_first_of_its_kind(action) and (
            len(self.seen_actions) - 1 == self.fault_at
        )
        if fault_due and self.fault in (Fault.CRASH_BEFORE, Fault.PAUSE_BEFORE):
            self.actions.appendleft(action)
            self.stopped = True
            return
        if fault_due and self.fault is Fault.LOST_REQUEST:
            self.deliver_event(self.lost_answer_event(action))
            return
        event = self.perform(action)
        self.group.advance_time()
        if fault_due and self.fault in (Fault.CRASH_AFTER, Fault.PAUSE_AFTER):
            self.pending_events.append(event)
            self.stopped = True
        elif fault_due and self.fault is Fault.LOST_ANSWER:
            self.deliver_event(self.lost_answer_event(action))
        else:
            self.deliver_event(event)

    def is_first_of_its_kind(self, action: Action) -> bool:
        """Return whether no earlier action had this type and subject."""
        subject = getattr(action, "server", getattr(action, "vm", ""))
        kind = (type(action), subject)
        first = kind not in self.seen_actions
        self.seen_actions.add(kind)
        return first

    def deliver_event(self, event: Event | None) -> None:
        if event is not None:
            self.actions.extend(self.promotion.on(event, self.group.now))

    def lost_answer_event(self, action: Action) -> Event | None:
        match action:
            case ClaimTerm() | OpenTerm():
                return StoreLost()
            case FenceServer() | ProbeServer():
                return Unreachable(action.server)
            case AnnouncePrimary():
                return AnnounceFailed(action.server)
        return None

    def perform(self, action: Action) -> Event | None:
        group = self.group
        match action:
            case ClaimTerm(expected, row):
                if group.put(expected, row):
                    return Claimed(row)
                return ClaimConflict(group.row)
            case OpenTerm(expected, row):
                if group.put(expected, row):
                    return Opened(row)
                return OpenConflict(group.row)
            case FenceServer(name, term):
                server = group.servers[name]
                if name in group.cut_off:
                    return Unreachable(name)
                if not server.fence(term):
                    return FenceRefused(name)
                return Fenced(server.report())
            case ProbeServer(name):
                if name in group.cut_off:
                    return Unreachable(name)
                return Probed(group.servers[name].report())
            case AskGiveUp(vm, term):
                if not group.writer_answers:
                    return None
                group.writer.give_up(GROUP, term - 1)
                return LeaseGivenUp(vm)
            case AnnouncePrimary(name, term, offset, primary):
                if name in group.cut_off:
                    return AnnounceFailed(name)
                if group.servers[name].announce(term, offset, primary):
                    return Announced(name)
                return AnnounceFailed(name)
        raise AssertionError(action)


@pytest.fixture
def make_group() -> Callable[..., ModelGroup]:
    def make(confirm_writes: bool = False) -> ModelGroup:
        group = ModelGroup(confirm_writes)
        group.open_first_term()
        return group

    return make


@pytest.fixture
def coordinate() -> Callable[..., Coordinator]:
    return Coordinator


@pytest.fixture(params=list(Fault), ids=lambda fault: str(fault.value))
def fault(request: pytest.FixtureRequest) -> Fault:
    assert isinstance(request.param, Fault)
    return request.param


@pytest.fixture(params=[Fault.LOST_REQUEST, Fault.LOST_ANSWER])
def lost(request: pytest.FixtureRequest) -> Fault:
    assert isinstance(request.param, Fault)
    return request.param
