"""Callers' sessions over shared connections to fenced database groups.

For deployments whose servers enforce the lead themselves and whose declared
state lies in the platform's store: no term leases, no request records and no
change log of the proxy's own.
"""
