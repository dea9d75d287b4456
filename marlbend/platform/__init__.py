"""Speak the platform's words and decide nothing.

The name of the package is the users' own; at the top level of the repository
it would hide the standard library's module of that name.
"""
