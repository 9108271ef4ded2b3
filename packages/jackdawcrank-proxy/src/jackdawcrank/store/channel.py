"""Bounded HTTP requests to the store."""

import asyncio
import random
from collections.abc import Callable, Mapping

import aiohttp
import attrs

from jackdawcrank.store.answer import Answer
from jackdawcrank.store.breaker import CircuitBreaker
from jackdawcrank.store.limits import StoreLimits
from jackdawcrank.store.outcome import StoreUnavailable
from jackdawcrank.store.rate_limit import RateLimit
from jackdawcrank.store.traffic import Traffic

SERVER_ERROR = 500
RETRY_PAUSE_SECONDS = 0.1
CHUNK_BYTES = 64 * 1024
LIBRARY_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


@attrs.frozen
class Request:
    """An HTTP request to the store.

    Attributes:
      method: The HTTP method.
      path: The path and query.
      seconds: How long it may take, and how old its answer may be.
      body: The body's bytes.
      headers: Further header fields.
    """

    method: str
    path: str
    seconds: float
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)

    @property
    def reads(self) -> bool:
        """Return whether the request changes nothing."""
        return self.method == "GET"


@attrs.define
class Channel:
    """Sends requests within bounds of time, rate and concurrency.

    An answer that came later than its bound is never passed on, also if the
    process was paused while it lay in a buffer.

    Attributes:
      url: The store's base URL.
      clock: Monotonic seconds.
      rng: The source of jitter.
      limits: The bounds.
      breaker: Stops requests while the store does not answer.
      rate: Bounds the requests per second.
      traffic: What was sent and received.
      slots: Bounds the requests under way.
      session: The HTTP client; None unless started.
    """

    url: str
    clock: Callable[[], float]
    rng: random.Random
    limits: StoreLimits
    breaker: CircuitBreaker = attrs.field()
    rate: RateLimit = attrs.field()
    traffic: Traffic = attrs.field(factory=Traffic)
    slots: asyncio.Semaphore = attrs.field()
    session: aiohttp.ClientSession | None = None

    @breaker.default
    def closed_breaker(self) -> CircuitBreaker:
        """Return a breaker that lets requests through."""
        return CircuitBreaker(self.rng)

    @rate.default
    def full_rate(self) -> RateLimit:
        """Return an unused rate limit."""
        return RateLimit(self.limits.per_second, self.limits.burst)

    @slots.default
    def free_slots(self) -> asyncio.Semaphore:
        """Return the slots for requests under way."""
        return asyncio.Semaphore(self.limits.concurrency)

    async def start(self) -> None:
        """Open the HTTP client."""
        self.session = aiohttp.ClientSession(auto_decompress=False)

    async def close(self) -> None:
        """Close the HTTP client and its connections."""
        session, self.session = self.session, None
        if session is not None:
            await session.close()

    async def send(self, request: Request) -> Answer | StoreUnavailable:
        """Send a request; a read is sent again while its time lasts."""
        attempts = self.limits.read_attempts if request.reads else 1
        deadline = self.clock() + request.seconds
        outcome = await self.attempt(request, deadline)
        for attempt in range(1, attempts):
            if isinstance(outcome, Answer):
                break
            pause = self.rng.uniform(0, RETRY_PAUSE_SECONDS * 2**attempt)
            if self.clock() + pause >= deadline:
                break
            await asyncio.sleep(pause)
            outcome = await self.attempt(request, deadline)
        return outcome

    async def attempt(
        self, request: Request, deadline: float
    ) -> Answer | StoreUnavailable:
        """Send a request once, if the bounds allow it."""
        session = self.session
        if session is None:
            return StoreUnavailable(False, "the store client is closed")
        wait = self.rate.take(self.clock(), deadline - self.clock())
        if wait is None:
            return StoreUnavailable(False, "too many requests to the store")
        if wait > 0:
            await asyncio.sleep(wait)
        async with self.slots:
            if not self.breaker.allows(self.clock()):
                return StoreUnavailable(False, "the store has been failing")
            return await self.judged(session, request, deadline)

    async def judged(
        self,
        session: aiohttp.ClientSession,
        request: Request,
        deadline: float,
    ) -> Answer | StoreUnavailable:
        """Send a request and tell the breaker what became of it."""
        try:
            outcome = await self.exchange(session, request, deadline)
        except asyncio.CancelledError:
            self.breaker.abandoned()
            raise
        if isinstance(outcome, Answer):
            self.breaker.succeeded()
        else:
            self.traffic.failures += 1
            self.breaker.failed(self.clock())
        return outcome

    async def exchange(
        self,
        session: aiohttp.ClientSession,
        request: Request,
        deadline: float,
    ) -> Answer | StoreUnavailable:
        """Send a request and judge its answer."""
        maybe_applied = not request.reads
        left = deadline - self.clock()
        if left <= 0:
            return StoreUnavailable(False, "no time was left to send")
        self.traffic.requests += 1
        self.traffic.reads += request.reads
        self.traffic.bytes_sent += len(request.body)
        try:
            async with asyncio.timeout(left):
                answer = await self.transfer(session, request)
        except LIBRARY_ERRORS as error:
            refused = isinstance(error, aiohttp.ClientConnectorError)
            detail = f"{type(error).__name__}: {error}".strip(": ")
            return StoreUnavailable(maybe_applied and not refused, detail)
        self.traffic.bytes_received += len(answer.body)
        if self.clock() > deadline:
            return StoreUnavailable(maybe_applied, "the answer came too late")
        if answer.status >= SERVER_ERROR:
            detail = f"the store answered {answer.status}"
            return StoreUnavailable(maybe_applied, detail)
        return answer

    async def transfer(
        self, session: aiohttp.ClientSession, request: Request
    ) -> Answer:
        """Send a request and read the whole answer."""
        async with session.request(
            request.method,
            self.url + request.path,
            data=request.body or None,
            headers=request.headers,
        ) as response:
            body = await self.read_body(response)
            return Answer(response.status, body, response.headers)

    async def read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Read an answer's body up to the largest size allowed."""
        chunks = bytearray()
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            chunks += chunk
            if len(chunks) > self.limits.max_body_bytes:
                raise aiohttp.ClientPayloadError("the answer is too large")
        return bytes(chunks)
