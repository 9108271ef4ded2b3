"""The way of a statement from the entry proxy to a backend server."""
