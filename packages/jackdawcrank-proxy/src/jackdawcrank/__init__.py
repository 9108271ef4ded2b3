"""The jackdawcrank database proxy process."""
