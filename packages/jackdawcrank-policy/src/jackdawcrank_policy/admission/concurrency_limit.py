"""Concurrency limit that keeps a home's share of the slots busy."""

import math

MAX_STATEMENTS_PER_SLOT = 8.0


def concurrency_limit(
    slots: int, request_seconds: float, round_trip: float, connections: int
) -> int:
    """Return how many statements a home should have in flight.

    A slot is idle while an answer and the next statement are on the network.
    By Little's law the limit therefore exceeds the slots in the ratio of a
    request's total time to its time at the server. Time spent queueing at the
    servers counts as service, so a limit that is too high corrects itself.

    Args:
      slots: The home's share of the slots of the servers that are serving.
      request_seconds: The mean time from admission to the answer in seconds.
      round_trip: The mean network round trip to the servers in seconds.
      connections: The home's share of the group's connections, which caps the
        result.
    """
    on_server = max(request_seconds - round_trip, 1e-9)
    per_slot = min(request_seconds / on_server, MAX_STATEMENTS_PER_SLOT)
    return min(connections, math.ceil(slots * max(1.0, per_slot)))
