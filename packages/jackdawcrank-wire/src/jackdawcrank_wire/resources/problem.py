"""Validation errors of a resource."""

import dataclasses
import json
from typing import Any

MAX_VALUE_CHARACTERS = 80


@dataclasses.dataclass(frozen=True)
class Problem:
    """One validation error.

    Attributes:
      path: The path of the value, for example `spec.slotsPerServer`.
      message: A description of the error.
      value: The invalid value; None if the message does not refer to one.
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
    """The result of validating a document that is not a valid resource.

    Attributes:
      problems: All validation errors.
    """

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)
