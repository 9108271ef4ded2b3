"""Freshness proved by positions of the primary."""

from jackdawcrank_policy.watermarks.watermark_history import (
    Watermark,
    WatermarkHistory,
)

__all__ = ["Watermark", "WatermarkHistory"]
