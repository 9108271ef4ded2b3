"""Authentication of callers."""

import secrets
from collections.abc import Iterable

from mysql_mimic import IdentityProvider, NativePasswordAuthPlugin, User

from jackdawcrank_wire.settings import CallerLogin

UNKNOWN_USER_PASSWORD_BYTES = 16


class Logins(IdentityProvider):
    """Identity provider of the configured callers (native passwords)."""

    def __init__(self, logins: Iterable[CallerLogin]) -> None:
        self.plugin = NativePasswordAuthPlugin()
        create = NativePasswordAuthPlugin.create_auth_string
        self.users = {
            login.user: User(
                name=login.user,
                auth_string=create(login.password),
                auth_plugin=self.plugin.name,
            )
            for login in logins
        }
        # An unknown user fails in the same way as a wrong password, so that
        # user names cannot be probed.
        self.unknown_user = User(
            name="",
            auth_string=create(secrets.token_hex(UNKNOWN_USER_PASSWORD_BYTES)),
            auth_plugin=self.plugin.name,
        )

    def get_plugins(self) -> list[NativePasswordAuthPlugin]:
        """Return the supported authentication plugins."""
        return [self.plugin]

    async def get_user(self, username: str) -> User:
        """Return the user with a name.

        Args:
          username: The user name that the caller sent.
        """
        return self.users.get(username, self.unknown_user)
