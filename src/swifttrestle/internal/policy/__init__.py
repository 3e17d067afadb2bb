"""Decisions without input or output: routing, admission, retries, ejection, roles."""
