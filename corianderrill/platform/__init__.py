"""Names, formats and calls of the users' platform; nothing here decides.

Every name that goes over the wire is decoded here, once, into types whose fields
say what they hold.
"""
