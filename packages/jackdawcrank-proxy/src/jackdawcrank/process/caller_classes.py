"""The limits of callers by their class."""

import collections
from collections.abc import Callable, Mapping

from jackdawcrank_policy.limits import CallerLimits
from jackdawcrank_policy.values import CallerClassSpec, NotRun

DEFAULT_CLASS = "default"


class CallerClasses:
    """Finds a caller's class and counts statements against its limits.

    Without a declared class a caller has no limits of its own.

    Attributes:
      specs: The declared classes by name.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.specs: Mapping[str, CallerClassSpec] = {}
        self.class_of_user: dict[str, str] = {}
        self.limits: dict[str, CallerLimits] = {}
        self.admitted: dict[str, collections.deque[CallerLimits | None]] = {}

    def set_specs(self, specs: Mapping[str, CallerClassSpec]) -> None:
        """Follow a change of the declared classes.

        Args:
          specs: The declared classes by name.
        """
        if specs == self.specs:
            return
        self.specs = dict(specs)
        self.class_of_user = {
            user: spec.name for spec in specs.values() for user in spec.users
        }
        self.limits = {
            name: self._limits_for(name, spec) for name, spec in specs.items()
        }

    def name_of(self, user: str) -> str:
        """Return the name of a caller's class.

        Args:
          user: The caller's user name.
        """
        return self.class_of_user.get(user, DEFAULT_CLASS)

    def admit(self, user: str) -> NotRun | None:
        """Count a statement of a caller, or refuse it.

        Args:
          user: The caller's user name.
        """
        limits = self.limits.get(self.name_of(user))
        if limits is not None:
            refusal = limits.admit(user, self.clock())
            if refusal is not None:
                return refusal
        admitted_limits = self.admitted.setdefault(user, collections.deque())
        admitted_limits.append(limits)
        return None

    def finish(self, user: str) -> None:
        """Count the end of a statement that was admitted.

        Args:
          user: The caller's user name.
        """
        admitted_limits = self.admitted[user]
        limits = admitted_limits.popleft()
        if limits is not None:
            limits.finish(user)
        if not admitted_limits:
            del self.admitted[user]

    def _limits_for(self, name: str, spec: CallerClassSpec) -> CallerLimits:
        existing_limits = self.limits.get(name)
        if existing_limits is None:
            return CallerLimits(spec)
        existing_limits.spec = spec
        return existing_limits
