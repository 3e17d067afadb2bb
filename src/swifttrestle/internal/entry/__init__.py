"""The request path of an entry process."""
