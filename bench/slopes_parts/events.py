"""What single events cost at full size."""

from slopes_parts.capacity import (
    BUDGETS,
    CALLERS,
    GROUPS,
    HOMES_PER_GROUP,
    LOST_PER_DAY,
    ONE_VM,
    PEERS,
    RESTARTS_PER_DAY,
    ROW_CHANGES,
    STORE_READS,
    STORE_WRITES,
    VMS,
    Extrapolation,
    Line,
)
from slopes_parts.fit import Slope

DATA_CENTERS = 5
LOST_VMS = VMS / DATA_CENTERS
LEFT_VMS = VMS - LOST_VMS
LOST_SEATS = GROUPS * HOMES_PER_GROUP / DATA_CENTERS
LOST_PRIMARIES = GROUPS / DATA_CENTERS
VIEW_CHANGES_PER_DAY = 3 * (RESTARTS_PER_DAY + LOST_PER_DAY)
CPU_EACH = "processor time, s"
FIRST_HOMES = "first homes of 1,100 groups, s"
NO_CENTER = "homes of 1,100 groups without a data centre, s"
LOST = "data centre gone"
DAILY = "6 VMs lost and 150 restarted a day"


def extrapolate_events(slopes: list[Slope]) -> list[Line]:
    """Return what ordinary failures cost at full size.

    Args:
      slopes: Every measured slope.
    """
    events = Extrapolation(slopes)
    add_view_change(events)
    add_start(events)
    add_lost_data_center(events)
    return events.lines


def add_view_change(events: Extrapolation) -> None:
    """Add what each VM does when one VM comes or goes.

    Args:
      events: Takes the lines.
    """
    held = at_full_size(events, ONE_VM)
    event = "one VM comes or goes: the loop of every VM is held, s"
    events.put(event, "home choice", "view", held, 1)
    event = f"{DAILY}: processor time of each VM, s a day"
    events.put(event, "home choice", "view", held, VIEW_CHANGES_PER_DAY)
    event = f"{DAILY}: changes of group rows a day"
    events.put(event, "coordinator", "change", 1.0, ROW_CHANGES)


def at_full_size(events: Extrapolation, quantity: str) -> float:
    """Return a cost that is a line over the VMs, with all VMs.

    Args:
      events: Holds the slopes.
      quantity: The cost.
    """
    line = events.slopes["membership", "VM listed", quantity]
    return line.base + line.slope * VMS


def add_start(events: Extrapolation) -> None:
    """Add what a new VM loads.

    Args:
      events: Takes the lines.
    """
    role, unit = "configuration follower", "group declared"
    event = "a VM starts: snapshot, bytes"
    events.add(event, role, unit, "snapshot, bytes", GROUPS)
    event = "a VM starts: reading the snapshot, s"
    events.add(event, role, unit, "loading a snapshot, s", GROUPS)
    event = "a VM starts: the loop is held for the homes of all groups, s"
    held = at_full_size(events, FIRST_HOMES)
    events.put(event, "home choice", "view", held, 1)


def add_lost_data_center(events: Extrapolation) -> None:
    """Add what the loss of a data centre sets off.

    Args:
      events: Takes the lines.
    """
    event = f"{LOST}: the loop of every VM is held, s"
    held = at_full_size(events, NO_CENTER)
    events.put(event, "home choice", "view", held, 1)
    seats, primaries = LOST_SEATS, LOST_PRIMARIES
    event = f"{LOST}: changes of group rows"
    events.put(event, "home proxy", "home seat", 1.0, seats)
    events.put(event, "coordinator", "primary, two changes", 2.0, primaries)
    changes = seats + 2 * primaries
    for kind in ("reads", "writes"):
        line = events.slopes[
            "change log", "writer at the same moment", f"{kind} per change"
        ]
        cost = line.base + line.slope * LEFT_VMS
        event = f"{LOST}: {kind} of the store if all write at once"
        events.put(event, "change log", "change", cost, changes)
        event = f"{LOST}: time for them at the store's budget, s"
        per_second = BUDGETS[STORE_READS if kind == "reads" else STORE_WRITES]
        events.put(event, "store", kind, 1 / per_second, cost * changes)
    event = f"{LOST}: logins at each VM that is left"
    moved = CALLERS * LOST_VMS / LEFT_VMS
    events.put(event, "caller front", "caller that moves", 1.0, moved)
    event = f"{LOST}: processor time of these logins, s"
    events.add(event, "caller front", "login", CPU_EACH, moved)
    event = f"{LOST}: memory of their connections, bytes"
    unit = "idle caller connection"
    events.add(event, "caller front", unit, "memory, bytes", moved)
    event = f"{LOST}: streams that are dialed in vain"
    events.put(event, "peer streams", "peer", LOST_VMS / VMS, PEERS)
