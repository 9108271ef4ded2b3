"""A statement or transaction that needs a slot."""

import attrs


@attrs.frozen
class AdmissionRequest:
    """A request for one slot.

    Attributes:
      number: A number that is unique within the proxy.
      caller: The caller's name.
      deadline: When the caller stops waiting, in seconds on the monotonic
        clock.
      caller_class: The caller class's name.
      weight: The caller class's weight.
    """

    number: int
    caller: str
    deadline: float
    caller_class: str = "default"
    weight: int = 1
