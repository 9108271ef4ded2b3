"""Measures how fast a change is in force, and what following costs.

Part one runs 21 followers against the platform's stand-in over HTTP, without
the streams between proxies, and measures the time from the commit of a change
in the store until the last follower has it in force. A slow store is slow
either before it looks up a row or after that, when the answer is old by the
time that it arrives. Part two drives one VM
through simulated time and counts its requests and bytes to the store, beside
more and more other VMs and database groups. Part three starts a new VM.
"""

import asyncio
import random
import statistics
import time
from typing import Any

import attrs
from aiohttp import web

from jackdawcrank.config import ConfigurationFollower, encode_snapshot
from jackdawcrank.membership import MembershipTracker
from jackdawcrank.membership.lease_row import encode_lease_row
from jackdawcrank.store import (
    Committed,
    Head,
    Row,
    RowPut,
    StoreClient,
    StoreLimits,
    Transaction,
)
from jackdawcrank.store.write import Write, transaction_for
from jackdawcrank.timer import ManualTimer, TimerService
from jackdawcrank_policy.configuration import (
    Change,
    Configuration,
    Entry,
    Kind,
)
from jackdawcrank_policy.membership import LeaseReading
from jackdawcrank_policy.values import Vm
from jackdawcrank_standins.platform import (
    Platform,
    TableStore,
    parse_transaction,
)
from report import Check, seed_argument, write_result

PROXIES = 21
CHANGES = 12
PAUSE_SECONDS = 0.8
CASES = {
    "quiet": (0.0, 0.0),
    "look_up_slower_by_1.0_s": (1.0, 0.0),
    "answer_later_by_0.5_s": (0.0, 0.5),
    "answer_later_by_1.5_s": (0.0, 1.5),
}
TARGET_SECONDS = 4.0
SIMULATED_SECONDS = 600.0
VM_COUNTS = (7, 21, 100, 700)
GROUP_COUNTS = (3, 100, 1100)
SERVERS_PER_GROUP = 3
BUDGET_BYTES_PER_SECOND = 5000.0
UNBOUNDED = StoreLimits(per_second=1e6, burst=1e6)


class TimedTables(TableStore):
    """Records when each version of the change log was committed."""

    committed_at: dict[int, float]

    def transact(self, transaction: Any) -> Any:
        """Commit a transaction and note the time if it moved the head."""
        outcome = super().transact(transaction)
        head = self.get("head", "head")
        if head is not None:
            version = head.value["version"]
            self.committed_at.setdefault(version, time.monotonic())
        return outcome


class LatePlatform(Platform):
    """A platform whose answers to reads come late.

    Attributes:
      late_seconds: The time between the look-up and the answer.
    """

    late_seconds = 0.0

    async def get_row(self, request: web.Request) -> web.Response:
        """Look a row up and answer later."""
        response = await super().get_row(request)
        await asyncio.sleep(self.late_seconds)
        return response

    async def scan(self, request: web.Request) -> web.Response:
        """Look rows up and answer later."""
        response = await super().scan(request)
        await asyncio.sleep(self.late_seconds)
        return response


@attrs.define
class Spread:
    """When each version came into force on each proxy."""

    seen: dict[int, list[float]] = attrs.field(factory=dict)

    def note(self, before: int, version: int) -> None:
        """Record that a proxy went from one version to another."""
        now = time.monotonic()
        for number in range(before + 1, version + 1):
            self.seen.setdefault(number, []).append(now)


class Follower:
    """One proxy's part that follows the configuration."""

    def __init__(self, platform: Platform, spread: Spread, seed: str) -> None:
        rng = random.Random(seed)
        self.spread = spread
        self.version = 0
        self.store = StoreClient(platform.url, rng=rng)
        self.timer = TimerService(time.monotonic)
        self.follower = ConfigurationFollower(
            self.store, self.timer, on_change=self.changed, rng=rng
        )

    def changed(self, configuration: Configuration, _: object) -> None:
        """Record which versions are in force now."""
        self.spread.note(self.version, configuration.version)
        self.version = configuration.version

    async def start(self) -> None:
        """Begin to follow."""
        await self.store.start()
        await self.timer.start()
        await self.follower.start()

    async def close(self) -> None:
        """Stop following."""
        await self.follower.close()
        await self.timer.close()
        await self.store.close()


