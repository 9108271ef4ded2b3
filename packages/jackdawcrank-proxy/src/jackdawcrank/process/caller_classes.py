"""Rate and concurrency limits of callers, by caller class."""

import collections
from collections.abc import Callable, Mapping

from jackdawcrank_policy.limits import CallerLimits
from jackdawcrank_policy.values import CallerClassSpec, NotRun

DEFAULT_CLASS = "default"


class CallerClasses:
    """Maps callers to their classes and enforces the limits of the classes.

    A caller whose class is not declared is not limited.

    Attributes:
      clock: Returns the time in seconds on the monotonic clock.
      specs: The declared classes by name.
      class_of_user: The names of the callers' classes by user name.
      limits: The limits of the declared classes by class name.
      admitted: The limits that each running statement was admitted under, by
        user name, oldest first; None for a statement without limits. Kept so that the
        counts stay right when the classes change.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.specs: Mapping[str, CallerClassSpec] = {}
        self.class_of_user: dict[str, str] = {}
        self.limits: dict[str, CallerLimits] = {}
        self.admitted: dict[str, collections.deque[CallerLimits | None]] = {}

    def set_specs(self, specs: Mapping[str, CallerClassSpec]) -> None:
        """Apply a change of the declared classes.

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
        """Admit a statement of a caller; return the refusal if it is refused.

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
        """Record that an admitted statement has finished.

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
