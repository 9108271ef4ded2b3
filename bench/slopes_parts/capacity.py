"""Extrapolation of the measured slopes to full size."""

import attrs

from jackdawcrank.config.follower import HEAD_READ_SECONDS
from jackdawcrank.membership import intervals
from jackdawcrank.metrics import FLUSH_INTERVAL_SECONDS
from jackdawcrank.process.proxy import VERSION_GOSSIP_FANOUT
from report import Check
from slopes_parts.fit import Slope

VMS = 700
GROUPS = 1100
CALLER_CONNECTIONS = 2_600_000
STATEMENTS_PER_SECOND = 550_000
CHANGES_PER_DAY = 1400
PROMOTIONS_PER_DAY = 3
RESTARTS_PER_DAY = 150
LOST_PER_DAY = 6
HOMES_PER_GROUP = 3
# Five slots on each of three servers.
WARM_CONNECTIONS = 15
KEPT_EVENTS = 20_000
READ_SHARE = 0.8
SECONDS_PER_DAY = 86_400

PEERS = VMS - 1
CALLERS = CALLER_CONNECTIONS / VMS
STATEMENTS = STATEMENTS_PER_SECOND / VMS
HOMED = GROUPS * HOMES_PER_GROUP / VMS
COORDINATED = GROUPS / VMS
# A VM that goes and comes back moves its homes twice; a promotion writes two
# rows.
ROW_CHANGES = 2 * HOMED * (RESTARTS_PER_DAY + LOST_PER_DAY)
CHANGE_RATE = (
    CHANGES_PER_DAY + ROW_CHANGES + 2 * PROMOTIONS_PER_DAY
) / SECONDS_PER_DAY
# Leaving, gone and back.
VIEW_RATE = 3 * (RESTARTS_PER_DAY + LOST_PER_DAY) / SECONDS_PER_DAY
LIST_SECONDS = intervals.list_interval_seconds(VMS)
PAGE_SECONDS = intervals.page_interval_seconds(intervals.PAGE_ROWS)

MEMORY = "memory, bytes"
CPU = "control, processor time, s/s"
TRAFFIC = "control, traffic, bytes/s"
CALLER_CPU = "callers, processor time, s/s"
CALLER_TRAFFIC = "callers, traffic, bytes/s"
STORE_READS = "store, reads/s of all VMs"
STORE_WRITES = "store, writes/s of all VMs"

BUDGETS = {
    MEMORY: 256e6,
    CPU: 0.036,
    TRAFFIC: 5000.0,
    STORE_READS: 2000.0,
    STORE_WRITES: 300.0,
}

CPU_RATE = "processor time, s/s"
CPU_EACH = "processor time, s"
ONE_VM = "homes of 1,100 groups after one VM, s"


@attrs.frozen
class Line:
    """What one role costs a VM, or the store, at full size.

    Attributes:
      resource: What is paid.
      role: Who pays.
      unit: What there is more of.
      slope: The measured cost per unit.
      size: The number of units.
      amount: Their product.
    """

    resource: str
    role: str
    unit: str
    slope: float
    size: float
    amount: float


class Extrapolation:
    """Multiplies slopes by sizes."""

    def __init__(self, slopes: list[Slope]) -> None:
        self.slopes = {(s.role, s.unit, s.quantity): s for s in slopes}
        self.lines: list[Line] = []

    def add(
        self, resource: str, role: str, unit: str, quantity: str, size: float
    ) -> None:
        """Add a slope times a size.

        Args:
          resource: What is paid.
          role: The slope's role.
          unit: The slope's unit.
          quantity: The slope's quantity.
          size: The number of units, per second where the slope is per event.
        """
        slope = self.slopes[role, unit, quantity].slope
        self.put(resource, role, unit, slope, size)

    def add_step(
        self, resource: str, quantity: str, seconds: float, size: float = VMS
    ) -> None:
        """Add a periodic step whose cost is a line over the VMs.

        Args:
          resource: What is paid.
          quantity: The step's quantity.
          seconds: The time between two steps.
          size: The number of VMs that the step covers.
        """
        line = self.slopes["membership", "VM listed", quantity]
        cost = line.base + line.slope * size
        step = quantity.rpartition(",")[0].removesuffix(", processor time")
        step = step.removesuffix(", store traffic")
        self.put(resource, "membership", f"{step}, per s", cost, 1 / seconds)

    def put(
        self, resource: str, role: str, unit: str, slope: float, size: float
    ) -> None:
        """Add a line.

        Args:
          resource: What is paid.
          role: Who pays.
          unit: What there is more of.
          slope: The cost per unit.
          size: The number of units.
        """
        self.lines.append(Line(resource, role, unit, slope, size, slope * size))


