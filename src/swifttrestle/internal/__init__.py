"""Implementation of the public modules; not a stable interface."""
