"""The command that runs an embedded system."""

import json
import pathlib

from jackdawcrank.commands.stop_signal import stop_event
from jackdawcrank.embedded import EmbeddedOptions, EmbeddedSystem
from jackdawcrank.embedded.platform_system import PlatformSystem

EXIT_OK = 0


async def run_embedded(
    options: EmbeddedOptions, ready_file: pathlib.Path | None
) -> int:
    """Run proxies and stand-ins until SIGTERM or SIGINT.

    Args:
      options: The size and behavior of the system.
      ready_file: The JSON file to write once the system is ready.

    Returns:
      The exit status.
    """
    return await run_until_stopped(EmbeddedSystem(options), ready_file)


async def run_until_stopped(
    system: EmbeddedSystem | PlatformSystem, ready_file: pathlib.Path | None
) -> int:
    """Run a system until SIGTERM or SIGINT.

    Args:
      system: The system.
      ready_file: The JSON file to write once the system is ready.

    Returns:
      The exit status.
    """
    stop = stop_event()
    await system.start()
    if ready_file is not None:
        _write_atomically(ready_file, json.dumps(system.describe(), indent=2))
    await stop.wait()
    await system.drain()
    return EXIT_OK


def _write_atomically(path: pathlib.Path, text: str) -> None:
    """Replace a file atomically, so that no reader sees partial text."""
    partial = path.with_name(path.name + ".partial")
    partial.write_text(text + "\n", encoding="utf-8")
    partial.replace(path)
