"""Parts of the benchmark of slopes."""
