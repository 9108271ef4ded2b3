"""The commands of the proxy's command line."""
