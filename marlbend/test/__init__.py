"""Tests of marlbend; the data of data-driven tests is in test-data."""
