"""Random walks over a small group that check the session guarantees."""

import itertools
import random

import attrs
import hypothesis
import hypothesis.strategies as st

from jackdawcrank_policy.freshness import answer_is_valid
from jackdawcrank_policy.routing import (
    ReadRequest,
    Refuse,
    RouteToPrimary,
    RouteToReplica,
    RoutingTable,
    SessionReads,
)
from jackdawcrank_policy.tokens import SessionToken, TokenSigner
from jackdawcrank_policy.values import (
    Branch,
    NotRunReason,
    Position,
    ServerReport,
    ServerRole,
    ServerSpec,
    TermStart,
)

GROUP = "ledger"
LEASE_SECONDS = 3.0
WALK_STEPS = 3000
SIGNER = TokenSigner((b"k" * 16,))


@attrs.frozen
class Entry:
    term: int
    number: int


@attrs.define
class Server:
    name: str
    log: list[Entry] = attrs.Factory(list)
    fence: int = 1
    upstream: str = ""
    is_primary: bool = False
    alive: bool = True

    def position(self) -> Position:
        term = self.log[-1].term if self.log else 0
        return Position(term, len(self.log))

    def report(self) -> ServerReport:
        role = ServerRole.PRIMARY if self.is_primary else ServerRole.REPLICA
        return ServerReport(self.name, self.fence, role, self.position(), True)


@attrs.define
class Home:
    name: str
    table: RoutingTable
    lease_until: float = 0.0
    cut_off: bool = False


@attrs.define
class Probe:
    home: Home
    server: Server
    sent_at: float
    report: ServerReport | None = None


@attrs.define
class Read:
    home: Home
    server: Server
    choice: RouteToReplica | RouteToPrimary
    request: ReadRequest
    branch: Branch
    seen: frozenset[Entry] | None = None
    answered_at: float = 0.0


@attrs.define
class Session:
    token: str = SIGNER.sign(SessionToken())
    reads: SessionReads = attrs.Factory(SessionReads)
    seen: set[Entry] = attrs.Factory(set)
    running: Read | None = None
    home: int = 0

    def decoded(self) -> SessionToken:
        token = SIGNER.verify(self.token)
        assert isinstance(token, SessionToken)
        return token

    def advance(self, position: Position, branch: Branch) -> None:
        token = self.decoded().advanced(GROUP, position, branch)
        self.token = SIGNER.sign(token)


