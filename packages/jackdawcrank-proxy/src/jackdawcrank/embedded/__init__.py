"""Proxies with embedded stand-ins, for demos and tests."""

from jackdawcrank.embedded.embedded_options import EmbeddedOptions
from jackdawcrank.embedded.embedded_system import EmbeddedSystem

__all__ = ["EmbeddedOptions", "EmbeddedSystem"]
