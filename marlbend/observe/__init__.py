"""Measure latency, CPU time and memory of an instance.

Nothing is re-exported here: `metrics` imports the histogram library, which a
daemon that steers by cookies does not import at startup.
"""
