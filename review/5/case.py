"""A server leaves while an unreadable entry of another writer is listed."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import (  # noqa: E402
    DRAIN_MS,
    Caller,
    Deployment,
    Server,
    play,
    trouble,
)

SESSIONS = 6
# Bytes that are no JSON text; within the rows' 65,536 bytes.
UNREADABLE = b"[" * 4_000


async def case(deployment: Deployment) -> bool:
    record = deployment.record
    group = deployment.group
    sent: dict[str, float] = {}
    arrived: list[tuple[str, str, str, float]] = []

    def note(server: Server, request_id: str, _text: str, state: str) -> None:
        arrived.append((server.server_id, request_id, state, record.now()))

    group.on_arrival = note
    end = record.now() + 5.0 + DRAIN_MS / 1000 + 4.0

    async def session(number: int) -> None:
        machine = deployment.machines[number % len(deployment.machines)]
        kind = ("bounded_staleness", "read_your_writes")[number % 2]
        generation = 0
        while record.now() < end:
            generation += 1
            caller = Caller(f"c{number}.{generation}", record)
            if not await caller.connect((machine.host, machine.port), kind):
                await asyncio.sleep(0.2)
                continue
            while record.now() < end:
                at = record.now()
                request_id, result = await caller.ask("READ 1a4")
                sent[request_id] = at
                if result is None:
                    break
                await asyncio.sleep(0.05)
            caller.close()

    tasks = [asyncio.create_task(session(one)) for one in range(SESSIONS)]
    await asyncio.sleep(2.0)
    if trouble():
        deployment.store.put("servers", "x-1", UNREADABLE)
        record.add("another writer's entry x-1 appears")
    await asyncio.sleep(3.0)
    leaving = [x for x in group.servers.values() if not x.primary][0]
    leaving.state = "draining"
    leaving.report()
    acknowledged = record.now()
    await asyncio.gather(*tasks)
    limit = acknowledged + DRAIN_MS / 1000
    late = [
        one
        for one in arrived
        if one[0] == leaving.server_id
        and one[2] == "I"
        and one[3] > limit
        and sent.get(one[1], 0.0) > acknowledged
    ]
    for _, request_id, _, at in late[:5]:
        record.add(
            f"{request_id} reached {leaving.server_id}"
            f" {at - acknowledged:.3f} s after the acknowledgement"
        )
    record.add(f"{len(late)} requests reached it later than {DRAIN_MS} ms")
    return bool(late)


sys.exit(play(FOLDER / "record.txt", case))
