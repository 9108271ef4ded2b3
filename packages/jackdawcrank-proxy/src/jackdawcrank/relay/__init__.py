"""Relays caller sessions over pooled connections to fenced database groups.

This package is for deployments whose servers enforce fencing themselves and
whose declarations are kept in the platform's store. The proxy therefore has no
term leases, request records or change log of its own.
"""
