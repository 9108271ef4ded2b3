"""Admission of statements to the concurrency slots of a group."""

import asyncio
import itertools
from collections.abc import Callable, Iterable

from jackdawcrank_policy.admission import (
    AdmissionRequest,
    Admitted,
    GroupAdmission,
    Queued,
    Refused,
)
from jackdawcrank_policy.values import NotRun

EXPIRY_CHECK_SECONDS = 0.02


class AdmissionGate:
    """Queues statements and applies a group's admission decisions to them.

    Attributes:
      admission: Decides which statements are admitted, queued or refused.
      clock: Returns the monotonic time in seconds.
      numbers: The source of request numbers.
      waiters: The futures of queued statements by request number. A result
        of None means that the statement is admitted.
      expiry_scheduled: Whether the next expiry check is scheduled.
    """

    def __init__(
        self, admission: GroupAdmission, clock: Callable[[], float]
    ) -> None:
        self.admission = admission
        self.clock = clock
        self.numbers = itertools.count(1)
        self.waiters: dict[int, asyncio.Future[NotRun | None]] = {}
        self.expiry_scheduled = False

    async def enter(
        self, caller: str, caller_class: str, weight: int, deadline: float
    ) -> int | NotRun:
        """Wait for a slot.

        Args:
          caller: The name of the caller.
          caller_class: The name of the caller class.
          weight: The weight of the caller class.
          deadline: The caller's deadline in seconds on the monotonic clock.

        Returns:
          The number of the slot, to be passed to `leave`, or the refusal.
        """
        request = AdmissionRequest(
            next(self.numbers), caller, deadline, caller_class, weight
        )
        decision = self.admission.offer(request, self.clock())
        if isinstance(decision, NotRun):
            return decision
        if isinstance(decision, Admitted):
            return request.number
        return await self._wait(request, decision)

    def enter_over_limit(self, caller: str) -> int:
        """Take a slot regardless of the limit, for an open transaction.

        Args:
          caller: The name of the caller.

        Returns:
          The number of the slot, to be passed to `leave`.
        """
        now = self.clock()
        request = AdmissionRequest(next(self.numbers), caller, now)
        self.admission.admit(request, now)
        return request.number

    def leave(self, number: int) -> None:
        """Release a slot.

        Args:
          number: The number that `enter` or `enter_over_limit` returned.
        """
        self._deliver(self.admission.finish(number, self.clock()))

    def set_limit(self, limit: int) -> None:
        """Change the number of slots.

        Args:
          limit: The number of statements that may run concurrently.
        """
        if limit != self.admission.limit:
            self._deliver(self.admission.set_limit(limit, self.clock()))

    async def _wait(
        self, request: AdmissionRequest, queued: Queued
    ) -> int | NotRun:
        future: asyncio.Future[NotRun | None]
        future = asyncio.get_running_loop().create_future()
        self.waiters[request.number] = future
        self._deliver(queued.displaced)
        self._schedule_expiry()
        try:
            refusal = await future
        except asyncio.CancelledError:
            self._withdraw(request, future)
            raise
        finally:
            self.waiters.pop(request.number, None)
        return request.number if refusal is None else refusal

    def _withdraw(
        self, request: AdmissionRequest, future: asyncio.Future[NotRun | None]
    ) -> None:
        admitted = future.done() and not future.cancelled()
        if admitted and future.result() is None:
            self.leave(request.number)
        else:
            self.admission.cancel(request)

    def _deliver(self, decisions: Iterable[Admitted | Refused]) -> None:
        for decision in decisions:
            future = self.waiters.get(decision.request.number)
            if future is None or future.done():
                continue
            if isinstance(decision, Refused):
                future.set_result(decision.outcome)
            else:
                future.set_result(None)

    def _schedule_expiry(self) -> None:
        if not self.expiry_scheduled:
            self.expiry_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(EXPIRY_CHECK_SECONDS, self._expire)

    def _expire(self) -> None:
        self.expiry_scheduled = False
        self._deliver(self.admission.expire(self.clock()))
        if self.waiters:
            self._schedule_expiry()