async def measure_spread(
    seed: int, slow_seconds: float, late_seconds: float
) -> list[float]:
    """Return for each change the time until the last proxy had it."""
    platform = LatePlatform()
    platform.tables = tables = TimedTables()
    tables.committed_at = {}
    await platform.start()
    spread = Spread()
    proxies = [
        Follower(platform, spread, f"{seed}/{n}") for n in range(PROXIES)
    ]
    for proxy in proxies:
        await proxy.start()
    platform.faults.slow_seconds = slow_seconds
    platform.late_seconds = late_seconds
    last = await write_changes(tables, random.Random(seed))
    for proxy in proxies:
        await proxy.follower.wait_above(last - 1)
        await proxy.close()
    await platform.close()
    times = tables.committed_at
    return [max(spread.seen[v]) - times[v] for v in range(1, last + 1)]


async def write_changes(tables: TableStore, rng: random.Random) -> int:
    """Commit changes at random times; return the last version."""
    head = Head()
    row: Row | None = None
    for number in range(CHANGES):
        await asyncio.sleep(rng.uniform(0, PAUSE_SECONDS))
        body = {"spec": {"slotsPerServer": number + 1}}
        write = Write(Kind.DATABASE_GROUP, "g", body, "bench", str(number))
        version = head.version + 1
        change = Change(
            version, write.kind, "g", document=body, token=write.token
        )
        transaction = transaction_for(write, change, head, row)
        tables.transact(parse_transaction(attrs.asdict(transaction)))
        head = Head(version, None, 1, version)
        row = Row(write.key, body, version)
    return head.version


def vm_named(number: int) -> Vm:
    """Return the VM of a number."""
    name = f"vm-{number:04d}"
    address = f"10.20.{number // 250}.{number % 250}"
    return Vm(name, address, 7306, 8306, "north", "north-1")


async def add_vms(platform: Platform, store: StoreClient, count: int) -> None:
    """List VMs and write their lease rows."""
    for number in range(count):
        vm = vm_named(number)
        platform.list_vm(vm)
        reading = LeaseReading(vm.name, "0123456789abcdef", 1000, 15.0)
        value = encode_lease_row(reading, vm, "0" * 32)
        put = RowPut("vms", vm.name, value)
        await store.transact(Transaction(puts=(put,)))


def configuration_of(groups: int) -> Configuration:
    """Return a configuration of some groups with servers and rows."""
    entries: dict[tuple[str, str], Entry] = {}
    for number in range(groups):
        name = f"group-{number:04d}"
        rows: dict[tuple[Kind, str], dict[str, Any]] = {}
        rows[Kind.DATABASE_GROUP, name] = {"spec": {"slotsPerServer": 5}}
        for index in range(SERVERS_PER_GROUP):
            host = f"10.30.{number % 250}.{index}"
            spec: dict[str, Any] = {"group": name, "host": host, "port": 3306}
            rows[Kind.BACKEND_SERVER, f"{name}-{index}"] = {"spec": spec}
        rows[Kind.GROUP_ROW, name] = {
            "group": name,
            "term": 3,
            "phase": "active",
            "primary": f"{name}-0",
            "coordinator": "vm-0001",
            "writers": ["vm-0001", "vm-0002", "vm-0003"],
            "branch": {"starts": [{"term": 3, "offset": 1000}]},
        }
        for key, document in rows.items():
            version = len(entries) + 1
            entry = Entry(document, version, "bench", 1_800_000_000.0)
            entries[str(key[0]), key[1]] = entry
    return Configuration(version=len(entries), entries=entries)


async def add_groups(store: StoreClient, groups: int) -> int:
    """Put a snapshot of some groups in the store; return its bytes."""
    configuration = configuration_of(groups)
    data = encode_snapshot(configuration)
    await store.put_object("snapshots/bench", data)
    version = configuration.version
    head = Head(version, "snapshots/bench", version + 1)
    put = RowPut("head", "head", head.value())
    outcome = await store.transact(Transaction(puts=(put,)))
    if not isinstance(outcome, Committed):
        raise RuntimeError(f"not written: {outcome}")
    return len(data)


