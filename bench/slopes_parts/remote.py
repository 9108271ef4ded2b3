"""Another process that plays the other end of a measurement."""

import asyncio
import collections.abc
import json
import pathlib
import sys
from typing import Any

BENCH = pathlib.Path(__file__).parent.parent
LINE_BYTES = 1024 * 1024

Handler = collections.abc.Callable[
    [dict[str, Any]], collections.abc.Awaitable[dict[str, Any]]
]


class Remote:
    """Starts a module in a process of its own and sends it requests."""

    def __init__(self, module: str) -> None:
        self.module = module
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"slopes_parts.{self.module}",
            cwd=BENCH,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_BYTES,
        )

    async def ask(self, **request: Any) -> dict[str, Any]:
        """Send a request and return its answer.

        Args:
          **request: The request; `do` names it.
        """
        assert self.process
        assert self.process.stdin
        assert self.process.stdout
        self.process.stdin.write(json.dumps(request).encode() + b"\n")
        answer = await self.process.stdout.readline()
        if not answer:
            raise RuntimeError(f"{self.module} ended")
        return dict(json.loads(answer))

    async def close(self) -> None:
        """End the process by closing its input."""
        assert self.process
        assert self.process.stdin
        self.process.stdin.close()
        await self.process.wait()


async def serve(handlers: dict[str, Handler]) -> None:
    """Answer requests on standard input until it is closed.

    Args:
      handlers: The handler of each request by its name.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_BYTES)
    protocol = asyncio.StreamReaderProtocol(reader)
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await reader.readline():
        request = json.loads(line)
        answer = await handlers[request.pop("do")](request)
        print(json.dumps(answer), flush=True)
