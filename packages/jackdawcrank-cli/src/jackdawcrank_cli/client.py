"""HTTP client for the resource APIs of the proxies."""

import asyncio
import getpass
import json
from collections.abc import AsyncIterator, Mapping
from types import TracebackType
from typing import Any, Self

import aiohttp
import attrs

from jackdawcrank_cli.config import CliConfig
from jackdawcrank_cli.exit_codes import ExitCode
from jackdawcrank_cli.failure import CommandFailed, failure_from

ATTEMPTS = 3
RETRY_SECONDS = 0.5
MIN_ERROR_STATUS = 400
UNAVAILABLE = 503
MAX_LINE_BYTES = 1024 * 1024
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


@attrs.frozen
class Answer:
    """A response of a proxy.

    Attributes:
      status: The HTTP status.
      document: The decoded JSON body.
    """

    status: int
    document: Any

    @property
    def is_error(self) -> bool:
        """Return whether the status is 400 or higher."""
        return self.status >= MIN_ERROR_STATUS


class Client:
    """Sends requests to the first proxy that answers.

    Every request is idempotent, so it is retried if its answer was lost.

    Attributes:
      config: The settings of the command line.
      session: The HTTP client.
    """

    def __init__(self, config: CliConfig) -> None:
        self.config = config
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        headers = {"Jackdawcrank-Actor": user_name()}
        token = self.config.bearer_token()
        if token:
            headers["Authorization"] = f"Bearer {token}"
        self.session = aiohttp.ClientSession(
            headers=headers, read_bufsize=MAX_LINE_BYTES
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.session is not None:
            await self.session.close()

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a request and return its answer, including error answers.

        Raises:
          CommandFailed: No proxy answered.
        """
        last_error = ""
        answer = None
        for attempt in range(ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_SECONDS * attempt)
            for server in self.config.servers:
                try:
                    answer = await self.send(
                        method, server + path, body, headers
                    )
                except CONNECTION_ERRORS as error:
                    last_error = (
                        f"{server}: {type(error).__name__} {error}".strip()
                    )
                    continue
                if answer.status != UNAVAILABLE:
                    return answer
        if answer is not None:
            return answer
        raise CommandFailed(
            f"no proxy answered; {last_error}\n"
            "What to do: check --server and that the proxy runs",
            ExitCode.UNAVAILABLE,
        )

    async def send(
        self,
        method: str,
        url: str,
        body: Any,
        headers: Mapping[str, str] | None,
    ) -> Answer:
        """Send a request to one proxy."""
        assert self.session is not None, "the client is not open"
        client_timeout = aiohttp.ClientTimeout(total=self.config.timeout)
        async with self.session.request(
            method, url, json=body, headers=headers, timeout=client_timeout
        ) as response:
            text = await response.text()
            return Answer(response.status, parse_json(text))

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Send a request and return the JSON value of its answer.

        Raises:
          CommandFailed: No proxy answered, or the answer is an error.
        """
        answer = await self.request(method, path, body, headers)
        if answer.is_error:
            raise failure_from(answer.status, answer.document)
        return answer.document

    async def lines(self, url: str) -> AsyncIterator[str]:
        """Yield the lines of a stream until it ends.

        Raises:
          CommandFailed: The answer is an error.
          aiohttp.ClientError: The connection broke.
        """
        assert self.session is not None, "the client is not open"
        client_timeout = aiohttp.ClientTimeout(sock_connect=self.config.timeout)
        async with self.session.get(url, timeout=client_timeout) as response:
            if response.status >= MIN_ERROR_STATUS:
                text = await response.text()
                raise failure_from(response.status, parse_json(text))
            async for line in response.content:
                yield line.decode()


def parse_json(text: str) -> Any:
    """Return the decoded JSON; an error object if the text is invalid."""
    try:
        return json.loads(text)
    except ValueError:
        return {"error": {"message": text[:200] or "an empty answer"}}


def user_name() -> str:
    """Return the operating system user; empty if it is unknown."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
