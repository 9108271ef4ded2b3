"""Statement execution on the backend servers of a home proxy."""
