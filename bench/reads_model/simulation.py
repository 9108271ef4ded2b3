"""Sessions, proxies and servers on one event heap in virtual time."""

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable

import attrs

from jackdawcrank_policy.routing import (
    ReadChoice,
    ReadRequest,
    RouteToPrimary,
    RouteToReplica,
    RoutingTable,
    WaitForReplica,
)
from jackdawcrank_policy.values import Branch, Position, ServerSpec, TermStart
from reads_model.deployment import Deployment
from reads_model.policies import Policy, choose
from reads_model.replication import Lag, LagShape, Log
from reads_model.server import TERM, Server
from reads_model.workload import (
    KINDS,
    MOVE_PROBABILITY,
    OVERVIEW_SECONDS,
    READ_SECONDS,
    STATED_AGES_MS,
    WRITE_SECONDS,
    Session,
    SessionKind,
    Tally,
)

GROUP = "ledger"
REGIONS = 3
CLIENT_SECONDS = 0.001
DEADLINE_SECONDS = 5.0
SESSIONS_FROM_SECONDS = 6.0
SESSIONS_UNTIL_SECONDS = 11.0
WARM_UP_SECONDS = 16.0
DEMAND_PROBE_SECONDS = 0.05


@attrs.frozen
class Scenario:
    """One run.

    Attributes:
      deployment: The sizes and latencies.
      policy: The way to send reads.
      shape: How the replicas' lag goes.
      lag: The lag in seconds.
      seconds: How long the run is, the warm-up included.
      probe_interval: Seconds between two probes of a server by a home.
      demand_probes: Whether reads cause probes between those.
    """

    deployment: Deployment
    policy: Policy
    shape: LagShape
    lag: float
    seconds: float = 46.0
    probe_interval: float = 1.0
    demand_probes: bool = True


