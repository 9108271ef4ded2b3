"""Answers to probes of a primary with pauses, slow spells and losses."""

import bisect
import random

import attrs

from writes_model.deployment import Deployment

SPELLS_PER_HOUR = 20
PAUSES_PER_HOUR = 40
SLOW_SECONDS = (1.0, 8.0)
SLOW_ANSWER_SECONDS = (0.05, 0.6)
PAUSE_SECONDS = (0.1, 1.2)
LOST_FRACTION = 0.001
CONNECT_FRACTION = 0.01


@attrs.frozen
class Spell:
    """A disturbance of the primary.

    Attributes:
      start: When it begins, in seconds.
      end: When it ends.
      paused: Whether the primary is paused, else merely slow.
    """

    start: float
    end: float
    paused: bool


@attrs.define
class ProbeStream:
    """Tells when a probe is answered.

    Attributes:
      deployment: The latencies.
      rng: The source of chance.
      spells: The disturbances, in order, without overlap.
      failed_at: When the primary fails for good, in seconds.
      starts: When each disturbance begins.
    """

    deployment: Deployment
    rng: random.Random
    spells: list[Spell] = attrs.field(factory=list)
    failed_at: float = float("inf")
    starts: list[float] = attrs.field(factory=list)

    def disturb(self, seconds: float) -> None:
        """Plan the disturbances of a time that begins at 0."""
        now = 0.0
        rate = (SPELLS_PER_HOUR + PAUSES_PER_HOUR) / 3600
        while now < seconds:
            now += self.rng.expovariate(rate) + 1.0
            paused = self.rng.random() < PAUSES_PER_HOUR / (
                SPELLS_PER_HOUR + PAUSES_PER_HOUR
            )
            bounds = PAUSE_SECONDS if paused else SLOW_SECONDS
            length = self.rng.uniform(*bounds)
            self.spells.append(Spell(now, now + length, paused))
            now += length
        self.starts = [spell.start for spell in self.spells]

    def latency(self, sent_at: float) -> float:
        """Return how long a probe waits for its answer; inf for no answer."""
        base = 2 * self.deployment.region_ms / 1000
        seconds = base * (1 + 0.1 * self.rng.expovariate(1.0)) + 0.002
        if self.rng.random() < CONNECT_FRACTION:
            seconds += self.deployment.connect_ms / 1000
        spell = self.spell_at(sent_at)
        if spell is not None and spell.paused:
            seconds += spell.end - sent_at
        elif spell is not None:
            seconds += self.rng.uniform(*SLOW_ANSWER_SECONDS)
        lost = self.rng.random() < LOST_FRACTION
        if lost or sent_at + seconds / 2 >= self.failed_at:
            return float("inf")
        return seconds

    def spell_at(self, now: float) -> Spell | None:
        """Return the disturbance at a time, if there is one."""
        index = bisect.bisect_right(self.starts, now) - 1
        if index >= 0 and now < self.spells[index].end:
            return self.spells[index]
        return None
