"""The state from which one proxy routes a group's reads."""

import random
from collections.abc import Iterable, Mapping

import attrs

from jackdawcrank_policy.freshness import Evidence
from jackdawcrank_policy.routing.candidate import Candidate
from jackdawcrank_policy.routing.choices import ReadChoice
from jackdawcrank_policy.routing.choose_read import choose_read
from jackdawcrank_policy.routing.read_request import ReadRequest
from jackdawcrank_policy.routing.server_load import ServerLoad
from jackdawcrank_policy.values import ServerSpec


@attrs.define
class RoutingTable:
    """The servers of one group, with their evidence and load.

    Attributes:
      evidence: What is proven about the servers' positions.
      primary: The name of the open term's primary; empty if there is none.
      specs: The declared servers by name.
      loads: The load of each server by name.
    """

    evidence: Evidence = attrs.Factory(Evidence)
    primary: str = ""
    specs: dict[str, ServerSpec] = attrs.Factory(dict)
    loads: dict[str, ServerLoad] = attrs.Factory(dict)

    def set_servers(
        self,
        specs: Iterable[ServerSpec],
        slots: int,
        latencies: Mapping[str, float],
    ) -> None:
        """Replace the declared servers and keep the load of known ones.

        Args:
          specs: The group's servers.
          slots: How many statements one server runs concurrently for this
            proxy.
          latencies: The network round-trip time to each server in seconds, by
            name.
        """
        self.specs = {spec.name: spec for spec in specs}
        for name in [*self.evidence.servers]:
            if name not in self.specs:
                self.evidence.forget(name)
        known = self.loads
        self.loads = {
            name: known.get(name) or ServerLoad() for name in self.specs
        }
        for name, load in self.loads.items():
            load.slots = slots
            load.latency = latencies.get(name, 0.0)

    def candidates(self, request: ReadRequest, now: float) -> list[Candidate]:
        """Return the group's servers as candidates for a read."""
        return [self.candidate(name, request, now) for name in self.specs]

    def candidate(
        self, name: str, request: ReadRequest, now: float
    ) -> Candidate:
        """Return one server as a candidate for a read."""
        load = self.loads[name]
        evidence = self.evidence
        return Candidate(
            server=name,
            primary=name == self.primary,
            state=self.specs[name].state,
            position=evidence.position(name),
            complete_as_of=evidence.complete_as_of(name),
            replication_lag=evidence.replication_lag(name),
            catch_up_seconds=self.catch_up_seconds(name, request, now),
            expected_response_time=load.expected_response_time(now),
            failing=load.failing(now),
        )

    def catch_up_seconds(
        self, name: str, request: ReadRequest, now: float
    ) -> float | None:
        """Estimate the seconds until a server reaches the target position."""
        target = request.target()
        if target is None:
            return None
        return self.evidence.catch_up_seconds(name, target, now)

    def choose(
        self, request: ReadRequest, now: float, rng: random.Random
    ) -> ReadChoice:
        """Return the routing decision for a read.

        Args:
          request: The read's consistency requirements.
          now: The current time in seconds of the monotonic clock.
          rng: The source of randomness that breaks near ties.
        """
        candidates = self.candidates(request, now)
        return choose_read(request, candidates, self.evidence.branch, now, rng)
