"""Callers that remember what they were told, and check it."""

import asyncio
import itertools
import random

import attrs

from fault_soak.world import GROUP, World
from jackdawcrank_standins.users_platform import LineAnswer, LineCaller

PROMISES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"}
)
PAUSE_SECONDS = 0.02


@attrs.define
class Memory:
    """What callers were told, and what was wrong with it.

    Attributes:
      kept: Acknowledged writes: item to value.
      refused: Items of writes of which nothing may be kept.
      pairs: Transactions: the items that stand together or not at all.
      broken: Promises that were broken, in words.
      answers: Answers by code.
    """

    kept: dict[str, str] = attrs.Factory(dict)
    refused: set[str] = attrs.Factory(set)
    pairs: list[tuple[str, str]] = attrs.Factory(list)
    broken: list[str] = attrs.Factory(list)
    answers: dict[str, int] = attrs.Factory(dict)


class Caller:
    """Writes items of its own and reads what anybody wrote."""

    def __init__(
        self, name: str, world: World, memory: Memory, rng: random.Random
    ) -> None:
        self.name = name
        self.world = world
        self.memory = memory
        self.rng = rng
        self.numbers = itertools.count()
        self.session: LineCaller | None = None
        self.database = ""
        self.own: dict[str, str] = {}

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            try:
                await self.step()
            except (OSError, TimeoutError):
                # The connection is gone, or the answer is not coming.
                self.drop()
            await asyncio.sleep(PAUSE_SECONDS)

    def drop(self) -> None:
        """Let the connection go."""
        if self.session:
            self.session.writer.transport.abort()
        self.session = None
        self.own = {}

    async def step(self) -> None:
        """Do one operation."""
        if self.session is None:
            kind = self.rng.choice(["primary", "read_your_writes"])
            self.database = f"{GROUP}-{kind}"
            proxy = self.rng.choice(self.world.proxies)
            session = await LineCaller.connect(proxy.port, self.database)
            if not session.greeting.startswith("READY"):
                session.writer.transport.abort()
                return
            self.session = session
        work = self.rng.choice([self.write, self.read, self.read, self.pair])
        await work(self.session)

    def next_item(self) -> str:
        """Return an item that nobody has written."""
        return f"{self.name}.{next(self.numbers)}"

    def count(self, answer: LineAnswer) -> None:
        """Count an answer."""
        code = answer.code or "done"
        self.memory.answers[code] = self.memory.answers.get(code, 0) + 1

    async def write(self, session: LineCaller) -> None:
        """Write an item once."""
        item = self.next_item()
        answer = await session.ask(f"WRITE {item} v-{item}", f"w-{item}")
        self.count(answer)
        if not answer.code:
            if not answer.signature:
                self.memory.broken.append(f"MIXED: {item} without signature")
            self.memory.kept[item] = f"v-{item}"
            self.own[item] = f"v-{item}"
        elif answer.code in PROMISES:
            self.memory.refused.add(item)

    async def read(self, session: LineCaller) -> None:
        """Read an item that must be there."""
        known = (
            self.memory.kept if self.database.endswith("primary") else self.own
        )
        if not known:
            return
        item = self.rng.choice(list(known))
        expected = known[item]
        number = next(self.numbers)
        answer = await session.ask(f"READ {item}", f"r-{self.name}-{number}")
        self.count(answer)
        if not answer.code and answer.rows != [expected]:
            self.memory.broken.append(
                f"STALE: {item} read as {answer.rows} on {self.database}"
            )

    async def pair(self, session: LineCaller) -> None:
        """Write two items in a transaction."""
        one, two = self.next_item(), self.next_item()
        for text in ("BEGIN", f"WRITE {one} v-{one}", f"WRITE {two} v-{two}"):
            answer = await session.ask(text, f"t-{one}")
            if answer.code:
                self.count(answer)
                await session.ask("ROLLBACK", f"t-{one}")
                self.memory.refused |= {one, two}
                return
        self.memory.pairs.append((one, two))
        answer = await session.ask("COMMIT", f"t-{one}")
        self.count(answer)
        if not answer.code:
            self.memory.kept |= {one: f"v-{one}", two: f"v-{two}"}
            self.own |= {one: f"v-{one}", two: f"v-{two}"}
        elif answer.code in PROMISES:
            self.memory.refused |= {one, two}
