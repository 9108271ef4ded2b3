"""A randomized fault soak of real proxy processes.

See `docs/soak.md`.
"""
