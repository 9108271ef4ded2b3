"""Session variables that SET statements change."""

import re

import attrs

from jackdawcrank.results.errors import not_run, not_supported
from jackdawcrank.statements import Assignment, MalformedOption, Options
from jackdawcrank.statements.options import (
    NO_OPTIONS,
    OPTION_PARSERS,
    read_options,
)
from jackdawcrank_wire.messages import ResultError

# Variables that are also set on the backend connection.
BACKEND_VARIABLES = frozenset(
    {"time_zone", "sql_mode", "group_concat_max_len", "lc_time_names"}
    | {"div_precision_increment", "max_execution_time", "sql_select_limit"}
    | {"foreign_key_checks", "unique_checks", "sql_safe_updates"}
    | {"collation_connection", "innodb_lock_wait_timeout"}
)
# Variables that only affect the caller's connection; SET accepts and ignores
# them.
IGNORED_VARIABLES = frozenset(
    {"character_set_results", "character_set_client", "wait_timeout"}
    | {"character_set_connection", "net_write_timeout", "net_read_timeout"}
    | {"interactive_timeout", "sql_auto_is_null", "names"}
    | {"sql_notes", "sql_warnings"}
)
SUPPORTED_CHARSETS = ("utf8mb4", "utf8", "utf8mb3", "null", "default")
# SQL modes that change how strings or identifiers are quoted.
QUOTING_MODES = frozenset(
    {"ANSI", "ANSI_QUOTES", "NO_BACKSLASH_ESCAPES"}
    | {"DB2", "MAXDB", "MSSQL", "ORACLE", "POSTGRESQL"}
)
_SQL_MODE_LITERAL = re.compile(r"(['\"])([A-Za-z0-9_, ]*)\1")
ON_VALUES = frozenset({"1", "on", "true"})
OFF_VALUES = frozenset({"0", "off", "false"})


@attrs.define
class SessionVariables:
    """Session variables of one caller connection.

    Attributes:
      autocommit: Whether autocommit is enabled.
      defaults: Options for statements that do not set their own.
      backend_settings: The assignments for the backend connection, by
        variable name.
    """

    autocommit: bool = True
    defaults: Options = NO_OPTIONS
    backend_settings: dict[str, str] = attrs.field(factory=dict)

    @property
    def setup(self) -> tuple[str, ...]:
        """Return the SET statements for a backend connection."""
        return tuple(
            f"SET SESSION {item}" for item in self.backend_settings.values()
        )

    def assign(self, item: Assignment) -> ResultError | None:
        """Apply one assignment of a SET statement, or return an error.

        Args:
          item: The assignment.
        """
        if item.is_global:
            return not_supported("SET GLOBAL")
        if item.user:
            return self._assign_option(item)
        if item.name == "autocommit":
            return self._assign_autocommit(item)
        if item.name == "names" or item.name.startswith("character_set"):
            return self._check_charset(item)
        if item.name in BACKEND_VARIABLES:
            return self._set_backend_variable(item)
        if item.name in IGNORED_VARIABLES:
            return None
        if item.name == "transaction":
            return self._set_transaction_mode(item)
        return not_supported(f"SET {item.name}")

    def _assign_option(self, item: Assignment) -> ResultError | None:
        if item.name not in OPTION_PARSERS:
            return not_supported("a user variable")
        if item.value.lower() in ("null", "default", ""):
            empty = getattr(NO_OPTIONS, item.name)
            self.defaults = attrs.evolve(self.defaults, **{item.name: empty})
            return None
        if item.name == "request_id":
            return not_supported("a request_id for several statements")
        options = read_options({item.name: item.value})
        if isinstance(options, MalformedOption):
            return not_run("bad_option", options.detail, code=1210)
        self.defaults = options.with_defaults(self.defaults)
        return None

    def _assign_autocommit(self, item: Assignment) -> ResultError | None:
        value = item.value.lower()
        if value not in ON_VALUES | OFF_VALUES:
            return not_run("bad_option", "autocommit is not 0 or 1", code=1231)
        self.autocommit = value in ON_VALUES
        return None

    def _check_charset(self, item: Assignment) -> ResultError | None:
        text = item.value.lower()
        if any(charset in text for charset in SUPPORTED_CHARSETS):
            return None
        return not_supported("a character set other than utf8mb4")

    def _set_backend_variable(self, item: Assignment) -> ResultError | None:
        name = item.name
        value = item.text.partition("=")[2].strip()
        if name == "sql_mode" and not _preserves_quoting(value):
            return not_supported("a sql_mode that changes quoting")
        self.backend_settings[name] = f"{name} = {value}"
        return None

    def _set_transaction_mode(self, item: Assignment) -> ResultError | None:
        if not item.text.lower().startswith(("session", "local")):
            return not_supported("SET TRANSACTION without SESSION")
        body = item.text.split(None, 1)[1]
        self.backend_settings["transaction"] = body
        return None


def _preserves_quoting(mode: str) -> bool:
    """Return whether an sql_mode value is known to keep quoting rules."""
    if mode.lower() == "default":
        return True
    match = _SQL_MODE_LITERAL.fullmatch(mode)
    if match is None:
        return False
    modes = {name.strip().upper() for name in match[2].split(",")}
    return not modes & QUOTING_MODES
