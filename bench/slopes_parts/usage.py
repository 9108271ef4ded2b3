"""What this process has used so far."""

import gc
import os
import pathlib
import socket
import struct
import time
import tracemalloc

import attrs

DESCRIPTORS = pathlib.Path("/proc/self/fd")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TCP_INFO_BYTES = 232
TCP_COUNTS = struct.Struct("=QQII")
TCP_COUNTS_OFFSET = 120
# An IPv4 header and a TCP header with time stamps.
HEADER_BYTES = 52


@attrs.frozen
class Traffic:
    """What passed over some TCP connections, headers included.

    Attributes:
      sent: Bytes sent.
      received: Bytes received.
      packets: Packets in both directions.
    """

    sent: int = 0
    received: int = 0
    packets: int = 0

    @property
    def bytes(self) -> int:
        """Return the bytes of both directions."""
        return self.sent + self.received

    def __add__(self, other: "Traffic") -> "Traffic":
        return Traffic(
            self.sent + other.sent,
            self.received + other.received,
            self.packets + other.packets,
        )

    def __sub__(self, other: "Traffic") -> "Traffic":
        return Traffic(
            self.sent - other.sent,
            self.received - other.received,
            self.packets - other.packets,
        )


@attrs.frozen
class Usage:
    """Counters of this process.

    Attributes:
      wall: Seconds on the monotonic clock.
      cpu: Seconds of processor time.
      traffic: TCP traffic by the other end's port.
    """

    wall: float
    cpu: float
    traffic: dict[int, Traffic]

    def on(self, ports: set[int] | None = None) -> Traffic:
        """Return the traffic with some ports; with all by default.

        Args:
          ports: The other ends' ports.
        """
        total = Traffic()
        for port, traffic in self.traffic.items():
            if ports is None or port in ports:
                total += traffic
        return total


def begin_usage() -> Usage:
    """Return the counters at the start of a measurement."""
    traffic = read_traffic()
    return Usage(time.monotonic(), time.process_time(), traffic)


def end_usage() -> Usage:
    """Return the counters at the end of a measurement.

    The processor time is read first, so that reading the traffic is not
    part of what is measured.
    """
    wall, cpu = time.monotonic(), time.process_time()
    return Usage(wall, cpu, read_traffic())


def read_traffic() -> dict[int, Traffic]:
    """Return the traffic of this process by the other end's port."""
    traffic: dict[int, Traffic] = {}
    for port, counts in connections():
        traffic[port] = traffic.get(port, Traffic()) + counts
    return traffic


def connections() -> list[tuple[int, Traffic]]:
    """Return the port of the other end and the traffic of each socket."""
    found = []
    for entry in DESCRIPTORS.iterdir():
        if not is_socket(entry):
            continue
        borrowed = socket.socket(fileno=int(entry.name))
        try:
            found.append((borrowed.getpeername()[1], tcp_traffic(borrowed)))
        except (OSError, IndexError):
            continue
        finally:
            borrowed.detach()
    return found


def is_socket(entry: pathlib.Path) -> bool:
    """Return whether a descriptor is a socket.

    Args:
      entry: The descriptor's entry in the list of this process.
    """
    try:
        return os.readlink(entry).startswith("socket:")
    except OSError:
        return False


def tcp_traffic(connection: socket.socket) -> Traffic:
    """Return what the kernel counted on a TCP connection.

    Args:
      connection: The socket.
    """
    info = connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
    )
    acked, received, packets_out, packets_in = TCP_COUNTS.unpack_from(
        info, TCP_COUNTS_OFFSET
    )
    return Traffic(
        acked + HEADER_BYTES * packets_out,
        received + HEADER_BYTES * packets_in,
        packets_out + packets_in,
    )


def memory_bytes() -> int:
    """Return the resident memory of this process after a collection."""
    gc.collect()
    statm = pathlib.Path("/proc/self/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES


class HeapMeter:
    """Counts the bytes of objects that are made while it is open.

    For state too small to show in the resident memory. It slows the process
    down, so nothing else is measured meanwhile.
    """

    def __enter__(self) -> "HeapMeter":
        gc.collect()
        tracemalloc.start()
        return self

    def __exit__(self, *_: object) -> None:
        tracemalloc.stop()

    def bytes(self) -> float:
        """Return the bytes of the objects that are still there."""
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0])
