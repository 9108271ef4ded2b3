"""A user name and password that callers may log in with."""

import attrs


@attrs.frozen
class CallerLogin:
    """One login of callers.

    Attributes:
      user: The user name.
      password: The password in clear text.
    """

    user: str
    password: str = attrs.field(repr=False)
