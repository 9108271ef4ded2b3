"""What a statement costs its home proxy."""

import asyncio

from jackdawcrank_wire.messages import (
    ResultError,
    StatementKind,
    StatementRequest,
)
from slopes_parts.fit import Slope, fit_line
from slopes_parts.usage import begin_usage, end_usage
from slopes_parts.world import World

STATEMENTS = [240.0, 480.0, 960.0]
TASKS = 6
ROLE = "home proxy"
GROUP = "group0000"
CREATE = b"CREATE TABLE samples (id BIGINT PRIMARY KEY, plot VARCHAR(20))"
READ = b"SELECT plot FROM samples WHERE id = 7"


class Statements:
    """Runs statements on the home of a group, some at once."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.next_id = 0

    async def run(self, kind: StatementKind, count: int) -> None:
        """Run statements.

        Args:
          kind: Reads or writes.
          count: How many.
        """
        share = count // TASKS
        await asyncio.gather(*(self.one(kind, share) for _ in range(TASKS)))

    async def one(self, kind: StatementKind, count: int) -> None:
        """Run statements one after the other.

        Args:
          kind: Reads or writes.
          count: How many.
        """
        for _ in range(count):
            await self.execute(kind, self.sql(kind))

    def sql(self, kind: StatementKind) -> bytes:
        """Return the next statement.

        Args:
          kind: Reads or writes.
        """
        if kind is StatementKind.READ:
            return READ
        self.next_id += 1
        return b"INSERT INTO samples VALUES (%d, 'plot-17')" % self.next_id

    async def execute(self, kind: StatementKind, sql: bytes) -> None:
        """Run one statement, which must succeed.

        Args:
          kind: Reads or writes.
          sql: The statement.
        """
        request = StatementRequest(
            GROUP, sql, session_id="vm-a:1-1", max_age_ms=10_000, kind=kind
        )
        result = await self.world.proxy.router.serve_peer(request)
        if isinstance(result, ResultError):
            raise RuntimeError(f"{result.reason}: {result.message}")


async def measure(seed: int) -> list[Slope]:
    """Measure reads that replicas serve, and writes.

    Args:
      seed: The seed of the proxy's jitter.
    """
    world = World(seed)
    await world.start()
    await world.grow(1)
    await asyncio.sleep(3.0)
    statements = Statements(world)
    await statements.execute(StatementKind.WRITE, CREATE)
    slopes = []
    for kind in (StatementKind.READ, StatementKind.WRITE):
        await statements.run(kind, 120)
        slopes += await measure_kind(statements, kind)
    await world.close()
    return slopes


async def measure_kind(
    statements: Statements, kind: StatementKind
) -> list[Slope]:
    """Return what statements of one kind cost.

    Args:
      statements: Runs them.
      kind: Reads or writes.
    """
    ports = statements.world.backend_ports
    cpu, traffic = [], []
    for count in STATEMENTS:
        before = begin_usage()
        await statements.run(kind, int(count))
        after = end_usage()
        cpu.append(after.cpu - before.cpu)
        backend = after.on(ports) - before.on(ports)
        traffic.append(float(backend.bytes))
    return [
        fit_line(ROLE, str(kind), "processor time, s", STATEMENTS, cpu),
        fit_line(
            ROLE, str(kind), "backend traffic, bytes", STATEMENTS, traffic
        ),
    ]
