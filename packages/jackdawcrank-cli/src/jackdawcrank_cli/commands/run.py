"""Runs the coroutine of a command with an open client."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from jackdawcrank_cli.client import Client
from jackdawcrank_cli.config import CliConfig

T = TypeVar("T")


def run(config: CliConfig, body: Callable[[Client], Awaitable[T]]) -> T:
    """Run a coroutine with an open client and return its result."""

    async def with_client() -> T:
        async with Client(config) as client:
            return await body(client)

    return asyncio.run(with_client())
