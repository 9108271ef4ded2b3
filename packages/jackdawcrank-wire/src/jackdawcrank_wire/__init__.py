"""Messages and resource types of the jackdawcrank database proxy."""
