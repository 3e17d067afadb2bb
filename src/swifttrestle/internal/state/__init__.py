"""What one process knows: accepted configuration, upstreams, open requests."""