class Walk:
    """One group with three servers, three homes and four sessions."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 10.0
        self.numbers = itertools.count()
        self.branch = Branch((TermStart(1, 0),))
        self.primary = "a"
        self.preparing = 0
        self.fenced: set[str] = set()
        self.servers = {n: Server(n, upstream="a") for n in "abc"}
        self.servers["a"].is_primary = True
        self.homes = [self.new_home() for _ in range(3)]
        self.sessions = [Session() for _ in range(4)]
        self.probes: list[Probe] = []
        self.acknowledged: list[tuple[float, Entry]] = []
        self.replica_answers = 0
        self.losses_reported = 0

    def new_home(self) -> Home:
        home = Home(f"h{next(self.numbers)}", RoutingTable())
        specs = [ServerSpec(n, GROUP, "127.0.0.1", 1) for n in self.servers]
        home.table.set_servers(specs, 5, {})
        return home

    def any_server(self) -> Server:
        return self.rng.choice([*self.servers.values()])

    def tick(self) -> None:
        self.now += self.rng.expovariate(20.0)

    def renew(self) -> None:
        home = self.rng.choice(self.homes)
        if not self.preparing and not home.cut_off:
            home.table.evidence.begin_term(self.branch)
            home.table.primary = self.primary
            home.lease_until = self.now + LEASE_SECONDS
            home.table.evidence.hold_term(home.lease_until)

    def restart_home(self) -> None:
        self.homes[self.rng.randrange(3)] = self.new_home()

    def cut_off(self) -> None:
        home = self.rng.choice(self.homes)
        home.cut_off = not home.cut_off

    def crash_or_restart(self) -> None:
        dead = [s for s in self.servers.values() if not s.alive]
        if dead:
            dead[0].alive = True
        elif self.rng.random() < 0.2:
            self.any_server().alive = False

    def replicate(self) -> None:
        server = self.any_server()
        upstream = self.servers.get(server.upstream)
        if upstream is None or server.is_primary or not upstream.alive:
            return
        if server.alive and server.log == upstream.log[: len(server.log)]:
            end = len(server.log) + self.rng.randint(1, 4)
            server.log = upstream.log[:end]

    def fence(self) -> None:
        server = self.any_server()
        begins = not self.preparing and self.rng.random() < 0.1
        if server.alive and (self.preparing or begins):
            self.preparing = self.preparing or self.branch.term + 1
            server.fence, server.upstream = self.preparing, ""
            self.fenced.add(server.name)

    def open_term(self) -> None:
        fenced = [self.servers[name] for name in sorted(self.fenced)]
        eligible = [s for s in fenced if self.branch.contains(s.position())]
        last = self.branch.starts[-1].offset
        eligible = [s for s in eligible if len(s.log) >= last]
        if len(fenced) < 2 or not eligible:
            return
        self.now = max(self.now, *(h.lease_until + 0.01 for h in self.homes))
        chosen = max(eligible, key=lambda server: len(server.log))
        start = TermStart(self.preparing, len(chosen.log))
        self.branch = self.branch.extended(start)
        self.primary, self.preparing = chosen.name, 0
        self.fenced = set()
        for server in self.servers.values():
            server.is_primary = server.is_primary and server.fence < start.term
        chosen.is_primary = True

    def repoint(self) -> None:
        server = self.any_server()
        if self.preparing or not server.alive or server.name == self.primary:
            return
        primary = self.servers[self.primary]
        same = zip(server.log, primary.log, strict=False)
        kept = itertools.takewhile(lambda pair: pair[0] == pair[1], same)
        server.log = [entry for entry, _ in kept]
        server.fence, server.upstream = self.branch.term, self.primary
        server.is_primary = False

    def send_probe(self) -> None:
        home = self.rng.choice(self.homes)
        self.probes.append(Probe(home, self.any_server(), self.now))

    def run_probe(self) -> None:
        waiting = [p for p in self.probes if p.report is None]
        if waiting:
            probe = self.rng.choice(waiting)
            if probe.server.alive:
                probe.report = probe.server.report()
            else:
                self.probes.remove(probe)

    def deliver_probe(self) -> None:
        answered = [p for p in self.probes if p.report is not None]
        if answered:
            probe = self.rng.choice(answered)
            self.probes.remove(probe)
            assert probe.report is not None
            evidence = probe.home.table.evidence
            evidence.observe(probe.report, probe.sent_at, self.now)

    def write(self) -> None:
        session = self.rng.choice(self.sessions)
        home = self.rng.choice(self.homes)
        server = self.servers.get(home.table.primary)
        term = home.table.evidence.branch.term
        if server is None or not server.alive or server.fence != term:
            return
        entry = Entry(term, next(self.numbers))
        server.log.append(entry)
        if self.now > home.lease_until or session.running:
            return
        position = server.position()
        session.advance(position, home.table.evidence.branch)
        session.seen.add(entry)
        self.acknowledged.append((self.now, entry))
        home.table.evidence.observe_write(position, self.now)

    def start_read(self) -> None:
        session = self.rng.choice(self.sessions)
        if session.running is not None:
            return
        if self.rng.random() < 0.1:
            session.home = self.rng.randrange(3)
        home = self.homes[session.home]
        evidence = home.table.evidence
        request = ReadRequest(
            GROUP,
            self.now + 5,
            session.decoded().position(GROUP),
            self.rng.choice((None, 100, 1000, 5000)),
            session.reads.constraint(GROUP, evidence, home.name, self.now),
        )
        choice = home.table.choose(request, self.now, self.rng)
        if isinstance(choice, Refuse):
            self.refused(session, choice)
        if not isinstance(choice, RouteToReplica | RouteToPrimary):
            return
        to_primary = isinstance(choice, RouteToPrimary)
        name = home.table.primary if to_primary else choice.server
        server, branch = self.servers[name], evidence.branch
        session.running = Read(home, server, choice, request, branch)

    def refused(self, session: Session, choice: Refuse) -> None:
        if choice.outcome.reason is NotRunReason.WRITE_LOST:
            self.losses_reported += 1
            session.token = SIGNER.sign(session.decoded().without(GROUP))
            session.reads.forget(GROUP)
            session.seen.clear()

    def run_read(self) -> None:
        read = self.rng.choice(self.sessions).running
        if read is not None and read.seen is None and read.server.alive:
            read.seen = frozenset(read.server.log)
            read.answered_at = self.now

    def deliver_read(self) -> None:
        session = self.rng.choice(self.sessions)
        read = session.running
        if read is None:
            return
        if read.seen is not None and self.is_valid(read):
            self.answer(session, read, read.seen)
            session.running = None
        elif self.rng.random() < 0.3:
            session.running = None

    def is_valid(self, read: Read) -> bool:
        evidence = read.home.table.evidence
        if isinstance(read.choice, RouteToPrimary):
            held = read.answered_at <= read.home.lease_until
            return held and evidence.branch == read.branch
        return answer_is_valid(
            evidence,
            read.server.name,
            read.branch,
            read.request.target(),
            read.answered_at,
        ) and read.choice.fresh_at(read.answered_at, read.request.max_age_ms)

    def answer(
        self, session: Session, read: Read, seen: frozenset[Entry]
    ) -> None:
        assert session.seen <= seen
        self.check_age(read, seen)
        self.replica_answers += isinstance(read.choice, RouteToReplica)
        session.seen |= seen
        term = read.branch.term
        session.reads.record(
            GROUP, read.server.name, read.answered_at, term, read.home.name
        )

    def check_age(self, read: Read, seen: frozenset[Entry]) -> None:
        max_age_ms = read.request.max_age_ms
        if max_age_ms is None:
            return
        horizon = read.answered_at - max_age_ms / 1000
        kept = {*self.servers[self.primary].log}
        for acknowledged_at, entry in self.acknowledged:
            if acknowledged_at <= horizon and entry in kept:
                assert entry in seen

    def move_session(self) -> None:
        session = self.rng.choice(self.sessions)
        home = self.rng.choice(self.homes)
        evidence = home.table.evidence
        if session.running is not None or GROUP not in session.reads.by_group:
            return
        constraint = session.reads.constraint(
            GROUP, evidence, home.name, self.now
        )
        if constraint is None or constraint.bound is None:
            return
        branch = evidence.branch
        judged = session.decoded().is_comparable(GROUP, branch)
        if judged and constraint.bound.term <= branch.term:
            session.advance(constraint.bound, branch)
            session.reads.forget(GROUP)


WEIGHTS = {
    "tick": 12,
    "renew": 10,
    "restart_home": 0.2,
    "cut_off": 0.4,
    "crash_or_restart": 2,
    "replicate": 25,
    "fence": 3,
    "open_term": 3,
    "repoint": 5,
    "send_probe": 60,
    "run_probe": 80,
    "deliver_probe": 80,
    "write": 4,
    "start_read": 15,
    "run_read": 40,
    "deliver_read": 40,
    "move_session": 3,
}


def walk(seed: int) -> Walk:
    group = Walk(seed)
    steps = group.rng.choices([*WEIGHTS], [*WEIGHTS.values()], k=WALK_STEPS)
    for step in steps:
        getattr(group, step)()
    return group


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(seed=st.integers(0, 2**32))
def test_sessions_read_their_writes_and_read_monotonically(seed: int) -> None:
    walk(seed)


def test_walks_cover_replica_reads_new_terms_and_lost_writes() -> None:
    walks = [walk(seed) for seed in range(20)]
    assert sum(w.replica_answers for w in walks) > 300
    assert sum(w.branch.term for w in walks) > 40
    assert sum(w.losses_reported for w in walks) > 5
