"""The discovery list of upstreams: its watch, relays, removals and restores."""
