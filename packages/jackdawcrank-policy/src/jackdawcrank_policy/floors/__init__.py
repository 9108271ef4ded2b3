"""Watermarks that prove how fresh a replica's data is."""

from jackdawcrank_policy.floors.floor_history import (
    Watermark,
    WatermarkHistory,
)

__all__ = ["Watermark", "WatermarkHistory"]
