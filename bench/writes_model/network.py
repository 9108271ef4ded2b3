"""Latencies, cuts and stopped hosts between the parts of the model."""

import asyncio
import random
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from writes_model.deployment import Deployment

Result = TypeVar("Result")
JITTER_FRACTION = 0.1


@attrs.define
class Network:
    """Carries requests between places.

    Attributes:
      deployment: The latencies.
      rng: The source of jitter.
      regions: The region of each place.
      down: Places whose host is gone; they answer nothing.
      refusing: Places whose process is gone; their host refuses.
      sides: The side of a cut that each place is on; others are on side 0.
      resumed: For each paused place, what it goes on with.
      service_seconds: What a request at a place takes beside the latency.
    """

    deployment: Deployment
    rng: random.Random
    regions: dict[str, int] = attrs.field(factory=dict)
    down: set[str] = attrs.field(factory=set)
    refusing: set[str] = attrs.field(factory=set)
    sides: dict[str, int] = attrs.field(factory=dict)
    resumed: dict[str, list[Callable[[], None]]] = attrs.field(factory=dict)
    service_seconds: dict[str, Callable[[], float]] = attrs.field(factory=dict)

    def latency(self, source: str, target: str) -> float:
        """Return one message's latency in seconds."""
        same = self.regions[source] == self.regions[target]
        base_ms = (
            self.deployment.data_center_ms
            if same
            else self.deployment.region_ms
        )
        jitter = self.rng.expovariate(1.0) * JITTER_FRACTION
        return base_ms * (1 + jitter) / 1000

    def reaches(self, source: str, target: str) -> bool:
        """Return whether a message gets through."""
        if source in self.down or target in self.down:
            return False
        return self.sides.get(source, 0) == self.sides.get(target, 0)

    def pause(self, place: str) -> None:
        """Stop a place's process without closing its connections."""
        self.resumed[place] = []

    def resume(self, place: str) -> None:
        """Let a paused place go on with what it received."""
        for go_on in self.resumed.pop(place):
            go_on()

    async def request(
        self,
        source: str,
        target: str,
        act: Callable[[], Result],
        timeout_seconds: float,
    ) -> Result | None:
        """Have a place act and return its answer, or None without one.

        A request that got through is carried out even if its sender has
        given up on the answer.
        """
        loop = asyncio.get_running_loop()
        carried = Carried(self, source, target, act, loop.create_future())
        limit = loop.call_later(timeout_seconds, carried.give_up)
        if self.reaches(source, target):
            loop.call_later(self.latency(source, target), carried.arrive)
        try:
            return await carried.answer
        finally:
            limit.cancel()


@attrs.define(eq=False)
class Carried(Generic[Result]):
    """One request on its way.

    Attributes:
      network: The network.
      source: Where it comes from.
      target: Where it goes.
      act: What the target does.
      answer: Its answer; None once the sender has given up.
    """

    network: Network
    source: str
    target: str
    act: Callable[[], Result]
    answer: "asyncio.Future[Result | None]"

    def give_up(self) -> None:
        """Wait no longer for the answer."""
        if not self.answer.done():
            self.answer.set_result(None)

    def arrive(self) -> None:
        """Have the target act, once it runs."""
        if self.target in self.network.resumed:
            self.network.resumed[self.target].append(self.arrive)
            return
        service = self.network.service_seconds.get(self.target)
        if service is None:
            self.finish()
        else:
            asyncio.get_running_loop().call_later(service(), self.finish)

    def finish(self) -> None:
        """Act and send the answer back."""
        network = self.network
        if self.target in network.down or self.target in network.refusing:
            return
        result = self.act()
        if network.reaches(self.target, self.source):
            latency = network.latency(self.target, self.source)
            loop = asyncio.get_running_loop()
            loop.call_later(latency, self.deliver, result)

    def deliver(self, result: Result) -> None:
        """Hand the answer to the sender."""
        if not self.answer.done():
            self.answer.set_result(result)
