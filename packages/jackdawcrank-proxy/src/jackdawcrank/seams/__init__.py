"""The interfaces between the proxy and the protocols around it.

A protocol's adapter implements these; the proxy's parts use nothing else of
it. The types say what a message holds, in the proxy's words.
"""
