"""Weighted fair queueing between caller classes."""

import attrs

from jackdawcrank_policy.admission.admission_request import AdmissionRequest
from jackdawcrank_policy.admission.class_queue import ClassQueue


@attrs.define
class FairQueue:
    """Waiting requests, served in proportion to the weights of their classes.

    Attributes:
      classes: The queue of each class that has waiting requests.
      virtual_time: The virtual time of the class that was served last.
    """

    classes: dict[str, ClassQueue] = attrs.Factory(dict)
    virtual_time: float = 0.0

    @property
    def length(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.length for queue in self.classes.values())

    def push(self, request: AdmissionRequest) -> None:
        """Add a request.

        A class without waiting requests starts at the current virtual time, so
        that it gains no credit for the time when it was idle.
        """
        queue = self.classes.get(request.caller_class)
        if queue is None:
            queue = ClassQueue(max(1, request.weight), self.virtual_time)
            self.classes[request.caller_class] = queue
        queue.push(request)

    def pop(self) -> AdmissionRequest:
        """Remove and return the next request in virtual-time order."""
        name = min(
            self.classes, key=lambda n: (self.classes[n].virtual_time, n)
        )
        queue = self.classes[name]
        self.virtual_time = queue.virtual_time
        queue.virtual_time += 1 / queue.weight
        request = queue.pop()
        self.drop_empty(name)
        return request

    def displace(self, newcomer: AdmissionRequest) -> AdmissionRequest | None:
        """Remove a waiting request in favour of a new one.

        The request comes from the class with the longest queue by weight, and
        there from the caller with the most waiting requests.

        Args:
          newcomer: The request that arrives at a full queue.

        Returns:
          The removed request, or None if the queue of the new request's class
          or caller would be no shorter than the longest one.
        """
        name = max(self.classes, key=self.weighted_length)
        if name != newcomer.caller_class:
            if self.weighted_length(name) <= self.weighted_length_with(
                newcomer
            ):
                return None
        elif not self.has_longer_caller_queue(newcomer, self.classes[name]):
            return None
        displaced = self.classes[name].pop_longest()
        self.drop_empty(name)
        return displaced

    def weighted_length(self, name: str) -> float:
        """Return the number of waiting requests of a class over its weight."""
        queue = self.classes[name]
        return queue.length / queue.weight

    def weighted_length_with(self, newcomer: AdmissionRequest) -> float:
        """Return the weighted length of a class including a new request."""
        queue = self.classes.get(newcomer.caller_class)
        length = queue.length if queue else 0
        return (length + 1) / max(1, newcomer.weight)

    def has_longer_caller_queue(
        self, newcomer: AdmissionRequest, queue: ClassQueue
    ) -> bool:
        """Return whether another caller of the class has more waiting."""
        longest = queue.waiting_count(queue.longest_caller())
        return longest > queue.waiting_count(newcomer.caller) + 1

    def ahead_of(self, request: AdmissionRequest) -> float:
        """Return the expected number of requests served before a new one.

        Args:
          request: A request that is not in the queue yet.
        """
        own_queue = self.classes.get(request.caller_class)
        rounds = 1 + (
            own_queue.waiting_count(request.caller) if own_queue else 0
        )
        own = self.served_within(own_queue, rounds)
        turns = (own + 1) / max(1, request.weight)
        others = (
            min(queue.length, turns * queue.weight)
            for name, queue in self.classes.items()
            if name != request.caller_class
        )
        return own + sum(others)

    def served_within(self, queue: ClassQueue | None, rounds: int) -> int:
        """Return how many requests a class serves within some rounds."""
        if queue is None:
            return 0
        return sum(
            min(len(requests), rounds) for requests in queue.callers.values()
        )

    def remove_late(self, latest: float) -> list[AdmissionRequest]:
        """Remove and return requests whose deadline is before `latest`."""
        late = []
        for name, queue in [*self.classes.items()]:
            late += queue.remove_late(latest)
            self.drop_empty(name)
        return late

    def discard(self, request: AdmissionRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        queue = self.classes.get(request.caller_class)
        found = queue is not None and queue.discard(request)
        self.drop_empty(request.caller_class)
        return found

    def drop_empty(self, name: str) -> None:
        """Remove a class that has no waiting requests."""
        queue = self.classes.get(name)
        if queue is not None and queue.length == 0:
            del self.classes[name]
