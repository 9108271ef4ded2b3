"""The proxy process, which creates and connects all components."""

from jackdawcrank.process.proxy import Proxy

__all__ = ["Proxy"]
