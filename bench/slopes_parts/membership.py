"""What following the membership costs a VM."""

import random
import time
import urllib.parse

from jackdawcrank.membership import MembershipTracker
from jackdawcrank.store import StoreClient
from jackdawcrank.timer import ManualTimer
from jackdawcrank_policy.homes import HomeIndex
from jackdawcrank_policy.membership import MembershipView
from jackdawcrank_policy.values import Vm
from slopes_parts.fit import Slope, fit_line
from slopes_parts.remote import Remote
from slopes_parts.usage import HeapMeter, begin_usage, end_usage

VMS = [50.0, 200.0, 400.0, 700.0]
CALLS = 5
GROUPS = 1100
HOMES_PER_GROUP = 3
VIEWS = 20
ROLE = "membership"
UNIT = "VM listed"


async def measure(seed: int) -> list[Slope]:
    """Measure each periodic step at several numbers of VMs.

    Args:
      seed: The seed of the tracker's jitter.
    """
    world = Remote("remote_world")
    await world.start()
    url = (await world.ask(do="start"))["url"]
    figures: dict[str, list[float]] = {}
    for count in VMS:
        await world.ask(do="list_many", count=int(count))
        row = await measure_at(url, seed)
        for quantity, value in row.items():
            figures.setdefault(quantity, []).append(value)
    await world.close()
    return [
        fit_line(ROLE, UNIT, quantity, VMS, values)
        for quantity, values in figures.items()
    ]


async def measure_at(url: str, seed: int) -> dict[str, float]:
    """Return what the steps cost with the VMs that are listed now.

    Args:
      url: The platform's address.
      seed: The seed of the tracker's jitter.
    """
    store = StoreClient(url)
    await store.start()
    own = Vm("vm-0000", "10.1.2.3", 7306, 8306, "bayern", "bayern-1")
    tracker = MembershipTracker(
        store, ManualTimer(), own, "5f3a", rng=random.Random(seed)
    )
    with HeapMeter() as heap:
        await tracker.read_list(0.0)
        await tracker.evaluate(0.0)
        row = {"memory, bytes": heap.bytes()}
    steps = {
        "lease renewal": tracker.renew,
        "page of lease rows": tracker.read_page,
        "evaluation": tracker.evaluate,
        "VM list": tracker.read_list,
    }
    port = {urllib.parse.urlsplit(url).port or 0}
    for name, step in steps.items():
        tracker.next_list_read_at = tracker.next_page_read_at = 0.0
        await step(0.0)
        before = begin_usage()
        for _ in range(CALLS):
            tracker.next_list_read_at = tracker.next_page_read_at = 0.0
            await step(0.0)
        after = end_usage()
        traffic = after.on(port) - before.on(port)
        row[f"{name}, processor time, s"] = (after.cpu - before.cpu) / CALLS
        row[f"{name}, store traffic, bytes"] = traffic.bytes / CALLS
    row.update(choice_costs(tracker.view))
    await store.close()
    return row


def choice_costs(view: MembershipView) -> dict[str, float]:
    """Return the processor time of keeping the homes of all groups.

    Args:
      view: The membership.
    """
    members = {name: view.vms[name].data_center for name in view.live}
    index = HomeIndex(HOMES_PER_GROUP)
    for number in range(GROUPS):
        index.homes(f"group{number:04}")
    started = time.process_time()
    index.update(members)
    first = time.process_time() - started
    started = time.process_time()
    for vm in view.live[:VIEWS]:
        index.update({name: members[name] for name in view.live if name != vm})
        index.update(members)
    one = (time.process_time() - started) / (2 * VIEWS)
    lost = next(iter(members.values()))
    left = {name: where for name, where in members.items() if where != lost}
    started = time.process_time()
    index.update(left)
    center = time.process_time() - started
    return {
        "homes of 1,100 groups after one VM, s": one,
        "homes of 1,100 groups without a data centre, s": center,
        "first homes of 1,100 groups, s": first,
    }
