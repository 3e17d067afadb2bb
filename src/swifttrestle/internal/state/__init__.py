"""In-memory state of one process: configuration, upstreams, peers and open requests."""
