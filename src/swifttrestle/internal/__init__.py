"""Machinery behind the public modules; nothing here is a stable interface."""
