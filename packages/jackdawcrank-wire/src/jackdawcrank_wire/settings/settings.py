"""Declarations of all settings keys of a proxy."""

from typing import Any

import attrs

from jackdawcrank_wire.settings.caller_login import CallerLogin
from jackdawcrank_wire.settings.declare import key

MAX_PORT = 65535
MIN_SECRET_LENGTH = 16


@attrs.frozen(kw_only=True)
class Settings:
    """The settings of one proxy process.

    Each attribute is a key of the JSON file. `jackdawcrankctl settings
    explain` prints the description of every key.
    """

    vm: str = key("Name of this VM, unique in the system.", not_empty=True)
    host: str = key(
        "IP address to listen on and to be reached by.", not_empty=True
    )
    region: str = key("Region that the VM stands in.", default="")
    data_center: str = key("Data centre that the VM stands in.", default="")
    caller_port: int = key(
        "TCP port for callers (MySQL protocol); 0 picks a free one.",
        default=3306,
        minimum=0,
        maximum=MAX_PORT,
    )
    peer_port: int = key(
        "TCP port for streams from other proxies; 0 picks a free one.",
        default=7306,
        minimum=0,
        maximum=MAX_PORT,
    )
    operator_port: int = key(
        "TCP port of the resource API; 0 picks a free one.",
        default=8306,
        minimum=0,
        maximum=MAX_PORT,
    )
    platform_url: str = key(
        "Base URL of the platform's table service and object store.",
        not_empty=True,
    )
    peer_secret: str = key(
        "Secret shared by all proxies.",
        secret=True,
        not_empty=True,
        minimum_length=MIN_SECRET_LENGTH,
    )
    token_keys: tuple[str, ...] = key(
        "Keys for signing session tokens, newest first; all of them verify.",
        secret=True,
        not_empty=True,
        minimum_length=MIN_SECRET_LENGTH,
    )
    operator_tokens: tuple[str, ...] = key(
        "Bearer tokens that operators may use; `NAME:SECRET` names the holder.",
        secret=True,
        not_empty=True,
        minimum_length=MIN_SECRET_LENGTH,
    )
    callers: tuple[CallerLogin, ...] = key(
        "Logins of callers, each with user and password.",
        secret=True,
        not_empty=True,
    )
    backend_user: str = key("User name at backend servers.", not_empty=True)
    backend_password: str = key(
        "Password at backend servers.", default="", secret=True
    )
    max_statement_bytes: int = key(
        "Longest statement that a caller may send, in bytes.",
        default=4 * 1024 * 1024,
        minimum=1024,
    )
    max_caller_connections: int = key(
        "Caller connections that this VM accepts at once.",
        default=10_000,
        minimum=1,
    )
    login_timeout_seconds: float = key(
        "Longest time for a caller to log in, in seconds.",
        default=10.0,
        minimum=0.1,
    )
    shutdown_timeout_seconds: float = key(
        "Longest time for requests in flight at shutdown, in seconds.",
        default=60.0,
        minimum=0.0,
    )
    homes_per_group: int = key(
        "Home proxies of each database group.",
        default=3,
        minimum=1,
        maximum=16,
    )
    head_read_seconds: float = key(
        "Time between reads of the change log's head, in seconds.",
        default=0.8,
        minimum=0.05,
        maximum=1.5,
    )
    statsd_host: str = key(
        "IP address of the statsd server; empty sends no metrics.",
        default="",
    )
    statsd_port: int = key(
        "UDP port of the statsd server.",
        default=8125,
        minimum=1,
        maximum=MAX_PORT,
    )
    log_format: str = key(
        "Form of log lines.", default="text", choices=("text", "json")
    )
    log_verbosity: str = key(
        "Least severe log lines that are written.",
        default="info",
        choices=("debug", "info", "warning", "error"),
    )
    timeline_events: int = key(
        "Time line events kept in memory.", default=20_000, minimum=100
    )


def setting_fields() -> tuple["attrs.Attribute[Any]", ...]:
    """Return the attrs fields of all keys in declaration order."""
    return attrs.fields(Settings)
