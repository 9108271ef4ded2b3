"""Admission of one group's statements on one home proxy."""

import math

import attrs

from jackdawcrank_policy.admission.admission_request import AdmissionRequest
from jackdawcrank_policy.admission.admission_results import (
    Admitted,
    Queued,
    Refused,
)
from jackdawcrank_policy.admission.fair_queue import FairQueue
from jackdawcrank_policy.values import NotRun, NotRunReason

INITIAL_SERVICE_SECONDS = 0.01
SERVICE_WEIGHT = 0.05
MAX_QUEUE_SECONDS = 0.5
MIN_QUEUE_LENGTH = 4
MIN_RETRY_AFTER_MS = 10
MAX_RETRY_AFTER_MS = 5_000
REFUSAL_HALF_LIFE_SECONDS = 1.0


@attrs.define
class GroupAdmission:
    """A concurrency limit with a short, fair queue.

    A request is queued only if it is expected to finish within its deadline.
    Otherwise it is refused at once, with a retry delay that covers the queue
    and the recently refused requests.

    Attributes:
      limit: Number of requests that may run concurrently: this home's share of
        the slots of the servers that are serving.
      running: Start times of the running requests in seconds, by number.
      queue: The waiting requests.
      service: Moving average of a request's running time in seconds.
      refused: Number of refusals, decayed with a half-life of one second.
      refused_at: When `refused` was last updated, in seconds.
    """

    limit: int
    running: dict[int, float] = attrs.Factory(dict)
    queue: FairQueue = attrs.Factory(FairQueue)
    service: float = INITIAL_SERVICE_SECONDS
    refused: float = 0.0
    refused_at: float = 0.0

    def offer(
        self, request: AdmissionRequest, now: float
    ) -> Admitted | Queued | NotRun:
        """Admit, queue or refuse a request.

        Args:
          request: The request.
          now: The current time in seconds.
        """
        if request.deadline <= now:
            detail = "the deadline had passed"
            return NotRun(NotRunReason.DEADLINE, detail)
        if len(self.running) < self.limit and not self.queue.length:
            return self.admit(request, now)
        if not self.can_meet_deadline(request, now):
            return self.refusal(now)
        displaced = self.make_room(request, now)
        if displaced is None:
            return self.refusal(now)
        self.queue.push(request)
        return Queued(request, displaced)

    def finish(self, number: int, now: float) -> list[Admitted | Refused]:
        """Free a request's slot and return the results that follow.

        Args:
          number: The number of a request that was admitted.
          now: The current time in seconds.
        """
        started = self.running.pop(number)
        self.service += SERVICE_WEIGHT * (now - started - self.service)
        return self.fill(now)

    def set_limit(self, limit: int, now: float) -> list[Admitted | Refused]:
        """Apply a new limit and return the results that follow.

        Running requests continue if the new limit is below their number.

        Args:
          limit: Number of requests that may run concurrently.
          now: The current time in seconds.
        """
        self.limit = limit
        return self.fill(now)

    def cancel(self, request: AdmissionRequest) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        return self.queue.discard(request)

    def expire(self, now: float) -> list[Refused]:
        """Refuse the waiting requests that can no longer finish in time.

        Args:
          now: The current time in seconds.
        """
        late = self.queue.remove_late(now + self.service)
        return [Refused(request, self.refusal(now)) for request in late]

    def fill(self, now: float) -> list[Admitted | Refused]:
        """Assign free slots to waiting requests that can still finish."""
        results: list[Admitted | Refused] = [*self.expire(now)]
        while len(self.running) < self.limit and self.queue.length:
            results.append(self.admit(self.queue.pop(), now))
        return results

    def admit(self, request: AdmissionRequest, now: float) -> Admitted:
        """Assign a slot to a request."""
        self.running[request.number] = now
        return Admitted(request)

    def can_meet_deadline(self, request: AdmissionRequest, now: float) -> bool:
        """Return whether a request is expected to meet its deadline."""
        if self.limit <= 0:
            return False
        wait = self.wait_seconds(self.queue.ahead_of(request))
        return now + wait + self.service <= request.deadline

    def wait_seconds(self, ahead: float) -> float:
        """Return the expected wait behind other requests, in seconds.

        Assumes that all slots are busy.
        """
        return (ahead + 1) * self.service / max(1, self.limit)

    def capacity(self) -> int:
        """Return the maximum length of the queue."""
        served = MAX_QUEUE_SECONDS * self.limit / max(self.service, 1e-6)
        return max(MIN_QUEUE_LENGTH, int(served))

    def make_room(
        self, request: AdmissionRequest, now: float
    ) -> tuple[Refused, ...] | None:
        """Return the displaced requests; None if the new one must not wait."""
        if self.queue.length < self.capacity():
            return ()
        displaced = self.queue.displace(request)
        if displaced is None:
            return None
        return (Refused(displaced, self.refusal(now)),)

    def refusal(self, now: float) -> NotRun:
        """Return the refusal for overload and count it.

        The retry delay is the time that the queue and the recently refused
        requests take at the current service rate.
        """
        elapsed = now - self.refused_at
        self.refused *= math.pow(0.5, elapsed / REFUSAL_HALF_LIFE_SECONDS)
        self.refused += 1
        self.refused_at = now
        seconds = self.wait_seconds(self.queue.length + self.refused)
        after = min(MAX_RETRY_AFTER_MS, math.ceil(seconds * 1000))
        after = max(MIN_RETRY_AFTER_MS, after)
        return NotRun(NotRunReason.OVERLOADED, "the group is busy", after)
