"""The proxy process: how its parts are put together."""

from jackdawcrank.process.proxy import Proxy

__all__ = ["Proxy"]
