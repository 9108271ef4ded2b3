"""The operator command line of the jackdawcrank database proxy."""
