"""The MySQL protocol front that callers connect to."""
