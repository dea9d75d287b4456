"""Show what an instance does.

Nothing is re-exported: `metrics` imports the histogram library, which the
daemon leaves out of its start where it steers by cookies.
"""