def extrapolate(slopes: list[Slope]) -> list[Line]:
    """Return what each role costs at full size.

    Args:
      slopes: Every measured slope.
    """
    full = Extrapolation(slopes)
    add_memory(full)
    add_coordination(full)
    add_configuration(full)
    add_notices(full)
    add_membership(full)
    add_recording(full)
    add_callers(full)
    add_store(full)
    return full.lines


def add_memory(full: Extrapolation) -> None:
    """Add the memory of a VM.

    Args:
      full: Takes the lines.
    """
    home = full.slopes["home proxy", "group homed", MEMORY]
    full.put(MEMORY, "process", "proxy without groups", home.base, 1)
    full.add(MEMORY, "home proxy", "group homed", MEMORY, HOMED)
    full.add(MEMORY, "coordinator", "group coordinated", MEMORY, COORDINATED)
    full.add(MEMORY, "caller front", "idle caller connection", MEMORY, CALLERS)
    full.add(MEMORY, "peer streams", "open stream", MEMORY, PEERS)
    full.add(MEMORY, "configuration follower", "group declared", MEMORY, GROUPS)
    full.add(MEMORY, "membership", "VM listed", MEMORY, VMS)
    full.add(MEMORY, "time line", "event", MEMORY, KEPT_EVENTS)
    full.add(MEMORY, "metrics", "group with metrics", MEMORY, GROUPS)


def add_coordination(full: Extrapolation) -> None:
    """Add what homes and coordinators do.

    Args:
      full: Takes the lines.
    """
    backend = "backend traffic, bytes/s"
    full.add(CPU, "home proxy", "group homed", CPU_RATE, HOMED)
    full.add(CPU, "coordinator", "group coordinated", CPU_RATE, COORDINATED)
    full.add(TRAFFIC, "home proxy", "group homed", backend, HOMED)
    full.add(TRAFFIC, "coordinator", "group coordinated", backend, COORDINATED)
    warm = WARM_CONNECTIONS * HOMED
    full.add(TRAFFIC, "home proxy", "warm backend connection", backend, warm)


def add_configuration(full: Extrapolation) -> None:
    """Add what following the configuration does.

    Args:
      full: Takes the lines.
    """
    role = "configuration follower"
    head, change = "read of the head", "change written and followed"
    reads = 1 / HEAD_READ_SECONDS
    store = "store traffic, bytes"
    full.add(CPU, role, head, CPU_EACH, reads)
    full.add(TRAFFIC, role, head, store, reads)
    full.add(CPU, role, change, CPU_EACH, CHANGE_RATE)
    full.add(TRAFFIC, role, change, store, CHANGE_RATE)
    per_change = "processor time per change, s"
    full.add(CPU, role, "group declared", per_change, GROUPS * CHANGE_RATE)


def add_notices(full: Extrapolation) -> None:
    """Add the notices of a new version, which every VM sends to some peers.

    Args:
      full: Takes the lines.
    """
    unit = "open stream, per notice to all"
    # Each VM sends as many notices as it gets.
    size = 2 * VERSION_GOSSIP_FANOUT * CHANGE_RATE
    for resource, quantity in (
        (CPU, "notice, processor time, s"),
        (TRAFFIC, "notice, traffic, bytes"),
    ):
        full.add(resource, "peer streams", unit, quantity, size)


