"""The MySQL protocol server that callers connect to."""
