"""The command that runs the proxy of one VM."""

import asyncio

from absl import logging

from jackdawcrank.commands.stop_signal import stop_event
from jackdawcrank.process import Proxy
from jackdawcrank_wire.settings import Settings

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 3


async def run_proxy(settings: Settings) -> int:
    """Run until a signal or an operator stops the process.

    Args:
      settings: The settings of this VM.

    Returns:
      The exit status.
    """
    stop = stop_event()
    proxy = Proxy(settings)
    try:
        await proxy.start()
    except OSError as error:
        logging.error("cannot listen: %s", error)
        await proxy.close()
        return EXIT_CANNOT_LISTEN
    logging.info("ready vm=%s port=%d", settings.vm, proxy.front.port)
    tasks = [
        asyncio.create_task(stop.wait()),
        asyncio.create_task(proxy.stopped.wait()),
    ]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    await proxy.drain("signal")
    await proxy.stopped.wait()
    for task in tasks:
        task.cancel()
    return EXIT_OK
