"""Fixtures: two proxies connected through a fault-injecting interceptor."""

import asyncio
import collections.abc
import random
import typing

import pytest

from jackdawcrank.peers import PeerHandlers, PeerServer, PeerStreamPool
from jackdawcrank_wire.codec import MsgpackCodec
from jackdawcrank_wire.framing import FrameReader, FrameWriter, StreamEnd
from jackdawcrank_wire.messages import (
    Answer,
    Execute,
    Message,
    ResultOk,
    StatementRequest,
)

SECRET = b"a secret of the test"
Hook = collections.abc.Callable[[str, Message], list[Message]]


class FrameInterceptor:
    """Forwards frames and lets a test change, repeat or drop them.

    Attributes:
      hook: Called with the sender's side and a message; returns the messages
        to forward.
      blackholed: The writers that forward nothing more.
      accepted: The number of connections accepted so far.
    """

    def __init__(self) -> None:
        self.codec = MsgpackCodec()
        self.target = 0
        self.hook: Hook = lambda side, message: [message]
        self.writers: list[FrameWriter] = []
        self.pumps: set[asyncio.Task[None]] = set()
        self.blackholed: set[FrameWriter] = set()
        self.accepted = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", 0
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        other = await asyncio.open_connection("127.0.0.1", self.target)
        ends = FrameWriter(writer), FrameWriter(other[1])
        self.writers += ends
        self.pump("dialer", reader, ends[1])
        self.pump("acceptor", other[0], ends[0])

    def pump(
        self, side: str, reader: asyncio.StreamReader, writer: FrameWriter
    ) -> None:
        task = asyncio.create_task(self.run(side, FrameReader(reader), writer))
        self.pumps.add(task)

    async def run(
        self, side: str, reader: FrameReader, writer: FrameWriter
    ) -> None:
        while not isinstance(frame := await reader.read(), StreamEnd):
            message = self.codec.decode(frame)
            for passed in self.hook(side, typing.cast(Message, message)):
                if writer not in self.blackholed:
                    writer.write(self.codec.encode(passed))
        if writer not in self.blackholed:
            writer.writer.close()

    def blackhole(self) -> None:
        """Drop all further frames on the open connections."""
        self.blackholed.update(self.writers)

    def abort_connections(self) -> None:
        """Abort the open connections."""
        for writer in self.writers:
            writer.abort()

    async def close(self) -> None:
        self.server.close()
        self.abort_connections()
        for pump in self.pumps:
            pump.cancel()
        await asyncio.gather(*self.pumps, return_exceptions=True)


class StubHandler:
    """A statement handler whose answers a test can delay or replace."""

    def __init__(self) -> None:
        self.seen: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.release_events: dict[bytes, asyncio.Event] = {}
        self.answers: dict[bytes, typing.Any] = {}

    def release_event(self, sql: bytes) -> asyncio.Event:
        return self.release_events.setdefault(sql, asyncio.Event())

    async def __call__(self, vm: str, message: Execute) -> typing.Any:
        sql = message.statement.sql
        self.seen.append(sql)
        try:
            if sql in self.release_events:
                await self.release_events[sql].wait()
        except asyncio.CancelledError:
            self.cancelled.append(sql)
            raise
        default = Answer(0, ResultOk(info=sql.decode()))
        answer = self.answers.get(sql, default)
        return answer() if callable(answer) else answer


class Node:
    """The peer server, stream pool and statement handler of one proxy."""

    def __init__(
        self, vm: str, boot: str = "1", secret: bytes = SECRET
    ) -> None:
        rng = random.Random(vm + boot)
        self.vm = vm
        self.stub_handler = StubHandler()
        self.handlers = PeerHandlers()
        self.handlers.register(Execute, self.stub_handler)
        self.peer_pool = PeerStreamPool(
            vm, boot, secret, self.handlers, rng=rng, nonce_source=rng.randbytes
        )
        self.server = PeerServer(
            "127.0.0.1", 0, secret, vm, boot, self.handlers, self.peer_pool
        )

    async def start(self) -> None:
        await self.server.start()

    async def execute(
        self, vm: str, sql: bytes, timeout: float = 2.0
    ) -> typing.Any:
        statement = StatementRequest("soil", sql)
        return await self.peer_pool.request(vm, Execute(0, statement), timeout)

    async def close(self) -> None:
        await self.server.close()
        await self.peer_pool.close()


class Pair:
    """Proxies `vm-a` and `vm-b`; `vm-a` dials through the interceptor."""

    def __init__(self) -> None:
        self.interceptor = FrameInterceptor()
        self.a = Node("vm-a")
        self.b = Node("vm-b")
        self.extra: list[Node] = []

    async def start(self) -> None:
        await self.a.start()
        await self.b.start()
        self.interceptor.target = self.b.server.port
        await self.interceptor.start()
        self.a.peer_pool.set_addresses(
            {"vm-b": ("127.0.0.1", self.interceptor.port)}
        )

    async def add(self, vm: str, **options: typing.Any) -> Node:
        node = Node(vm, **options)
        self.extra.append(node)
        await node.start()
        return node

    async def close(self) -> None:
        for node in (self.a, self.b, *self.extra):
            for stream in list(node.peer_pool.all_streams):
                stream.disconnect("end of test")
            await node.close()
        await self.interceptor.close()


@pytest.fixture
async def pair() -> collections.abc.AsyncIterator[Pair]:
    pair = Pair()
    await pair.start()
    yield pair
    await pair.close()


@pytest.fixture
def eventually() -> collections.abc.Callable[..., typing.Any]:
    async def wait(condition: collections.abc.Callable[[], object]) -> None:
        for _ in range(2000):
            if condition():
                return
            await asyncio.sleep(0.002)
        raise AssertionError("condition not met after 2000 polls")

    return wait
