"""The variables of one session."""

import re

import attrs

from jackdawcrank_standins.backend.errors import Failure
from jackdawcrank_standins.backend.statement_context import Scalar

VERSION = "8.0.36-standin"

DEFAULTS: dict[str, Scalar] = {
    "autocommit": 1,
    "auto_increment_increment": 1,
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_database": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_server": "utf8mb4",
    "collation_connection": "utf8mb4_0900_ai_ci",
    "collation_database": "utf8mb4_0900_ai_ci",
    "collation_server": "utf8mb4_0900_ai_ci",
    "external_user": "",
    "foreign_key_checks": 1,
    "init_connect": "",
    "innodb_lock_wait_timeout": 5,
    "interactive_timeout": 28800,
    "license": "MIT",
    "lower_case_table_names": 0,
    "max_allowed_packet": 67108864,
    "max_execution_time": 0,
    "net_read_timeout": 30,
    "net_write_timeout": 60,
    "performance_schema": 0,
    "sql_auto_is_null": 0,
    "sql_mode": "STRICT_TRANS_TABLES",
    "sql_notes": 1,
    "sql_safe_updates": 0,
    "sql_select_limit": 18446744073709551615,
    "sql_warnings": 0,
    "system_time_zone": "UTC",
    "time_zone": "SYSTEM",
    "transaction_isolation": "READ-COMMITTED",
    "transaction_read_only": 0,
    "tx_isolation": "READ-COMMITTED",
    "tx_read_only": 0,
    "unique_checks": 1,
    "user": "",
    "version": VERSION,
    "version_comment": "stand-in",
    "wait_timeout": 28800,
    "warning_count": 0,
    "error_count": 0,
}
READ_ONLY = {"version", "version_comment", "license", "system_time_zone"}
WORDS: dict[str, Scalar] = {
    "ON": 1,
    "TRUE": 1,
    "OFF": 0,
    "FALSE": 0,
    "NULL": None,
}
NUMBER = re.compile(r"-?\d+(\.\d+)?$")
UNKNOWN_VARIABLE = 1193


def unknown_variable(name: str) -> Failure:
    """Return the error for a system variable that does not exist."""
    message = f"Unknown system variable '{name}'"
    return Failure(UNKNOWN_VARIABLE, "HY000", message)


def literal_value(text: str) -> Scalar:
    """Return the value that a word or literal of SET stands for."""
    text = text.strip()
    if text[:1] in ("'", '"') and text[-1:] == text[0]:
        return text[1:-1].replace(text[0] * 2, text[0])
    if NUMBER.match(text):
        return float(text) if "." in text else int(text)
    return WORDS.get(text.upper(), text)


@attrs.define
class SessionVariables:
    """System and user variables of one session.

    Attributes:
      system: System variables by lower-case name.
      user: User variables by lower-case name.
    """

    system: dict[str, Scalar] = attrs.field(factory=lambda: dict(DEFAULTS))
    user: dict[str, Scalar] = attrs.field(factory=dict)

    def get(self, name: str) -> Scalar:
        """Return a system variable's value.

        Raises:
          Failure: There is no such variable.
        """
        if name not in self.system:
            raise unknown_variable(name)
        return self.system[name]

    def set(self, name: str, value: Scalar, force: bool = False) -> None:
        """Set a system variable.

        Args:
          name: The variable's lower-case name.
          value: The new value; the word DEFAULT restores the default.
          force: Whether read-only variables may be set.

        Raises:
          Failure: There is no such variable, or it is read-only.
        """
        if name not in self.system:
            raise unknown_variable(name)
        if name in READ_ONLY and not force:
            message = f"Variable '{name}' is a read only variable"
            raise Failure(1238, "HY000", message)
        if isinstance(value, str) and value.upper() == "DEFAULT":
            value = DEFAULTS[name]
        self.system[name] = value

    def reset(self) -> None:
        """Restore all defaults and forget the user variables."""
        user = self.system["external_user"]
        self.system = dict(DEFAULTS)
        self.system["external_user"] = user
        self.user.clear()