def add_membership(full: Extrapolation) -> None:
    """Add what following the membership does.

    Args:
      full: Takes the lines.
    """
    cpu, traffic = "processor time, s", "store traffic, bytes"
    renew = "lease renewal"
    full.add_step(CPU, f"{renew}, {cpu}", intervals.LEASE_RENEW_SECONDS)
    full.add_step(TRAFFIC, f"{renew}, {traffic}", intervals.LEASE_RENEW_SECONDS)
    full.add_step(CPU, f"page of lease rows, {cpu}", PAGE_SECONDS)
    full.add_step(TRAFFIC, f"page of lease rows, {traffic}", PAGE_SECONDS)
    full.add_step(CPU, f"evaluation, {cpu}", intervals.EVALUATE_SECONDS)
    full.add_step(CPU, f"VM list, {cpu}", LIST_SECONDS)
    full.add_step(TRAFFIC, f"VM list, {traffic}", LIST_SECONDS)
    full.add_step(CPU, ONE_VM, 1 / VIEW_RATE)


def add_recording(full: Extrapolation) -> None:
    """Add what metrics send.

    Args:
      full: Takes the lines.
    """
    flushes = 1 / FLUSH_INTERVAL_SECONDS
    for resource, quantity in (
        (CPU, "processor time per flush, s"),
        (TRAFFIC, "sent per flush, bytes"),
    ):
        line = full.slopes["metrics", "group with metrics", quantity]
        cost = line.base + line.slope * GROUPS
        full.put(resource, "metrics", "flush, per s", cost, flushes)


def add_callers(full: Extrapolation) -> None:
    """Add what callers' statements cost, which is not control.

    Args:
      full: Takes the lines.
    """
    statement, forwarded = "statement", "forwarded statement"
    full.add(CALLER_CPU, "caller front", statement, CPU_EACH, STATEMENTS)
    for end in ("entry's end of a stream", "home's end of a stream"):
        full.add(CALLER_CPU, end, forwarded, CPU_EACH, STATEMENTS)
    reads, writes = STATEMENTS * READ_SHARE, STATEMENTS * (1 - READ_SHARE)
    full.add(CALLER_CPU, "home proxy", "read", CPU_EACH, reads)
    full.add(CALLER_CPU, "home proxy", "write", CPU_EACH, writes)
    traffic = "traffic, bytes"
    full.add(CALLER_TRAFFIC, "caller front", statement, traffic, STATEMENTS)
    # Once as the entry's end and once as the home's.
    passes = 2 * STATEMENTS
    full.add(CALLER_TRAFFIC, "peer streams", forwarded, traffic, passes)
    backend = "backend traffic, bytes"
    full.add(CALLER_TRAFFIC, "home proxy", "read", backend, reads)
    full.add(CALLER_TRAFFIC, "home proxy", "write", backend, writes)


def add_store(full: Extrapolation) -> None:
    """Add the store's requests, whose number the intervals set.

    Args:
      full: Takes the lines.
    """
    reads = {
        "head of the change log": HEAD_READ_SECONDS,
        "page of lease rows": PAGE_SECONDS,
        "VM list": LIST_SECONDS,
    }
    for unit, seconds in reads.items():
        full.put(STORE_READS, "every VM", unit, 1 / seconds, VMS)
    renewals = 1 / intervals.LEASE_RENEW_SECONDS
    full.put(STORE_WRITES, "every VM", "lease renewal", renewals, VMS)
    change = "change followed, one read by each VM"
    full.put(STORE_READS, "every VM", change, CHANGE_RATE, VMS)
    full.put(STORE_WRITES, "change log", "change", CHANGE_RATE, 1)


def totals(lines: list[Line]) -> dict[str, float]:
    """Return the sum of each resource.

    Args:
      lines: The lines.
    """
    sums: dict[str, float] = {}
    for line in lines:
        sums[line.resource] = sums.get(line.resource, 0.0) + line.amount
    return sums


def check_budgets(lines: list[Line]) -> list[Check]:
    """Return each sum beside its budget.

    Args:
      lines: The lines.
    """
    sums = totals(lines)
    return [
        Check(
            f"extrapolated to full size: {resource}",
            sums[resource],
            f"at most {budget:g}",
            sums[resource] <= budget,
        )
        for resource, budget in BUDGETS.items()
    ]
