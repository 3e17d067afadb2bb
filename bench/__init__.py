"""Benchmarks: `python -m bench NAME`."""
