"""A server joins while some machines replace a primary that others use."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import Caller, Deployment, play, trouble  # noqa: E402

SESSIONS = 9
CUT_SECONDS = 5.0


async def case(deployment: Deployment) -> bool:
    record = deployment.record
    group = deployment.group
    end = record.now() + 2.0 + CUT_SECONDS + 6.0

    async def session(number: int) -> None:
        machine = deployment.machines[number % len(deployment.machines)]
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
        group.lost_orders = 1
        deployment.path.cut = True
        record.add("the first machine is cut off from the primary")
    await asyncio.sleep(2.5)
    record.add("the operator starts a server that will replace another")
    await group.add("obb-a")
    await asyncio.sleep(CUT_SECONDS - 2.5)
    deployment.path.cut = False
    record.add("the cut has healed")
    await asyncio.gather(*tasks)
    record.add(
        f"{len(group.acknowledged)} commits acknowledged,"
        f" {len(group.missing)} of them lost"
    )
    return bool(group.missing)


sys.exit(play(FOLDER / "record.txt", case, path_to_primary=True))
