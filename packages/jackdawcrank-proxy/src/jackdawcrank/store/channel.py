"""HTTP requests to the store within time, rate and concurrency limits."""

import asyncio
import random
from collections.abc import Callable, Mapping

import aiohttp
import attrs

from jackdawcrank.store.breaker import CircuitBreaker
from jackdawcrank.store.limits import StoreLimits
from jackdawcrank.store.outcome import StoreUnavailable
from jackdawcrank.store.response import StoreResponse
from jackdawcrank.store.token_bucket import TokenBucket
from jackdawcrank.store.traffic import Traffic, header_bytes

SERVER_ERROR = 500
CHUNK_BYTES = 64 * 1024
TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


@attrs.frozen
class Request:
    """An HTTP request to the store.

    Attributes:
      method: The HTTP method.
      path: The path and query.
      seconds: The timeout, which is also the maximum age of the response.
      body: The body in bytes.
      headers: Additional header fields.
    """

    method: str
    path: str
    seconds: float
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)

    @property
    def reads(self) -> bool:
        """Return whether the request is a read."""
        return self.method == "GET"


@attrs.define
class Channel:
    """Sends requests within limits of time, rate and concurrency.

    A response is discarded after its deadline, even if it arrived in time
    and the process was paused before reading it from the buffer.

    Attributes:
      url: The store's base URL.
      clock: Returns monotonic seconds.
      rng: The random source of the jitter.
      limits: The limits.
      breaker: Blocks requests while the store is failing.
      rate_limit: Limits the requests per second.
      traffic: Counters of requests and responses.
      slots: Limits the requests in flight.
      session: The HTTP client; None unless started.
    """

    url: str
    clock: Callable[[], float]
    rng: random.Random
    limits: StoreLimits
    breaker: CircuitBreaker = attrs.field()
    rate_limit: TokenBucket = attrs.field()
    traffic: Traffic = attrs.field(factory=Traffic)
    slots: asyncio.Semaphore = attrs.field()
    session: aiohttp.ClientSession | None = None

    @breaker.default
    def new_breaker(self) -> CircuitBreaker:
        """Return a closed circuit breaker."""
        return CircuitBreaker(self.rng)

    @rate_limit.default
    def new_token_bucket(self) -> TokenBucket:
        """Return a full token bucket."""
        return TokenBucket(self.limits.per_second, self.limits.burst)

    @slots.default
    def new_slots(self) -> asyncio.Semaphore:
        """Return the semaphore for requests in flight."""
        return asyncio.Semaphore(self.limits.concurrency)

    async def start(self) -> None:
        """Open the HTTP client."""
        self.session = aiohttp.ClientSession(auto_decompress=False)

    async def close(self) -> None:
        """Close the HTTP client and its connections."""
        session, self.session = self.session, None
        if session is not None:
            await session.close()

    async def send(self, request: Request) -> StoreResponse | StoreUnavailable:
        """Send a request; hedge a slow read and retry a failed one."""
        deadline = self.clock() + request.seconds
        if not request.reads:
            return await self.attempt(request, deadline)
        first = asyncio.create_task(self.attempt(request, deadline))
        second = asyncio.create_task(self.send_hedge(first, request, deadline))
        try:
            return await first_response(first, second)
        finally:
            first.cancel()
            second.cancel()

    async def send_hedge(
        self,
        first: "asyncio.Task[StoreResponse | StoreUnavailable]",
        request: Request,
        deadline: float,
    ) -> StoreResponse | StoreUnavailable:
        """Send a read a second time if the first is slow or has failed.

        The second request uses another connection, so that a silent
        connection delays the read only by the hedge delay.
        """
        await asyncio.wait([first], timeout=self.limits.hedge_delay_seconds)
        if first.done():
            outcome = first.result()
            if isinstance(outcome, StoreResponse):
                return outcome
            pause = self.rng.uniform(0, self.limits.retry_delay_seconds)
            await asyncio.sleep(pause)
        return await self.attempt(request, deadline)

    async def attempt(
        self, request: Request, deadline: float
    ) -> StoreResponse | StoreUnavailable:
        """Send a request once if the limits allow it."""
        session = self.session
        if session is None:
            return StoreUnavailable(False, "the store client is closed")
        wait = self.rate_limit.take(self.clock(), deadline - self.clock())
        if wait is None:
            return StoreUnavailable(False, "too many requests to the store")
        if wait > 0:
            await asyncio.sleep(wait)
        try:
            async with asyncio.timeout(max(0.0, deadline - self.clock())):
                await self.slots.acquire()
        except TimeoutError:
            return StoreUnavailable(
                False, "too many requests to the store in flight"
            )
        try:
            if not self.breaker.allow_request(self.clock()):
                return StoreUnavailable(False, "the store has been failing")
            return await self.exchange_and_record(session, request, deadline)
        finally:
            self.slots.release()

    async def exchange_and_record(
        self,
        session: aiohttp.ClientSession,
        request: Request,
        deadline: float,
    ) -> StoreResponse | StoreUnavailable:
        """Send a request and record its outcome in the breaker."""
        try:
            outcome = await self.exchange(session, request, deadline)
        except asyncio.CancelledError:
            self.breaker.record_cancellation()
            raise
        if isinstance(outcome, StoreResponse):
            self.breaker.record_success()
        else:
            self.traffic.failures += 1
            self.breaker.record_failure(self.clock())
        return outcome

    async def exchange(
        self,
        session: aiohttp.ClientSession,
        request: Request,
        deadline: float,
    ) -> StoreResponse | StoreUnavailable:
        """Send a request and check its deadline and its status."""
        maybe_applied = not request.reads
        left = deadline - self.clock()
        if left <= 0:
            return StoreUnavailable(
                False, "the deadline passed before the request was sent"
            )
        self.traffic.requests += 1
        self.traffic.reads += request.reads
        try:
            async with asyncio.timeout(left):
                store_response = await self.transfer(session, request)
        except TRANSPORT_ERRORS as error:
            refused = isinstance(error, aiohttp.ClientConnectorError)
            detail = f"{type(error).__name__}: {error}".strip(": ")
            return StoreUnavailable(maybe_applied and not refused, detail)
        if self.clock() > deadline:
            return StoreUnavailable(
                maybe_applied, "the response came after the deadline"
            )
        if store_response.status >= SERVER_ERROR:
            detail = f"the store returned HTTP {store_response.status}"
            return StoreUnavailable(maybe_applied, detail)
        return store_response

    async def transfer(
        self, session: aiohttp.ClientSession, request: Request
    ) -> StoreResponse:
        """Send a request and read the complete response."""
        async with session.request(
            request.method,
            self.url + request.path,
            data=request.body or None,
            headers=request.headers,
        ) as response:
            body = await self.read_body(response)
            self.count(request, response, len(body))
            return StoreResponse(response.status, body, response.headers)

    def count(
        self, request: Request, response: aiohttp.ClientResponse, length: int
    ) -> None:
        """Count the bytes of a request and its response."""
        sent = header_bytes(response.request_info.headers.items())
        self.traffic.bytes_sent += sent + len(request.path) + len(request.body)
        received = header_bytes(response.raw_headers)
        self.traffic.bytes_received += received + length

    async def read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Read a response body.

        Raises:
          aiohttp.ClientPayloadError: The body exceeds the size limit.
        """
        chunks = bytearray()
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            chunks += chunk
            if len(chunks) > self.limits.max_body_bytes:
                raise aiohttp.ClientPayloadError(
                    "the response body is too large"
                )
        return bytes(chunks)


async def first_response(
    *attempts: "asyncio.Task[StoreResponse | StoreUnavailable]",
) -> StoreResponse | StoreUnavailable:
    """Return the first response of the attempts, or the last failure."""
    outcome: StoreResponse | StoreUnavailable = StoreUnavailable()
    for attempt in asyncio.as_completed(attempts):
        outcome = await attempt
        if isinstance(outcome, StoreResponse):
            break
    return outcome
