"""Who may log in to a backend server."""

from collections.abc import Mapping

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User


class Accounts(IdentityProvider):
    """Users with passwords, checked by the native password plugin.

    Attributes:
      users: The users by name.
    """

    def __init__(self, passwords: Mapping[str, str]) -> None:
        plugin = NativePasswordAuthPlugin
        self.users = {
            name: User(
                name=name,
                auth_string=plugin.create_auth_string(password),
                auth_plugin=plugin.name,
            )
            for name, password in passwords.items()
        }

    async def get_user(self, username: str) -> User | None:
        """Return the user of a name, if there is one."""
        return self.users.get(username)
