"""The adapter to the users' platform: its names, formats and calls. It decides nothing."""
