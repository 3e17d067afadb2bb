"""The configuration in force: its watch, transfer between hosts, freshness and acceptance."""
