"""A caller with a session that roams between proxies."""

import asyncio
import random
from typing import Any

import asyncmy
import asyncmy.errors
import attrs

from jackdawcrank.embedded import EmbeddedSystem
from jackdawcrank.embedded.embedded_options import (
    CALLER_PASSWORD,
    CALLER_USER,
)
from soak_parts.mix import Mix
from soak_parts.records import Answer, Recorder, StaleRead, WriteRecord

STATEMENT_SECONDS = 15.0
RETRY_SECONDS = 0.5
MAX_ATTEMPTS = 12
RECENT_ROWS = 30
TABLE = (
    "CREATE TABLE IF NOT EXISTS entries (id BIGINT AUTO_INCREMENT PRIMARY KEY,"
    " write_id VARCHAR(40), caller VARCHAR(20), quantity INT, KEY c (caller))"
)


@attrs.frozen
class Reply:
    """The result of one statement.

    Attributes:
      answer: What became of it.
      rows: The rows of a query.
      message: The error's message.
    """

    answer: Answer
    rows: tuple[tuple[Any, ...], ...] = ()
    message: str = ""


def answer_of(message: str) -> Answer:
    """Return what an error message says of its statement."""
    for answer in (Answer.NOT_RUN, Answer.FAILED):
        if message.startswith(answer.value):
            return answer
    return Answer.UNKNOWN


@attrs.define
class Caller:
    """One caller with one session on one group.

    Attributes:
      name: Its name, which its rows carry.
      system: The system that serves it.
      mix: What it does.
      group: Its database group.
      recorder: Gathers what it sees.
      rng: Decides what it does.
      connection: Its connection, if one is open.
      token: The session token that it last got.
      seen: Its last write that the token covers.
      writes: How many writes it has begun.
    """

    name: str
    system: EmbeddedSystem
    mix: Mix
    group: str
    recorder: Recorder
    rng: random.Random
    connection: Any = None
    token: str = ""
    seen: str = ""
    writes: int = 0

    async def run(self, until: float) -> None:
        """Work until a time on the loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            pause = self.rng.expovariate(1 / self.mix.think_seconds)
            await asyncio.sleep(pause)
            if self.rng.random() < self.mix.roam_share:
                self.hang_up()
            if self.rng.random() < self.mix.write_share:
                await self.write()
            elif self.rng.random() < self.mix.stale_share:
                await self.read_stale()
            else:
                await self.read_own()
        self.hang_up()

    def hang_up(self) -> None:
        """Close the connection; the session goes on by its token."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def open(self) -> Any:
        """Return a connection to some proxy."""
        if self.connection is None:
            proxy = self.rng.choice(list(self.system.proxies.values()))
            self.connection = await asyncmy.connect(
                host="127.0.0.1",
                port=proxy.front.port,
                user=CALLER_USER,
                password=CALLER_PASSWORD,
                database=self.group,
                autocommit=True,
            )
        return self.connection

    async def send(self, sql: str, **options: str) -> Reply:
        """Send one statement with options; report its result."""
        if self.token:
            options["session"] = self.token
        if options:
            listed = ",".join(f"{k}='{v}'" for k, v in options.items())
            sql = f"{sql} /*{listed}*/"
        try:
            async with asyncio.timeout(STATEMENT_SECONDS):
                connection = await self.open()
        except (asyncmy.errors.MySQLError, OSError, TimeoutError) as error:
            self.connection = None
            return Reply(Answer.NOT_RUN, message=f"no connection: {error!r}")
        try:
            async with asyncio.timeout(STATEMENT_SECONDS):
                return await self.execute(connection, sql)
        except asyncmy.errors.MySQLError as error:
            return self.error_reply(error)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.hang_up()
            return Reply(Answer.UNKNOWN, message=f"no answer: {error!r}")

    async def execute(self, connection: Any, sql: str) -> Reply:
        """Run one statement on a connection."""
        async with connection.cursor() as cursor:
            await cursor.execute(sql)
            rows = await cursor.fetchall()
        return Reply(Answer.DONE, tuple(rows))

    def error_reply(self, error: asyncmy.errors.MySQLError) -> Reply:
        """Return the reply for an error of the driver."""
        message = str(error.args[-1])
        answer = answer_of(message)
        if answer is Answer.UNKNOWN and not message.startswith("unknown"):
            self.hang_up()
        self.recorder.note_reason(message)
        return Reply(answer, message=message)

    async def write(self) -> None:
        """Write one row, again and again while that may help."""
        self.writes += 1
        record = WriteRecord(
            write_id=f"{self.name}-{self.writes}",
            group=self.group,
            repeatable=self.rng.random() >= self.mix.once_share,
        )
        self.recorder.writes.append(record)
        for _ in range(MAX_ATTEMPTS):
            answer = await self.attempt(record)
            if answer in (Answer.DONE, Answer.FAILED):
                break
            if answer is Answer.UNKNOWN and not record.repeatable:
                break
            await asyncio.sleep(RETRY_SECONDS)
        if record.answer is Answer.DONE:
            await self.renew_token(record.write_id)

    async def attempt(self, record: WriteRecord) -> Answer:
        """Send a write once."""
        loop = asyncio.get_running_loop()
        record.started_at = loop.time()
        options = {"request_id": record.write_id}
        if not record.repeatable:
            options["repeatable"] = "no"
        quantity = self.rng.randrange(1, 100)
        reply = await self.send(
            "INSERT INTO entries (write_id, caller, quantity) VALUES"
            f" ('{record.write_id}', '{self.name}', {quantity})",
            **options,
        )
        record.ended_at = loop.time()
        record.answers.append(reply.answer)
        return reply.answer

    async def renew_token(self, write_id: str) -> None:
        """Fetch the token that covers a write."""
        reply = await self.send("SELECT @@session_token")
        if reply.answer is Answer.DONE and reply.rows:
            self.token = str(reply.rows[0][0] or "")
            self.seen = write_id

    async def read_own(self) -> None:
        """Read the own rows and look for the last one."""
        expected = self.seen
        reply = await self.send(
            "SELECT write_id FROM entries WHERE caller ="
            f" '{self.name}' ORDER BY id DESC LIMIT {RECENT_ROWS}"
        )
        if reply.answer is not Answer.DONE:
            self.note_refusal(reply)
            return
        self.recorder.reads += 1
        if expected and (expected,) not in reply.rows:
            now = asyncio.get_running_loop().time()
            miss = StaleRead(expected, self.group, now)
            self.recorder.stale.append(miss)

    async def read_stale(self) -> None:
        """Read a total of a stated age."""
        reply = await self.send(
            "SELECT COUNT(*), SUM(quantity) FROM entries",
            max_age_ms=str(self.mix.max_age_ms),
        )
        if reply.answer is Answer.DONE:
            self.recorder.reads += 1
        else:
            self.note_refusal(reply)

    def note_refusal(self, reply: Reply) -> None:
        """Count a read without rows; start anew after a reported loss."""
        self.recorder.refused_reads += 1
        if "write_lost" in reply.message:
            self.recorder.reported_losses += 1
            self.token = ""
            self.seen = ""
            self.hang_up()
