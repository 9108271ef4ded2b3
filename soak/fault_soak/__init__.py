"""Randomized fault-injection soak test of real proxy processes.

See `docs/soak.md`.
"""
