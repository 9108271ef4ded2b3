"""A statement or transaction that needs a slot."""

import attrs


@attrs.frozen
class AdmissionRequest:
    """What is asked for.

    Attributes:
      number: A number that the proxy gives once.
      caller: The caller's name.
      deadline: When the caller gives up, on the monotonic clock.
      caller_class: The caller class's name.
      weight: The caller class's weight.
    """

    number: int
    caller: str
    deadline: float
    caller_class: str = "default"
    weight: int = 1
