"""Waits for the signals that end a process."""

import asyncio
import signal


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event
