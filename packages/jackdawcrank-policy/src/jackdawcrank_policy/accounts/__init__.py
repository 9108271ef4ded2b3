"""Decisions about client accounts."""
