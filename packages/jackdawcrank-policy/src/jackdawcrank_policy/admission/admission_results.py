"""Results of an admission request."""

import attrs

from jackdawcrank_policy.admission.admission_request import AdmissionRequest
from jackdawcrank_policy.values import NotRun


@attrs.frozen
class Admitted:
    """The request holds a slot until it is reported as finished.

    Attributes:
      request: The request.
    """

    request: AdmissionRequest


@attrs.frozen
class Refused:
    """The request will not run and has to be answered at once.

    Attributes:
      request: The request.
      outcome: The outcome to return to the caller.
    """

    request: AdmissionRequest
    outcome: NotRun


@attrs.frozen
class Queued:
    """The request waits for a slot.

    Attributes:
      request: The request.
      displaced: Requests that were removed from the queue in its favour.
    """

    request: AdmissionRequest
    displaced: tuple[Refused, ...] = ()
