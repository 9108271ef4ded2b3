"""What writers who change the configuration at once cost the store."""

import asyncio
import random

import attrs

from jackdawcrank.store import Appended, ChangeLog, StoreClient
from jackdawcrank_policy.configuration import Kind
from slopes_parts.fit import Slope, fit_line
from slopes_parts.remote import Remote

WRITERS = [5.0, 10.0, 20.0, 40.0]
ROLE = "change log"
UNIT = "writer at the same moment"


@attrs.define
class Outcome:
    """What one round of writers cost.

    Attributes:
      committed: How many of them succeeded.
      reads: Reads that the store was sent.
      writes: Writes that the store was sent.
    """

    committed: int = 0
    reads: int = 0
    writes: int = 0


async def measure(seed: int) -> list[Slope]:
    """Measure writers of different rows, whose order the head decides.

    Args:
      seed: The seed of the writers' pauses.
    """
    world = Remote("remote_world")
    await world.start()
    url = (await world.ask(do="start"))["url"]
    rounds = [
        await run_round(url, int(count), random.Random(seed))
        for count in WRITERS
    ]
    await world.close()
    pairs = list(zip(rounds, WRITERS, strict=True))
    figures = {
        "reads per change": [one.reads / one.committed for one, _ in pairs],
        "writes per change": [one.writes / one.committed for one, _ in pairs],
        "share given up": [1 - one.committed / size for one, size in pairs],
    }
    return [
        fit_line(ROLE, UNIT, quantity, WRITERS, values)
        for quantity, values in figures.items()
    ]


async def run_round(url: str, count: int, rng: random.Random) -> Outcome:
    """Let some writers change a row each, all at once.

    Args:
      url: The platform's address.
      count: The number of writers.
      rng: Where their pauses come from.
    """
    stores = [StoreClient(url, rng=rng) for _ in range(count)]
    for store in stores:
        await store.start()
    answers = await asyncio.gather(
        *(
            ChangeLog(store, rng=rng).append(
                Kind.DATABASE_GROUP,
                f"group{count}-{number}",
                {"spec": {}},
                0,
                "bench",
            )
            for number, store in enumerate(stores)
        )
    )
    outcome = Outcome(sum(isinstance(one, Appended) for one in answers))
    for store in stores:
        outcome.reads += store.traffic.reads
        outcome.writes += store.traffic.requests - store.traffic.reads
        await store.close()
    return outcome
