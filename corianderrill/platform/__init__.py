"""The interface to the users' platform: its store, formats, headers and settings.

This package holds no decision logic. All wire formats are decoded here into types
that the rest of the gateway uses.
"""
