"""What is wrong with a resource."""

import dataclasses
import json
from typing import Any

MAX_VALUE_CHARACTERS = 80


@dataclasses.dataclass(frozen=True)
class Problem:
    """One wrong value.

    Attributes:
      path: Where it stands, for example `spec.slotsPerServer`.
      message: What is wrong with it.
      value: The value; None for a missing key.
    """

    path: str
    message: str
    value: Any = None

    def __str__(self) -> str:
        if self.value is None:
            return f"{self.path}: {self.message}"
        shown = json.dumps(self.value, default=repr)[:MAX_VALUE_CHARACTERS]
        return f"{self.path}: {self.message}, but is {shown}"


@dataclasses.dataclass(frozen=True)
class Invalid:
    """The document is not a valid resource.

    Attributes:
      problems: Everything that is wrong with it.
    """

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)
