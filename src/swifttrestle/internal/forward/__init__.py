"""The request path on the platform: from a caller's request to its complete answer."""
