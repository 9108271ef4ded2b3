"""Interfaces between the proxy and the adapter of a platform.

An adapter implements these protocols for one platform's wire formats, and the
proxy depends on nothing else of it. The types describe the content of messages
independently of their encoding.
"""