async def measure_cost(seed: int, vms: int, groups: int) -> dict[str, float]:
    """Return what one VM asks of the store at rest, and what it starts with."""
    platform = Platform()
    await platform.start()
    store = StoreClient(platform.url, rng=random.Random(seed), limits=UNBOUNDED)
    await store.start()
    await add_vms(platform, store, vms)
    snapshot_bytes = await add_groups(store, groups)
    timer = ManualTimer()
    rng = random.Random(seed)
    follower = ConfigurationFollower(store, timer, rng=rng)
    tracker = MembershipTracker(store, timer, vm_named(1), "boot", rng=rng)
    started = time.monotonic()
    await follower.start()
    ready_seconds = time.monotonic() - started
    await tracker.start()
    at_rest = attrs.evolve(store.traffic)
    processor = time.process_time()
    await timer.advance(SIMULATED_SECONDS)
    processor = time.process_time() - processor
    used = store.traffic
    found = {
        "vms": vms,
        "groups": groups,
        "reads_per_second": used.reads - at_rest.reads,
        "requests_per_second": used.requests - at_rest.requests,
        "bytes_sent_per_second": used.bytes_sent - at_rest.bytes_sent,
        "bytes_received_per_second": (
            used.bytes_received - at_rest.bytes_received
        ),
        "core_share_with_stand_in": processor,
    }
    for name in found.keys() - {"vms", "groups"}:
        found[name] = round(found[name] / SIMULATED_SECONDS, 5)
    found["start_seconds"] = round(ready_seconds, 3)
    found["snapshot_bytes"] = snapshot_bytes
    await store.close()
    await platform.close()
    return found


def total_bytes(cost: dict[str, float]) -> float:
    """Return the bytes per second in both directions."""
    sent = cost["bytes_sent_per_second"]
    return sent + cost["bytes_received_per_second"]


def slope(costs: list[dict[str, float]], by: str, figure: str) -> float:
    """Return the least-squares slope of a figure over a count."""
    x = [cost[by] for cost in costs]
    y = [
        total_bytes(cost) if figure == "bytes_per_second" else cost[figure]
        for cost in costs
    ]
    return statistics.linear_regression(x, y).slope


async def measure(seed: int) -> tuple[dict[str, Any], list[Check]]:
    """Return all figures and those with a target."""
    figures: dict[str, Any] = {"proxies": PROXIES, "changes": CHANGES}
    checks: list[Check] = []
    for name, (slow, late) in CASES.items():
        times = await measure_spread(seed, slow, late)
        figures[name] = {
            "median_seconds": round(statistics.median(times), 3),
            "max_seconds": round(max(times), 3),
        }
        target = f"< {TARGET_SECONDS:g} s"
        figure = round(max(times), 3)
        met = figure < TARGET_SECONDS
        checks.append(Check(f"{name}: max", figure, target, met))
    by_vms = [await measure_cost(seed, vms, 3) for vms in VM_COUNTS]
    by_groups = [await measure_cost(seed, 21, n) for n in GROUP_COUNTS]
    figures["by_vms"] = by_vms
    figures["by_groups"] = by_groups
    for by, costs in (("vms", by_vms), ("groups", by_groups)):
        for rate in ("reads_per_second", "bytes_per_second"):
            name = f"{rate}_per_{by.removesuffix('s')}"
            figures[name] = round(slope(costs, by, rate), 6)
    largest = round(total_bytes(by_vms[-1]), 1)
    met = largest <= BUDGET_BYTES_PER_SECOND
    checks.append(
        Check("bytes/s of one VM at 700 VMs", largest, "<= 5000", met)
    )
    return figures, checks


def run(seed: int) -> bool:
    """Run the benchmark and write its result."""
    figures, checks = asyncio.run(measure(seed))
    return bool(write_result("config_spread", seed, figures, checks))


def main() -> None:
    """Run from the command line."""
    raise SystemExit(0 if run(seed_argument(__doc__)) else 1)


if __name__ == "__main__":
    main()
