"""Adapt marlbend to the platform: its packet format, objects and HTTP API.

Nothing is decided here.  The users chose the name of the package; at the top
level of the repository it would shadow the standard library's `platform`.
"""
