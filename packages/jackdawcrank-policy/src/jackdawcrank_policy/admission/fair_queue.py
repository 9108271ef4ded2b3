"""Weighted fair queueing between caller classes."""

import attrs

from jackdawcrank_policy.admission.admission_request import AdmissionRequest
from jackdawcrank_policy.admission.class_queue import ClassQueue


@attrs.define
class FairQueue:
    """Waiting requests, taken in proportion to the classes' weights.

    Attributes:
      classes: The queue of each class that has requests waiting.
      virtual_time: The virtual time of the last class that was served.
    """

    classes: dict[str, ClassQueue] = attrs.Factory(dict)
    virtual_time: float = 0.0

    @property
    def length(self) -> int:
        """Return how many requests wait."""
        return sum(queue.length for queue in self.classes.values())

    def push(self, request: AdmissionRequest) -> None:
        """Add a request.

        A class that had nothing waiting joins at the present virtual time,
        so that it does not make up for the time when it asked for nothing.
        """
        queue = self.classes.get(request.caller_class)
        if queue is None:
            queue = ClassQueue(max(1, request.weight), self.virtual_time)
            self.classes[request.caller_class] = queue
        queue.push(request)

    def pop(self) -> AdmissionRequest:
        """Remove and return the request whose turn it is."""
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
        """Remove a request to make room for one with a better claim.

        The class that waits most beyond its weight gives way, and in it the
        caller with the most waiting. None if the newcomer's own claim is no
        better.

        Args:
          newcomer: The request that finds the queue full.
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
        """Return how many requests of a class wait, by its weight."""
        queue = self.classes[name]
        return queue.length / queue.weight

    def weighted_length_with(self, newcomer: AdmissionRequest) -> float:
        """Return the claim of a request's class with the request in it."""
        queue = self.classes.get(newcomer.caller_class)
        length = queue.length if queue else 0
        return (length + 1) / max(1, newcomer.weight)

    def has_longer_caller_queue(
        self, newcomer: AdmissionRequest, queue: ClassQueue
    ) -> bool:
        """Return whether another caller of the class waits for more."""
        longest = queue.waiting_count(queue.longest_caller())
        return longest > queue.waiting_count(newcomer.caller) + 1

    def ahead_of(self, request: AdmissionRequest) -> float:
        """Return how many requests should be served before a newcomer.

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
        """Return how many of a class's requests come in some rounds."""
        if queue is None:
            return 0
        return sum(
            min(len(requests), rounds) for requests in queue.callers.values()
        )

    def remove_late(self, latest: float) -> list[AdmissionRequest]:
        """Remove and return requests whose deadline is before an instant."""
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
        """Forget a class that has nothing waiting."""
        queue = self.classes.get(name)
        if queue is not None and queue.length == 0:
            del self.classes[name]
