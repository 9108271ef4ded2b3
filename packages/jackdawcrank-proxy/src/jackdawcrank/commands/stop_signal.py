"""Handling of the signals that stop a process."""

import asyncio
import signal


def stop_event() -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event
