"""Measure marlbend against small stand-ins for everything around it."""
