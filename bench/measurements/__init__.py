"""The page of measurements and its plots."""
