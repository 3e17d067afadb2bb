"""Helpers that the tests share."""
