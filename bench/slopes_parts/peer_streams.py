"""What a stream between two proxies costs one end."""

import asyncio
import time

from jackdawcrank.peers import PeerHandlers, PeerServer, PeerStreamPool
from jackdawcrank_policy.values import Position
from jackdawcrank_wire.codec import Codec, JsonCodec, MsgpackCodec
from jackdawcrank_wire.messages import (
    Answer,
    ColumnInfo,
    ConfigVersion,
    Execute,
    ResultRows,
)
from slopes_parts.fit import Slope, fit_line
from slopes_parts.remote import Remote
from slopes_parts.remote_peers import SECRET, STATEMENT
from slopes_parts.usage import begin_usage, end_usage, memory_bytes

STREAMS = [50.0, 100.0, 200.0, 400.0]
STATEMENTS = [1600.0, 3200.0, 6400.0]
MESSAGES = [5000.0, 10000.0, 20000.0]
HOLD_SECONDS = 2.0
HOLD_SETTLE_SECONDS = 0.2
IDLE_SETTLE_SECONDS = 0.3
IDLE_SECONDS = 0.7
# Longer than an acknowledgement may be delayed.
NOTICE_PAUSE_SECONDS = 0.1
CHANGES = 5
ROLE = "peer streams"
RESULT = ResultRows(
    (ColumnInfo("plot", 253), ColumnInfo("carbon", 5)),
    ((b"plot-17", b"41.25"),),
    Position(3, 81723),
    server="soil-2",
)


async def execute(vm: str, message: Execute) -> Answer:
    """Answer at once, or never if the statement says so."""
    if message.statement.sql == b"HOLD":
        await asyncio.Event().wait()
    return Answer(0, RESULT)


async def ignore(vm: str, message: ConfigVersion) -> None:
    """Take a message in."""


async def measure(seed: int) -> list[Slope]:
    """Measure streams that are idle, busy and that carry statements.

    Args:
      seed: Not used; nothing here is random.
    """
    handlers = PeerHandlers()
    handlers.register(Execute, execute)
    handlers.register(ConfigVersion, ignore)
    peer_pool = PeerStreamPool("home", "1", SECRET, handlers)
    server = PeerServer(
        "127.0.0.1", 0, SECRET, "home", "1", handlers, peer_pool
    )
    peers = Remote("remote_peers")
    await server.start()
    await peers.start()
    slopes = await measure_streams(server, peer_pool, peers)
    slopes += await measure_statements(peers)
    slopes += measure_codecs()
    await peers.close()
    await server.close()
    await peer_pool.close()
    return slopes


async def measure_streams(
    server: PeerServer, peer_pool: PeerStreamPool, peers: Remote
) -> list[Slope]:
    """Return what open streams cost.

    Args:
      server: The measured end's port.
      peer_pool: The measured end's streams.
      peers: The other ends.
    """
    figures: dict[str, list[float]] = {}
    spent = 0.0
    for count in STREAMS:
        before = begin_usage()
        await peers.ask(do="open", port=server.port, count=int(count))
        spent += end_usage().cpu - before.cpu
        row = {"opened, processor time, s": spent}
        row["memory, bytes"] = float(memory_bytes())
        row |= await measure_idle()
        row |= await measure_broadcast(peer_pool)
        row |= await measure_held(peers)
        for quantity, value in row.items():
            figures.setdefault(quantity, []).append(value)
    return [
        fit_line(ROLE, unit_of(quantity), quantity, STREAMS, values)
        for quantity, values in figures.items()
    ]


def unit_of(quantity: str) -> str:
    """Return what a quantity is counted by.

    Args:
      quantity: The quantity's name.
    """
    if quantity.startswith("held"):
        return "stream with a request outstanding"
    if quantity.startswith("notice"):
        return "open stream, per notice to all"
    if quantity.startswith("opened"):
        return "stream accepted, with its handshake"
    return "open stream"


async def measure_idle() -> dict[str, float]:
    """Return what the open streams cost while nothing happens."""
    await asyncio.sleep(IDLE_SETTLE_SECONDS)
    before = begin_usage()
    await asyncio.sleep(IDLE_SECONDS)
    after = end_usage()
    seconds = after.wall - before.wall
    return {
        "processor time, s/s": (after.cpu - before.cpu) / seconds,
        "traffic, bytes/s": (after.on() - before.on()).bytes / seconds,
    }


async def measure_broadcast(peer_pool: PeerStreamPool) -> dict[str, float]:
    """Return what one notice to every open stream costs the sender.

    Args:
      peer_pool: The streams.
    """
    before = begin_usage()
    for version in range(CHANGES):
        peer_pool.broadcast(ConfigVersion(version))
        await asyncio.sleep(NOTICE_PAUSE_SECONDS)
    after = end_usage()
    traffic = after.on() - before.on()
    return {
        "notice, processor time, s": (after.cpu - before.cpu) / CHANGES,
        "notice, traffic, bytes": traffic.bytes / CHANGES,
    }


async def measure_held(peers: Remote) -> dict[str, float]:
    """Return what watching over silent streams costs.

    Args:
      peers: The other ends.
    """
    seconds = HOLD_SECONDS + 2 * HOLD_SETTLE_SECONDS
    holding = asyncio.create_task(peers.ask(do="hold", seconds=seconds))
    await asyncio.sleep(HOLD_SETTLE_SECONDS)
    before = begin_usage()
    await asyncio.sleep(HOLD_SECONDS)
    after = end_usage()
    await holding
    seconds = after.wall - before.wall
    return {
        "held, processor time, s/s": (after.cpu - before.cpu) / seconds,
        "held, traffic, bytes/s": (after.on() - before.on()).bytes / seconds,
    }


def measure_codecs() -> list[Slope]:
    """Return what a message costs to encode and decode, by codec."""
    codecs: dict[str, Codec] = {"msgpack": MsgpackCodec(), "JSON": JsonCodec()}
    message = Execute(81723, STATEMENT)
    slopes = []
    for name, codec in codecs.items():
        cpu, size = [], []
        for count in MESSAGES:
            started = time.process_time()
            for _ in range(int(count)):
                codec.decode(codec.encode(message))
            cpu.append(time.process_time() - started)
            size.append(count * len(codec.encode(message)))
        unit = f"statement as {name}"
        slopes += [
            fit_line("codec", unit, "encoding and decoding, s", MESSAGES, cpu),
            fit_line("codec", unit, "body, bytes", MESSAGES, size),
        ]
    return slopes


async def measure_statements(peers: Remote) -> list[Slope]:
    """Return what a forwarded statement costs each end.

    Args:
      peers: The other ends.
    """
    await peers.ask(do="run", count=400)
    entry, home, traffic = [], [], []
    for count in STATEMENTS:
        before = begin_usage()
        answer = await peers.ask(do="run", count=int(count))
        after = end_usage()
        entry.append(float(answer["cpu"]))
        home.append(after.cpu - before.cpu)
        traffic.append(float((after.on() - before.on()).bytes))
    unit = "forwarded statement"
    cpu = "processor time, s"
    return [
        fit_line("entry's end of a stream", unit, cpu, STATEMENTS, entry),
        fit_line("home's end of a stream", unit, cpu, STATEMENTS, home),
        fit_line(ROLE, unit, "traffic, bytes", STATEMENTS, traffic),
    ]
