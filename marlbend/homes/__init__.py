"""Keep flows on a plain fabric, whose ends repeat no cookie.

Each flow has a home instance that decides for it and hands it over when it
stops.  The daemon imports nothing of this where it steers by cookies.
"""
