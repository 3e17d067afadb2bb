"""Swifttrestle: serves language models on a fixed fleet under a shifting prompt-to-output mix."""

__version__ = "0.1.0"
