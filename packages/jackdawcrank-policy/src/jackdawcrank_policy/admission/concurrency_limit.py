"""How many statements at once keep a home's part of the slots busy."""

import math

MAX_STATEMENTS_PER_SLOT = 8.0


def concurrency_limit(
    slots: int, request_seconds: float, round_trip: float, connections: int
) -> int:
    """Return the statements that a home should have on its way at once.

    While an answer and the next statement travel, a slot stands idle. So by
    Little's law the limit is above the slots by the share of the time that a
    request spends on the network. Waiting at the servers counts as service,
    so a limit that is too high brings itself down.

    Args:
      slots: The home's part of the slots of the servers that are serving.
      request_seconds: The mean time from admission to the answer.
      round_trip: The mean network round trip to the servers in seconds.
      connections: The home's part of the group's connections.
    """
    on_server = max(request_seconds - round_trip, 1e-9)
    per_slot = min(request_seconds / on_server, MAX_STATEMENTS_PER_SLOT)
    return min(connections, math.ceil(slots * max(1.0, per_slot)))
