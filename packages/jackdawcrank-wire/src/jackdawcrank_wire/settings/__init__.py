"""The settings of one proxy process."""

from jackdawcrank_wire.settings.caller_login import CallerLogin
from jackdawcrank_wire.settings.explain import explain_settings
from jackdawcrank_wire.settings.loader import (
    SettingsErrors,
    load_settings,
    parse_settings,
)
from jackdawcrank_wire.settings.settings import Settings

__all__ = [
    "CallerLogin",
    "Settings",
    "SettingsErrors",
    "explain_settings",
    "load_settings",
    "parse_settings",
]
