"""Freshness proved by positions of the primary."""

from jackdawcrank_policy.floors.floor_history import Floor, FloorHistory

__all__ = ["Floor", "FloorHistory"]
