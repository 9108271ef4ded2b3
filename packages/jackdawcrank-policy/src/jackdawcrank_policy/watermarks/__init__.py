"""Watermarks that prove how fresh a replica's data is."""

from jackdawcrank_policy.watermarks.watermark_history import (
    Watermark,
    WatermarkHistory,
)

__all__ = ["Watermark", "WatermarkHistory"]
