"""Ports for servers that are started after their port is chosen."""

import os
import socket
from collections.abc import Iterator

HOST = "127.0.0.1"
# Below the kernel's ephemeral port range: an outgoing connection could otherwise
# take a port between its selection here and its use.
FIRST_PORT = 20_000
LAST_PORT = 32_000
BLOCK_SIZE = 100
# A process reuses its own blocks after these, so that long runs leave blocks to
# others.
MAX_BLOCKS = 12


class PortBlocks:
    """Blocks of ports that no other process chooses ports from.

    A block is reserved by binding the UDP socket with its first number, which
    the kernel releases when the process ends. Without the reservation, parallel
    test processes choose the same port between its selection and its use.

    Attributes:
      reservations: The sockets that reserve the blocks.
      ports: The ports in the order in which they are offered.
    """

    def __init__(self) -> None:
        self.reservations: list[socket.socket] = []
        self.ports = self.offered()

    def offered(self) -> Iterator[int]:
        """Yield the ports of the reserved blocks, endlessly."""
        for first in self.reserved():
            yield from range(first, first + BLOCK_SIZE)
        while self.reservations:
            for reservation in self.reservations:
                first = reservation.getsockname()[1]
                yield from range(first, first + BLOCK_SIZE)
        raise OSError("every block of ports is reserved by other processes")

    def reserved(self) -> Iterator[int]:
        """Reserve blocks one by one and yield their first ports."""
        blocks = range(FIRST_PORT, LAST_PORT, BLOCK_SIZE)
        # Processes start at different blocks, so that they seldom collide.
        start = os.getpid() % len(blocks)
        for first in (*blocks[start:], *blocks[:start]):
            if len(self.reservations) == MAX_BLOCKS:
                return
            reservation = socket.socket(type=socket.SOCK_DGRAM)
            try:
                reservation.bind((HOST, first))
            except OSError:
                reservation.close()
                continue
            self.reservations.append(reservation)
            yield first

    def close(self) -> None:
        """Release the blocks."""
        for reservation in self.reservations:
            reservation.close()
        self.reservations = []


blocks = PortBlocks()


def free_ports(count: int) -> list[int]:
    """Return distinct ports on which no process listens.

    Args:
      count: Number of ports.

    Raises:
      OSError: Every block of ports is reserved by other processes.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(blocks.ports)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                # Another process listens on this port.
                continue
        ports.append(port)
    return ports
