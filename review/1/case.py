"""A process starts while the servers' entries come back after an outage."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import Caller, Deployment, play, trouble  # noqa: E402

SESSIONS = 6
HEARTBEAT_SECONDS = 1.2
OUTAGE_SECONDS = 4.5
# When entries are back after the store's return; within about two seconds.
FIRST_BACK_SECONDS = 0.0
LAST_BACK_SECONDS = 1.9
RESTART_SECONDS = 0.5


async def case(deployment: Deployment) -> bool:
    record = deployment.record
    group = deployment.group
    first, *others = deployment.machines
    end = record.now() + 2.0 + OUTAGE_SECONDS + 6.0

    async def session(number: int) -> None:
        machine = others[number % len(others)]
        generation = 0
        while record.now() < end:
            generation += 1
            caller = Caller(f"c{number}.{generation}", record)
            address = machine.host, machine.port
            if not await caller.connect(address, "primary"):
                await asyncio.sleep(0.2)
                continue
            while record.now() < end:
                _, result = await caller.ask("WRITE 1a4 xkqpwnzd")
                if result is None:
                    break
                await asyncio.sleep(0.05)
            caller.close()

    tasks = [asyncio.create_task(session(one)) for one in range(SESSIONS)]
    await asyncio.sleep(2.0)
    if trouble():
        await outage(deployment)
    await asyncio.gather(*tasks)
    record.add(
        f"{len(group.acknowledged)} commits acknowledged,"
        f" {len(group.missing)} of them lost"
    )
    return bool(group.missing)


async def outage(deployment: Deployment) -> None:
    """Play an outage of the store, and the kill of one process in it."""
    record = deployment.record
    first = deployment.machines[0]
    servers = list(deployment.group.servers.values())
    replica = next(one for one in servers if not one.primary)
    deployment.store.set_down(True)
    record.add("the store is down")
    await asyncio.sleep(2.0)
    deployment.send_signal(first, signal.SIGKILL)
    assert first.process
    await first.process.wait()
    await asyncio.sleep(RESTART_SECONDS)
    await deployment.start_process(first)
    record.add("the killed process is started again")
    await asyncio.sleep(3 * HEARTBEAT_SECONDS - 2.0 - RESTART_SECONDS)
    for server in servers:
        server.expire()
    await asyncio.sleep(OUTAGE_SECONDS - 3 * HEARTBEAT_SECONDS)
    deployment.store.set_down(False)
    record.add("the store is back")
    await asyncio.sleep(FIRST_BACK_SECONDS)
    replica.report()
    await asyncio.sleep(LAST_BACK_SECONDS - FIRST_BACK_SECONDS)
    for server in servers:
        if server is not replica:
            server.report()


sys.exit(play(FOLDER / "record.txt", case))