@attrs.define
class Attempt:
    """A read on its way.

    Attributes:
      session: Whose read it is.
      request: What it asks for.
      began_at: When it came to the proxy.
      service: Seconds that it takes on a server.
      eligible: Whether a replica had what it needs when it came.
    """

    session: Session
    request: ReadRequest
    began_at: float
    service: float
    eligible: bool


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(f"{seed} {scenario}")
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.log = Log()
        self.servers = self.new_servers()
        self.homes = [self.new_home(region) for region in range(REGIONS)]
        self.probed: dict[tuple[int, str], float] = {}
        self.probes = 0
        self.tallies = {kind.name: Tally() for kind in KINDS}

    def new_servers(self) -> dict[str, Server]:
        """Return a primary and two replicas, one in each region."""
        slots = self.scenario.deployment.slots
        servers = {}
        for region, name in enumerate("abc"):
            lag = None
            if region:
                shape, seconds = self.scenario.shape, self.scenario.lag
                lag = Lag(shape, seconds, region - 1)
            server = Server(name, region, self.log, lag, [0.0] * slots)
            servers[name] = server
        return servers

    def new_home(self, region: int) -> RoutingTable:
        """Return a home proxy's table that holds the term throughout."""
        deployment = self.scenario.deployment
        table = RoutingTable(primary="a")
        table.evidence.begin_term(Branch((TermStart(TERM, 0),)))
        table.evidence.hold_term(math.inf)
        specs = [ServerSpec(n, GROUP, "127.0.0.1", 1) for n in self.servers]
        latencies = {
            name: 2 * deployment.one_way(region, server.region)
            for name, server in self.servers.items()
        }
        table.set_servers(specs, deployment.slots, latencies)
        return table

    def run(self) -> "Simulation":
        """Run the scenario to its end."""
        for region, name in itertools.product(range(REGIONS), self.servers):
            start = self.rng.uniform(0.0, self.scenario.probe_interval)
            self.after(start, functools.partial(self.probe_on, region, name))
        for kind in KINDS:
            for _ in range(kind.count):
                self.start_session(kind)
        while self.events and self.events[0][0] < self.scenario.seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self

    def start_session(self, kind: SessionKind) -> None:
        """Start a session, with a write unless it states ages."""
        session = Session(kind, self.rng.randrange(REGIONS))
        start = self.rng.uniform(SESSIONS_FROM_SECONDS, SESSIONS_UNTIL_SECONDS)
        if kind.stated_age:
            session.max_age_ms = self.rng.choice(STATED_AGES_MS)
            self.after(start, lambda: self.read(session))
        else:
            self.after(start, lambda: self.write(session))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        event = (self.now + delay, next(self.numbers), action)
        heapq.heappush(self.events, event)

    def one_way(self, region: int, server: Server) -> float:
        """Return the seconds from a region's home to a server."""
        return self.scenario.deployment.one_way(region, server.region)

    def probe_on(self, region: int, name: str) -> None:
        """Probe a server now and at every interval."""
        self.probe(region, name)
        again = functools.partial(self.probe_on, region, name)
        self.after(self.scenario.probe_interval, again)

    def probe_on_demand(self, region: int, name: str) -> None:
        """Probe a server unless that was done a moment ago."""
        last = self.probed.get((region, name), -math.inf)
        wait = last + DEMAND_PROBE_SECONDS - self.now
        if not self.scenario.demand_probes or wait > DEMAND_PROBE_SECONDS:
            return
        self.probed[region, name] = self.now + max(0.0, wait)
        self.after(max(0.0, wait), lambda: self.probe(region, name))

    def probe(self, region: int, name: str) -> None:
        """Ask a server for its position."""
        self.probes += 1
        server, sent_at = self.servers[name], self.now
        way = self.one_way(region, server)

        def answer() -> None:
            report = server.report(self.now)
            evidence = self.homes[region].evidence
            self.after(way, lambda: evidence.observe(report, sent_at, self.now))

        self.after(way, answer)

    def think(self, session: Session) -> None:
        """Start the session's next statement after a pause."""
        pause = self.rng.expovariate(1 / session.kind.think_seconds)
        self.after(pause, lambda: self.next_statement(session))

    def next_statement(self, session: Session) -> None:
        """Start a write or a read, on another proxy now and then."""
        if self.rng.random() < MOVE_PROBABILITY:
            self.move(session)
        if self.rng.random() < session.kind.write_probability:
            self.write(session)
        else:
            self.read(session)

    def move(self, session: Session) -> None:
        """Take the session to another proxy with its token alone."""
        evidence = self.homes[session.region].evidence
        name = f"h{session.region}"
        constraint = session.reads.constraint(GROUP, evidence, name, self.now)
        if constraint is not None:
            shown = self.servers[constraint.server].report(self.now).position
            session.advance(constraint.bound or shown)
        session.reads.forget(GROUP)
        session.region = self.rng.randrange(REGIONS)

    def write(self, session: Session) -> None:
        """Run a write on the primary."""
        primary, region = self.servers["a"], session.region
        sent_at, way = self.now, self.one_way(session.region, primary)

        def commit() -> None:
            position = Position(TERM, self.log.commit(self.now))
            self.after(way, lambda: acknowledge(position))

        def acknowledge(position: Position) -> None:
            self.homes[region].evidence.observe_write(position, sent_at)
            session.advance(position)
            session.seen = max(session.seen, position.offset)
            self.think(session)

        def arrive() -> None:
            _, end = primary.run(self.now, self.service(WRITE_SECONDS))
            self.after(end - self.now, commit)

        self.after(way, arrive)

    def service(self, mean: float) -> float:
        """Return a random time of service."""
        return self.rng.expovariate(1 / mean)

    def read(self, session: Session) -> None:
        """Start a read."""
        max_age_ms = session.max_age_ms
        table = self.homes[session.region]
        name = f"h{session.region}"
        request = ReadRequest(
            GROUP,
            self.now + DEADLINE_SECONDS,
            session.token,
            max_age_ms,
            session.reads.constraint(GROUP, table.evidence, name, self.now),
        )
        mean = OVERVIEW_SECONDS if max_age_ms else READ_SECONDS
        service = self.service(mean)
        eligible = self.eligible(session, max_age_ms)
        attempt = Attempt(session, request, self.now, service, eligible)
        self.choose(attempt)

    def eligible(self, session: Session, max_age_ms: int | None) -> bool:
        """Return whether some replica could answer truly at this moment."""
        needed = session.seen
        if max_age_ms is not None:
            horizon = self.now - max_age_ms / 1000
            needed = max(needed, self.log.offset_at(horizon))
        replicas = (self.servers[name] for name in "bc")
        return any(r.offset(self.now) >= needed for r in replicas)

    def choose(self, attempt: Attempt) -> None:
        """Choose a server for a read and send it there."""
        region = attempt.session.region
        choice = choose(
            self.scenario.policy,
            self.homes[region],
            attempt.request,
            self.now,
            self.rng,
        )
        if not isinstance(choice, RouteToReplica):
            for name in self.servers:
                self.probe_on_demand(region, name)
        self.follow(attempt, choice)

    def follow(self, attempt: Attempt, choice: ReadChoice) -> None:
        """Do what was chosen."""
        if isinstance(choice, WaitForReplica):
            self.wait(attempt, choice)
        elif isinstance(choice, RouteToReplica):
            self.send(attempt, choice, self.servers[choice.server])
        elif isinstance(choice, RouteToPrimary):
            self.send(attempt, choice, self.servers["a"])
        else:
            raise AssertionError(choice)

    def wait(self, attempt: Attempt, choice: WaitForReplica) -> None:
        """Let a replica wait for the token's position."""
        attempt.request = attrs.evolve(attempt.request, may_wait=False)
        if choice.probe:
            self.wait_for_probes(attempt, choice)
            return
        server = self.servers[choice.server]
        region = attempt.session.region
        target = attempt.request.target()
        assert target is not None
        assert server.lag is not None
        way = self.one_way(region, server)
        instant = self.log.instants[target.offset - 1]
        reached_at = server.lag.reaches(instant, self.now + way, choice.until)
        reached = server.lag.horizon(reached_at) >= instant
        sent_at = reached_at

        def answer() -> None:
            if self.scenario.policy is Policy.RANDOM_WITH_WAIT:
                to = (
                    RouteToReplica(choice.server)
                    if reached
                    else RouteToPrimary()
                )
                self.follow(attempt, to)
                return
            if reached:
                report = attrs.evolve(server.report(sent_at), position=target)
                evidence = self.homes[region].evidence
                evidence.observe(report, sent_at, self.now)
            self.choose(attempt)

        self.after(max(0.0, reached_at - self.now) + way, answer)

    def wait_for_probes(self, attempt: Attempt, choice: WaitForReplica) -> None:
        """Probe a replica and the primary, then choose again."""
        region = attempt.session.region
        names = (choice.server, "a")
        for name in names:
            self.probe(region, name)
        ways = [self.one_way(region, self.servers[name]) for name in names]
        self.after(2 * max(ways) + 1e-6, lambda: self.choose(attempt))

    def send(
        self,
        attempt: Attempt,
        choice: RouteToReplica | RouteToPrimary,
        server: Server,
    ) -> None:
        """Run a read on a server."""
        region = attempt.session.region
        load = self.homes[region].loads[server.name]
        way, sent_at = self.one_way(region, server), self.now
        load.start()

        def arrive() -> None:
            start, end = server.run(self.now, attempt.service)
            self.after(start - self.now, lambda: execute(end))

        def execute(end: float) -> None:
            offset = server.offset(self.now)
            self.after(end - self.now + way, lambda: finish(offset))

        def finish(offset: int) -> None:
            load.finish(self.now - sent_at, False, self.now)
            self.answered(attempt, choice, server, offset)

        self.after(way, arrive)

    def answered(
        self,
        attempt: Attempt,
        choice: RouteToReplica | RouteToPrimary,
        server: Server,
        offset: int,
    ) -> None:
        """Judge an answer and give it to the session."""
        session, request = attempt.session, attempt.request
        checked = self.scenario.policy is not Policy.RANDOM_WITH_WAIT
        stale = isinstance(choice, RouteToReplica) and not choice.fresh_at(
            self.now, request.max_age_ms
        )
        if checked and stale:
            self.follow(attempt, RouteToPrimary())
            return
        if self.now > WARM_UP_SECONDS:
            self.count(attempt, isinstance(choice, RouteToReplica), offset)
        session.seen = max(session.seen, offset)
        name = f"h{session.region}"
        session.reads.record(GROUP, server.name, self.now, TERM, name)
        region = session.region
        self.after(0.0, lambda: self.probe_on_demand(region, server.name))
        self.think(session)

    def count(self, attempt: Attempt, replica: bool, offset: int) -> None:
        """Add an answer to the tally."""
        tally = self.tallies[attempt.session.kind.name]
        needed = attempt.session.seen
        if attempt.request.max_age_ms is not None:
            horizon = self.now - attempt.request.max_age_ms / 1000
            needed = max(needed, self.log.offset_at(horizon))
        tally.reads += 1
        tally.eligible += attempt.eligible
        tally.replica += replica
        tally.eligible_replica += replica and attempt.eligible
        tally.violations += offset < needed
        way = CLIENT_SECONDS + self.scenario.deployment.data_center_seconds
        tally.seconds.append(self.now - attempt.began_at + 2 * way)
