"""Steer flows by owners, for fabrics whose endpoints echo no cookie.

Each flow has an owner instance, which selects its upstream and hands the flow
over when the instance stops.  The daemon does not import this package when it
steers by cookies.
"""
