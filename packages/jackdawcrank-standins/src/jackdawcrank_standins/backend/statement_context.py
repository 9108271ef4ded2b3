"""What a statement's result depends on besides the data."""

import datetime
import uuid
from random import Random

import attrs

Scalar = int | float | str | bytes | None


@attrs.define
class StatementContext:
    """The values that a statement reads from outside the data.

    A replica that replays a statement under the same context gets the same
    result as the primary.

    Attributes:
      now: The time at which the statement began.
      seed: The seed of the statement's random functions.
      last_insert_id: What `LAST_INSERT_ID()` returns.
      connection_id: The connection that ran the statement.
      database: The database's name.
      variables: Values of the variables that the statement names.
      new_last_insert_id: What `LAST_INSERT_ID(n)` set, if anything did.
    """

    now: datetime.datetime
    seed: int = 0
    last_insert_id: int = 0
    connection_id: int = 0
    database: str = ""
    variables: dict[str, Scalar] = attrs.field(factory=dict)
    new_last_insert_id: int | None = None
    randomness: Random | None = None

    def restart(self) -> None:
        """Prepare the context for another run of its statement."""
        self.randomness = None

    def random(self) -> float:
        """Return the next number of the statement's random sequence."""
        return self.generator().random()

    def uuid(self) -> str:
        """Return the next UUID of the statement's random sequence."""
        bits = self.generator().getrandbits(128)
        return str(uuid.UUID(int=bits, version=4))

    def generator(self) -> Random:
        """Return the generator of the statement's random sequence."""
        if self.randomness is None:
            self.randomness = Random(self.seed)
        return self.randomness
