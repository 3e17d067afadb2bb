"""Swifttrestle: a gateway and scheduler for language model engines."""

__version__ = "0.1.0"
