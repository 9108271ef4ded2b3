"""Lets statements wait for a slot of their group."""

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
    """Carries a group's admission decisions to the waiting statements.

    Attributes:
      admission: The decisions.
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
        """Wait for a slot; return its number for `leave`, or a refusal.

        Args:
          caller: The caller's name.
          caller_class: The caller class's name.
          weight: The caller class's weight.
          deadline: When the caller gives up, on the monotonic clock.
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
        """Take a slot beyond the limit, for a transaction that goes on.

        Args:
          caller: The caller's name.
        """
        now = self.clock()
        request = AdmissionRequest(next(self.numbers), caller, now)
        self.admission.admit(request, now)
        return request.number

    def leave(self, number: int) -> None:
        """Free a slot.

        Args:
          number: What `enter` returned.
        """
        self._deliver(self.admission.finish(number, self.clock()))

    def set_limit(self, limit: int) -> None:
        """Follow a change of the number of slots.

        Args:
          limit: Statements that may run at once.
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
