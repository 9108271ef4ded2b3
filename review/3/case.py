"""A planned stop while sessions send one statement after the other."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import (  # noqa: E402
    GRACE_S,
    LOSS_SLACK_MS,
    Caller,
    Deployment,
    Server,
    play,
    trouble,
)

SESSIONS = 24
# The client's link: 1 ms one way.
LINK_SECONDS = 0.002
# Within the site's work of a read: 55 ms in the mean, 410 ms at most.
WORK_SECONDS = 0.2


async def case(deployment: Deployment) -> bool:
    record = deployment.record
    group = deployment.group
    group.work_seconds = WORK_SECONDS
    first, second, _ = deployment.machines
    arrived: dict[str, float] = {}

    def note(_server: Server, request_id: str, _text: str, _state: str) -> None:
        arrived.setdefault(request_id, record.now())

    group.on_arrival = note
    # Requests that were cut off: id, sent at, cut at.
    cut: list[tuple[str, float, float]] = []
    end = record.now() + 3.0 + GRACE_S + 2.0

    async def session(number: int) -> None:
        machine = first
        generation = 0
        while record.now() < end:
            generation += 1
            caller = Caller(f"c{number}.{generation}", record)
            address = machine.host, machine.port
            if not await caller.connect(address, "bounded_staleness"):
                machine = second
                continue
            while record.now() < end:
                assert caller.reader
                if caller.reader.at_eof():
                    record.add(f"client's session {caller.name} is closed")
                    break
                sent = record.now()
                request_id, result = await caller.ask("READ 1a4")
                if result is None:
                    if machine is first:
                        cut.append((request_id, sent, record.now()))
                    break
                await asyncio.sleep(LINK_SECONDS)
            caller.close()
            machine = second

    tasks = [asyncio.create_task(session(one)) for one in range(SESSIONS)]
    await asyncio.sleep(3.0)
    stopped = record.now()
    if trouble():
        deployment.send_signal(first, signal.SIGTERM)
    await asyncio.gather(*tasks)
    lost = 0
    for request_id, sent, cut_at in cut:
        passed_on = request_id in arrived and arrived[request_id] < cut_at
        late = cut_at - sent > LOSS_SLACK_MS / 1000
        in_last_sixth = cut_at >= stopped + GRACE_S * 5 / 6
        excused = in_last_sixth and sent <= stopped + 3.0
        planned = stopped <= cut_at <= stopped + GRACE_S + 1.0
        breaks = trouble() and planned and (passed_on or late) and not excused
        lost += breaks
        record.add(
            f"{request_id} was sent {sent - stopped:.3f} s after the SIGTERM"
            f" and cut off {cut_at - stopped:.3f} s after it,"
            f" passed on to a server: {passed_on}"
            f"{', LOST' if breaks else ', excused'}"
        )
    record.add(f"{lost} requests lost, {len(cut)} cut off")
    return lost > 0


sys.exit(play(FOLDER / "record.txt", case))
