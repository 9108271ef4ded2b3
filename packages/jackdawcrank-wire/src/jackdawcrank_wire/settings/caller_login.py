"""Login credentials of callers."""

import attrs


@attrs.frozen
class CallerLogin:
    """A user name and password that callers can log in with.

    Attributes:
      user: The user name.
      password: The password in clear text.
    """

    user: str
    password: str = attrs.field(repr=False)
