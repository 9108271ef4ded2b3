"""What a caller's connection and statement cost an entry proxy."""

import asyncio

from jackdawcrank.front.front_server import FrontServer
from jackdawcrank_policy.tokens import (
    InvalidToken,
    SessionToken,
    TokenSigner,
)
from jackdawcrank_policy.values import Branch, NotRun, Position
from jackdawcrank_wire.messages import (
    ColumnInfo,
    ResultRows,
    StatementRequest,
    StatementResult,
)
from jackdawcrank_wire.settings import CallerLogin
from slopes_parts.fit import Slope, fit_line
from slopes_parts.remote import Remote
from slopes_parts.usage import begin_usage, end_usage, memory_bytes

CONNECTIONS = [250.0, 500.0, 1000.0, 1500.0]
STATEMENTS = [800.0, 1600.0, 3200.0, 4800.0]
IDLE_SECONDS = 1.0
ROLE = "caller front"
RESULT = ResultRows(
    (ColumnInfo("plot", 253), ColumnInfo("carbon", 5)),
    ((b"plot-17", b"41.25"),),
    Position(3, 81723),
)


class StubRouter:
    """Answers every statement at once, so that only the front is measured."""

    def __init__(self) -> None:
        self.signer = TokenSigner((b"k" * 32,))

    async def execute(self, request: StatementRequest) -> StatementResult:
        """Return the same row for each statement."""
        return RESULT

    def is_configured(self) -> bool:
        """Have a configuration."""
        return True

    def knows_group(self, group: str) -> bool:
        """Know every group."""
        return True

    def statement_timeout_ms(self, group: str) -> int:
        """Return a long time."""
        return 30_000

    def branch(self, group: str) -> Branch:
        """Return a branch of no terms."""
        return Branch()

    def caller_class(self, user: str) -> str:
        """Return the only class."""
        return "default"

    def admit(self, user: str) -> NotRun | None:
        """Admit everybody."""
        return None

    def finish(self, user: str) -> None:
        """Count nothing."""

    def sign(self, token: SessionToken) -> str:
        """Sign a token."""
        return self.signer.sign(token)

    def verify(self, text: str) -> SessionToken | InvalidToken:
        """Verify a token."""
        return self.signer.verify(text)


async def measure(seed: int) -> list[Slope]:
    """Measure connections that are idle, then statements.

    Args:
      seed: Not used; nothing here is random.
    """
    login = CallerLogin("app", "app-password")
    front = FrontServer(
        "127.0.0.1", 0, [login], StubRouter(), "vm-1:b", 65536, 10_000, 10.0
    )
    callers = Remote("remote_callers")
    await front.start()
    await callers.start()
    slopes = await measure_connections(front, callers)
    slopes += await measure_statements(callers)
    await callers.close()
    await front.close()
    return slopes


async def measure_connections(
    front: FrontServer, callers: Remote
) -> list[Slope]:
    """Return what idle connections cost.

    Args:
      front: The front.
      callers: The callers.
    """
    memory, cpu, login = [], [], []
    spent = 0.0
    for count in CONNECTIONS:
        before = begin_usage()
        await callers.ask(do="open", port=front.port, count=int(count))
        spent += end_usage().cpu - before.cpu
        login.append(spent)
        memory.append(float(memory_bytes()))
        before = begin_usage()
        await asyncio.sleep(IDLE_SECONDS)
        after = end_usage()
        cpu.append((after.cpu - before.cpu) / (after.wall - before.wall))
    unit = "idle caller connection"
    return [
        fit_line(ROLE, unit, "memory, bytes", CONNECTIONS, memory),
        fit_line(ROLE, unit, "processor time, s/s", CONNECTIONS, cpu),
        fit_line(ROLE, "login", "processor time, s", CONNECTIONS, login),
    ]


async def measure_statements(callers: Remote) -> list[Slope]:
    """Return what a statement costs.

    Args:
      callers: The callers.
    """
    await callers.ask(do="run", count=400)
    cpu, traffic = [], []
    for count in STATEMENTS:
        before = begin_usage()
        await callers.ask(do="run", count=int(count))
        after = end_usage()
        cpu.append(after.cpu - before.cpu)
        traffic.append(float((after.on() - before.on()).bytes))
    unit = "statement"
    return [
        fit_line(ROLE, unit, "processor time, s", STATEMENTS, cpu),
        fit_line(ROLE, unit, "traffic, bytes", STATEMENTS, traffic),
    ]
