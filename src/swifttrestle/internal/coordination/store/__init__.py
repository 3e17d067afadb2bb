"""The platform's store: validated entries, retries, conditional writes and caches."""
