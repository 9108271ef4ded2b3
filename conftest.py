"""Settings of all tests."""

from hypothesis import settings

# The same examples in every run, and no verdict that depends on speed.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
