"""Pure decisions of the jackdawcrank database proxy."""
