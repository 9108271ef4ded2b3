"""Queue of the waiting requests of one caller class."""

import collections

import attrs

from jackdawcrank_policy.admission.admission_request import AdmissionRequest


@attrs.define
class ClassQueue:
    """Round-robin queue over the callers of one class.

    Attributes:
      weight: The class's weight.
      virtual_time: The class's virtual time, which increases by 1/weight for
        each request.
      callers: The waiting requests of each caller; the next caller is first.
      length: Number of waiting requests.
    """

    weight: int
    virtual_time: float = 0.0
    callers: collections.OrderedDict[
        str, collections.deque[AdmissionRequest]
    ] = attrs.Factory(collections.OrderedDict)
    length: int = 0

    def push(self, request: AdmissionRequest) -> None:
        """Add a request behind the others of its caller."""
        waiting = self.callers.setdefault(request.caller, collections.deque())
        waiting.append(request)
        self.length += 1

    def pop(self) -> AdmissionRequest:
        """Remove and return the next request; move its caller to the end."""
        caller, waiting = self.callers.popitem(last=False)
        request = waiting.popleft()
        if waiting:
            self.callers[caller] = waiting
        self.length -= 1
        return request

    def pop_longest(self) -> AdmissionRequest:
        """Remove and return the newest request of the longest caller."""
        caller = self.longest_caller()
        request = self.callers[caller].pop()
        if not self.callers[caller]:
            del self.callers[caller]
        self.length -= 1
        return request

    def longest_caller(self) -> str:
        """Return the caller with the most waiting requests."""
        return max(self.callers, key=lambda caller: len(self.callers[caller]))

    def waiting_count(self, caller: str) -> int:
        """Return the number of waiting requests of a caller."""
        return len(self.callers.get(caller, ()))

    def remove_late(self, latest: float) -> list[AdmissionRequest]:
        """Remove and return the requests that cannot be answered in time.

        Args:
          latest: The earliest possible time of an answer, in seconds; requests
            with an earlier deadline are removed.
        """
        late = [
            request
            for waiting in self.callers.values()
            for request in waiting
            if request.deadline < latest
        ]
        for request in late:
            self.discard(request)
        return late

    def discard(self, request: AdmissionRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        waiting = self.callers.get(request.caller)
        if waiting is None or request not in waiting:
            return False
        waiting.remove(request)
        if not waiting:
            del self.callers[request.caller]
        self.length -= 1
        return True
