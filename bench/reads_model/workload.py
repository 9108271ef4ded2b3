"""What the sessions of the benchmark do."""

import attrs

from jackdawcrank_policy.routing import SessionReads
from jackdawcrank_policy.values import Position

READ_SECONDS = 0.008
OVERVIEW_SECONDS = 0.03
WRITE_SECONDS = 0.005
STATED_AGES_MS = (3_000, 10_000, 60_000)
MOVE_PROBABILITY = 0.05


@attrs.frozen
class SessionKind:
    """How one kind of session works.

    Attributes:
      name: The kind's name.
      think_seconds: The mean pause between two statements.
      write_probability: The share of statements that write.
      count: How many sessions of the kind there are.
      stated_age: Whether its reads state an age.
    """

    name: str
    think_seconds: float
    write_probability: float
    count: int
    stated_age: bool = False


KINDS = (
    SessionKind("think_0.2s", 0.2, 0.2, 8),
    SessionKind("think_1s", 1.0, 0.2, 24),
    SessionKind("think_5s", 5.0, 0.2, 60),
    SessionKind("think_30s", 30.0, 0.2, 120),
    SessionKind("stated_age", 1.0, 0.0, 30, stated_age=True),
)


@attrs.define
class Session:
    """One caller's session.

    Attributes:
      kind: How it works.
      region: The region of the proxy that it uses now.
      max_age_ms: The age that its reads state, if any.
      token: The position that its token carries.
      reads: Its last read.
      seen: The offset that it has written or read, as the judge knows it.
    """

    kind: SessionKind
    region: int
    max_age_ms: int | None = None
    token: Position | None = None
    reads: SessionReads = attrs.Factory(SessionReads)
    seen: int = 0

    def advance(self, position: Position) -> None:
        """Move the token on."""
        if self.token is None or position.offset > self.token.offset:
            self.token = position


@attrs.define
class Tally:
    """What became of one kind of reads.

    Attributes:
      reads: How many there were.
      eligible: For how many some replica had what they needed on arrival.
      replica: How many a replica answered.
      eligible_replica: How many of the eligible a replica answered.
      violations: How many answers broke a promise.
      seconds: How long each took, from the proxy and back.
    """

    reads: int = 0
    eligible: int = 0
    replica: int = 0
    eligible_replica: int = 0
    violations: int = 0
    seconds: list[float] = attrs.Factory(list)
