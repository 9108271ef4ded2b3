"""Adds up waits and refusals at servers, from plain log files."""

from jackdawcrank_cli.queues.capacity import Capacity, find_capacities
from jackdawcrank_cli.queues.server_queue import (
    QueueSum,
    ServerQueue,
    find_server_queues,
)

__all__ = [
    "Capacity",
    "QueueSum",
    "ServerQueue",
    "find_capacities",
    "find_server_queues",
]
