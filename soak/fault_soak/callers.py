"""Callers that remember what they were told, and check it."""

import asyncio
import itertools
import random

import attrs

from fault_soak.world import GROUP, World

PROMISES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD"}
)
ANSWER_SECONDS = 8.0
CONNECT_SECONDS = 2.0
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


@attrs.frozen
class Answer:
    """One answer.

    Attributes:
      code: The error's code, empty on success.
      rows: The rows.
      signature: The server's signature.
    """

    code: str
    rows: tuple[str, ...] = ()
    signature: str = ""


class Session:
    """One connection of a caller; used until it is gone."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port: int, database: str) -> "Session":
        """Connect and name a database."""
        async with asyncio.timeout(CONNECT_SECONDS):
            session = cls(*await asyncio.open_connection("127.0.0.1", port))
            session.writer.write(f"CONNECT {database} soak\r\n".encode())
            line = await session.reader.readline()
        if not line.startswith(b"READY"):
            raise ConnectionResetError(line.decode())
        return session

    async def ask(self, request_id: str, text: str) -> Answer:
        """Send a query and return the whole answer."""
        self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
        rows: list[str] = []
        code = signature = ""
        async with asyncio.timeout(ANSWER_SECONDS):
            while True:
                line = (await self.reader.readline()).decode().rstrip("\r\n")
                word, _, rest = line.partition(" ")
                if word == "READY":
                    return Answer(code, tuple(rows), signature)
                if word == "ROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    signature = rest
                elif word == "ERROR":
                    code = rest.split(" ")[0]
                else:
                    raise ConnectionResetError("cut")


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
        self.session: Session | None = None
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
            self.session = await Session.open(proxy.port, self.database)
        work = self.rng.choice([self.write, self.read, self.read, self.pair])
        await work(self.session)

    def next_item(self) -> str:
        """Return an item that nobody has written."""
        return f"{self.name}.{next(self.numbers)}"

    def count(self, answer: Answer) -> None:
        """Count an answer."""
        code = answer.code or "done"
        self.memory.answers[code] = self.memory.answers.get(code, 0) + 1

    async def write(self, session: Session) -> None:
        """Write an item once."""
        item = self.next_item()
        answer = await session.ask(f"w-{item}", f"WRITE {item} v-{item}")
        self.count(answer)
        if not answer.code:
            if not answer.signature or answer.signature == "-":
                self.memory.broken.append(f"MIXED: {item} without signature")
            self.memory.kept[item] = f"v-{item}"
            self.own[item] = f"v-{item}"
        elif answer.code in PROMISES:
            self.memory.refused.add(item)

    async def read(self, session: Session) -> None:
        """Read an item that must be there."""
        known = (
            self.memory.kept if self.database.endswith("primary") else self.own
        )
        if not known:
            return
        item = self.rng.choice(list(known))
        expected = known[item]
        number = next(self.numbers)
        answer = await session.ask(f"r-{self.name}-{number}", f"READ {item}")
        self.count(answer)
        if not answer.code and answer.rows != (expected,):
            self.memory.broken.append(
                f"STALE: {item} read as {answer.rows} on {self.database}"
            )

    async def pair(self, session: Session) -> None:
        """Write two items in a transaction."""
        one, two = self.next_item(), self.next_item()
        for text in ("BEGIN", f"WRITE {one} v-{one}", f"WRITE {two} v-{two}"):
            answer = await session.ask(f"t-{one}", text)
            if answer.code:
                self.count(answer)
                await session.ask(f"t-{one}", "ROLLBACK")
                self.memory.refused |= {one, two}
                return
        self.memory.pairs.append((one, two))
        answer = await session.ask(f"t-{one}", "COMMIT")
        self.count(answer)
        if not answer.code:
            self.memory.kept |= {one: f"v-{one}", two: f"v-{two}"}
            self.own |= {one: f"v-{one}", two: f"v-{two}"}
        elif answer.code in PROMISES:
            self.memory.refused |= {one, two}
