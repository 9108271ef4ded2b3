"""What admission says of a request."""

import attrs

from jackdawcrank_policy.admission.admission_request import AdmissionRequest
from jackdawcrank_policy.values import NotRun


@attrs.frozen
class Admitted:
    """The request has a slot until it is reported finished.

    Attributes:
      request: The request.
    """

    request: AdmissionRequest


@attrs.frozen
class Refused:
    """The request is given up on and has to be answered at once.

    Attributes:
      request: The request.
      outcome: The answer.
    """

    request: AdmissionRequest
    outcome: NotRun


@attrs.frozen
class Queued:
    """The request waits for a slot.

    Attributes:
      request: The request.
      displaced: Requests that lost their place to it.
    """

    request: AdmissionRequest
    displaced: tuple[Refused, ...] = ()
